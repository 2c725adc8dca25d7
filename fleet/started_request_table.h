// Records of started non-idempotent requests and their outcomes, bounded in age, number and bytes.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teasel {

struct StartedRequestLimits {
    uint64_t maxAgeMs = 24ULL * 60 * 60 * 1'000;
    size_t maxRecords = 1'000'000;
    size_t maxBodyBytes = 4'096; // of one outcome; a longer body is not stored
    size_t maxTotalBodyBytes = 256ULL << 20U; // of the stored outcomes together
    size_t maxClosedAttempts = 8; // stored per request
};

// Keyed by (team, request id). The first attempt to begin wins. An attempt that ended without having run is closed, so
// that another attempt may begin.
class StartedRequestTable {
public:
    explicit StartedRequestTable(const StartedRequestLimits& limits)
        : m_limits(limits)
    {
    }

    schema::BeginAnswer begin(const schema::BeginRequest&, uint64_t wallMs);

    // Stores the outcome of an attempt. Ignored unless it is the attempt that has begun.
    void finish(const schema::FinishRequest&);

    // Drops records older than the limit on age.
    void expire(uint64_t wallMs);

    size_t size() const { return m_records.size(); }
    size_t bodyBytes() const { return m_bodyBytes; }

    void writeTo(schema::FleetSnapshot&) const;
    void readFrom(const schema::FleetSnapshot&);

private:
    struct Record {
        std::string attempt; // the attempt that has begun; empty if none has
        uint64_t wallMs = 0; // wall time when the first attempt began
        bool finished = false;
        schema::FinishRequest outcome;
        std::vector<std::string> closedAttempts;
    };
    using Key = std::pair<TeamId, std::string>;

    Record* find(TeamId, const std::string& requestId);
    void close(Record&, const std::string& attempt) const;
    void store(Record&, const schema::FinishRequest&);

    StartedRequestLimits m_limits;
    std::map<Key, Record> m_records;
    std::deque<std::pair<uint64_t, Key>> m_byAge; // oldest first
    size_t m_bodyBytes = 0;
};

} // namespace teasel

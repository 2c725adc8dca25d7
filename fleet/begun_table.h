// The record of non-idempotent requests begun, bounded in age, number and bytes.
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

struct BegunLimits {
    uint64_t maxAgeMs = 24ULL * 60 * 60 * 1'000;
    size_t maxRecords = 1'000'000;
    size_t maxBodyBytes = 4'096; // of one outcome; a longer body is left out
    size_t maxTotalBodyBytes = 256ULL << 20U; // of all outcomes
    size_t maxClosedAttempts = 8; // remembered per request
};

// Keyed by (team, request id). The first attempt to begin wins; an attempt that
// ended without having run is closed and lets another one begin.
class BegunTable {
public:
    explicit BegunTable(const BegunLimits& limits)
        : m_limits(limits)
    {
    }

    schema::BeginAnswer begin(const schema::BeginRequest&, uint64_t wallMs);

    // The outcome of an attempt. Ignored unless that attempt is the one begun.
    void finish(const schema::FinishRequest&);

    // Drops records begun longer ago than the bound on age.
    void expire(uint64_t wallMs);

    size_t size() const { return m_records.size(); }
    size_t bodyBytes() const { return m_bodyBytes; }

    void writeTo(schema::FleetSnapshot&) const;
    void readFrom(const schema::FleetSnapshot&);

private:
    struct Record {
        std::string attempt; // begun; empty when none is
        uint64_t wallMs = 0; // of the first beginning
        bool finished = false;
        schema::FinishRequest outcome;
        std::vector<std::string> closedAttempts;
    };
    using Key = std::pair<TeamId, std::string>;

    Record* find(TeamId, const std::string& requestId);
    void close(Record&, const std::string& attempt) const;
    void store(Record&, const schema::FinishRequest&);

    BegunLimits m_limits;
    std::map<Key, Record> m_records;
    std::deque<std::pair<uint64_t, Key>> m_byAge; // oldest first
    size_t m_bodyBytes = 0;
};

} // namespace teasel

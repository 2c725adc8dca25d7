// The jobs in the fleet state, versioned so that a data centre's leader receives only the jobs that changed.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

struct JobLimits {
    size_t maxJobs = 200'000; // jobs that have not ended
    uint64_t endedMaxAgeMs = 60ULL * 60 * 1'000;
    size_t endedMaxJobs = 20'000;
};

// The jobs of one data centre that changed after a version.
struct JobChanges {
    std::vector<schema::JobRecord> jobs; // a job owned by another data centre must be dropped
    uint64_t version = 0; // all changes up to this version are included
    bool replacesAll = false; // jobs that are not listed must be dropped
    bool more = false; // further changes were left out because a limit was reached
};

bool hasEnded(const schema::JobRecord&);

class JobTable {
public:
    explicit JobTable(const JobLimits& limits)
        : m_limits(limits)
    {
    }

    // Stores a job. A resend returns the stored job. Fails with BadRequest and StateFull.
    Result<schema::JobRecord> submit(const schema::JobRecord&, uint64_t wallMs);

    // Fails with NotFound for an unknown job and with Forbidden for a job owned by another data centre.
    // Progress of a job that has ended changes nothing.
    Result<schema::JobRecord> progress(const schema::JobProgress&, uint64_t wallMs);

    // Drops ended jobs that exceed the limit on age, and the oldest ended jobs above the limit on number.
    void expire(uint64_t wallMs);

    const schema::JobRecord* find(const std::string& id) const;
    const std::map<std::string, schema::JobRecord>& jobs() const { return m_jobs; }

    // At most `max` jobs that changed after `version`, the least recently changed first; several only if they have at
    // most `maxBytes` together, and none if that is 0.
    JobChanges changedSince(
        const std::string& dataCentre, uint64_t version, size_t max, size_t maxBytes = SIZE_MAX) const;
    uint64_t versionOf(const std::string& dataCentre) const;

    void writeTo(schema::FleetSnapshot&) const;
    void readFrom(const schema::FleetSnapshot&);

private:
    struct DataCentre {
        absl::btree_map<uint64_t, std::string> byVersion;
        absl::flat_hash_map<std::string, uint64_t> versionOf;
        uint64_t droppedVersion = 0; // highest version of a dropped job
    };

    void touch(const std::string& dataCentre, const std::string& id);
    void drop(const std::string& id);

    JobLimits m_limits;
    std::map<std::string, schema::JobRecord> m_jobs;
    absl::btree_map<std::string, DataCentre> m_dataCentres;
    std::deque<std::pair<uint64_t, std::string>> m_ended; // (wall time of the end in ms, id), oldest first
    uint64_t m_version = 0;
};

} // namespace teasel

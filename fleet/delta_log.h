// The latest deltas of the configuration, from which deltas between any two recent revisions are built.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"

#include <deque>
#include <vector>

namespace teasel {

class DeltaLog {
public:
    // Keeps at most `maxEdits` edits. A revision older than these is updated with the full configuration.
    explicit DeltaLog(size_t maxEdits)
        : m_maxEdits(maxEdits)
    {
    }

    // Appends the delta that follows the last one. A full configuration or a gap clears the log first.
    void append(schema::ConfigDelta);
    void clear();

    // The delta from a revision to that of `config`. It has no edits if the revisions are equal, and holds all of
    // `config` if the log does not reach back to the revision or the edits have more bytes.
    schema::ConfigDelta since(Revision, const schema::FleetConfig& config, uint64_t digest) const;

    // Whether a holder with this revision and digest can be updated by a delta.
    bool covers(Revision, uint64_t digest) const;

    const std::deque<schema::ConfigDelta>& steps() const { return m_steps; }

private:
    std::deque<schema::ConfigDelta> m_steps;
    size_t m_maxEdits;
    size_t m_editCount = 0;
};

// A delta that replaces the whole configuration by `config`.
schema::ConfigDelta fullDelta(const schema::FleetConfig& config, uint64_t digest);

} // namespace teasel

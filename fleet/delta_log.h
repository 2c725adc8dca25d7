// The latest steps of the configuration, from which deltas between revisions are made.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"

#include <deque>
#include <vector>

namespace teasel {

class DeltaLog {
public:
    // Keeps at most this many edits; a wider gap is bridged by the whole configuration.
    explicit DeltaLog(size_t maxEdits)
        : m_maxEdits(maxEdits)
    {
    }

    // Adds the delta that follows the last one. A whole configuration or a gap starts the log anew.
    void append(schema::ConfigDelta);
    void clear();

    // The delta from one revision to the last one; without edits when there is no gap,
    // and the whole of `config` when the log does not reach back that far.
    schema::ConfigDelta since(Revision, const schema::FleetConfig& config, uint64_t digest) const;

    // Whether a holder of this revision with this digest can be mended by a delta.
    bool covers(Revision, uint64_t digest) const;

    const std::deque<schema::ConfigDelta>& steps() const { return m_steps; }

private:
    std::deque<schema::ConfigDelta> m_steps;
    size_t m_maxEdits;
    size_t m_edits = 0;
};

// A delta that replaces everything by `config`.
schema::ConfigDelta wholeDelta(const schema::FleetConfig& config, uint64_t digest);

} // namespace teasel

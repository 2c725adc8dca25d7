// Builds the orders sent in reply to a worker's report.
#pragma once

#include "placement/placement_state.h"

namespace teasel {

class OrderWriter {
public:
    explicit OrderWriter(PlacementState& state)
        : m_state(state)
    {
    }

    // Writes the starts and stops that the worker's reports do not show yet, and
    // renews its lease. The leader counts the lease from now, the worker from when
    // it sent its report, so the worker's lease always expires first.
    schema::WorkerOrders write(WorkerId, std::span<const schema::TaskKey> acknowledged, Instant now);

private:
    void addStart(schema::WorkerOrders&, Resident&) const;
    void addStop(schema::WorkerOrders&, Resident&, Instant now) const;
    void addThrottle(schema::WorkerOrders&, const Resident&) const;
    schema::StopTask* newStop(schema::WorkerOrders&, const Resident&) const;

    PlacementState& m_state;
};

} // namespace teasel

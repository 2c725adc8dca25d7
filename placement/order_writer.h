// Writes the orders that answer a worker's report.
#pragma once

#include "placement/placement_state.h"

namespace teasel {

class OrderWriter {
public:
    explicit OrderWriter(PlacementState& state)
        : m_state(state)
    {
    }

    // Starts and stops that the worker's reports do not show yet, and its lease.
    // The lease that the leader assumes begins now, that of the worker began
    // when it sent its report.
    schema::WorkerOrders write(WorkerId, std::span<const schema::TaskKey> acknowledged, Instant now);

private:
    void addStart(schema::WorkerOrders&, Resident&) const;
    void addStop(schema::WorkerOrders&, Resident&, Instant now) const;
    void addThrottle(schema::WorkerOrders&, const Resident&) const;
    schema::StopTask* newStop(schema::WorkerOrders&, const Resident&) const;

    PlacementState& m_state;
};

} // namespace teasel

// Adapts the fleet state to the state machine interface of the replicated log.
#pragma once

#include "consensus/state_machine.h"
#include "fleet/fleet_state.h"

namespace teasel {

class FleetStateMachine final : public StateMachine {
public:
    explicit FleetStateMachine(FleetState& state)
        : m_state(state)
    {
    }

    std::string apply(uint64_t index, std::string_view command) override;
    std::string snapshot() const override { return m_state.snapshot(); }
    Result<void> restore(std::string_view snapshot) override { return m_state.restore(snapshot); }

private:
    FleetState& m_state;
};

} // namespace teasel

#include "node/fleet_state_machine.h"

#include "core/invariant.h"

#include <fmt/format.h>

namespace teasel {

std::string FleetStateMachine::apply(uint64_t index, std::string_view command)
{
    schema::Command parsed;
    const bool isReadable = parsed.ParseFromArray(command.data(), static_cast<int>(command.size()));
    checkInvariant(isReadable, "committed commands can be parsed", [&] { return fmt::format("index {}", index); });
    return m_state.apply(parsed).SerializeAsString();
}

} // namespace teasel

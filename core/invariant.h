// Runtime checks of invariants. They are enabled in release builds too.
#pragma once

#include <functional>
#include <string_view>

namespace teasel {

// Called with the name of a violated invariant and a description of the values that violate it. Without a handler,
// one line is printed to standard error and the process aborts.
using InvariantHandler = std::function<void(std::string_view name, std::string_view details)>;

// Replaces the handler, for tests that expect a violation. Returns the previous handler.
InvariantHandler setInvariantHandler(InvariantHandler);

void reportInvariantViolation(std::string_view name, std::string_view details);

// Checks one named invariant. `describe` is called only on a violation and returns the values that caused it.
template <class Describe> void checkInvariant(bool holds, std::string_view name, Describe&& describe)
{
    if (!holds) [[unlikely]]
        reportInvariantViolation(name, describe());
}

} // namespace teasel

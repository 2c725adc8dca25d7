// Conditions that must hold at all times. They stay on in release builds.
#pragma once

#include <functional>
#include <string_view>

namespace teasel {

// Called with the name of a broken invariant and what was seen. The default
// prints one line to standard error and ends the process.
using InvariantHandler = std::function<void(std::string_view name, std::string_view seen)>;

// Replaces the handler, for tests that expect a breach. Returns the former one.
InvariantHandler setInvariantHandler(InvariantHandler);

void reportBrokenInvariant(std::string_view name, std::string_view seen);

// Checks one named invariant. `seen` is called only when it is broken and says
// which values broke it.
template <class Describe> void checkInvariant(bool holds, std::string_view name, Describe&& seen)
{
    if (!holds) [[unlikely]]
        reportBrokenInvariant(name, seen());
}

} // namespace teasel

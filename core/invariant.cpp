#include "core/invariant.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace teasel {

namespace {

    InvariantHandler& handler()
    {
        static InvariantHandler current;
        return current;
    }

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler next) { return std::exchange(handler(), std::move(next)); }

void reportBrokenInvariant(std::string_view name, std::string_view seen)
{
    if (handler()) {
        handler()(name, seen);
        return;
    }
    std::fprintf(stderr, "level=error event=invariant_broken name=%.*s seen=\"%.*s\"\n", static_cast<int>(name.size()),
        name.data(), static_cast<int>(seen.size()), seen.data());
    std::fflush(stderr);
    std::abort();
}

} // namespace teasel

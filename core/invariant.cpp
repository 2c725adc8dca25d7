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

InvariantHandler setInvariantHandler(InvariantHandler newHandler)
{
    return std::exchange(handler(), std::move(newHandler));
}

void reportInvariantViolation(std::string_view name, std::string_view details)
{
    if (handler()) {
        handler()(name, details);
        return;
    }
    std::fprintf(stderr, "level=error event=invariant_broken name=%.*s seen=\"%.*s\"\n", static_cast<int>(name.size()),
        name.data(), static_cast<int>(details.size()), details.data());
    std::fflush(stderr);
    std::abort();
}

} // namespace teasel

// One run of the selector reader on arbitrary bytes, for the seeded test and for libFuzzer.
#pragma once

#include "core/invariant.h"
#include "core/result.h"
#include "naming/selector.h"

#include <string>
#include <string_view>

namespace teasel::test {

// Reads `text`; what is accepted must print and read back as the same terms
// and compile, what is refused must be so as a bad request. Returns whether it was accepted.
inline bool fuzzSelector(std::string_view text)
{
    const auto first = valueOrError([&] { return parseSelector(text); });
    if (const auto* error = std::get_if<Error>(&first)) {
        checkInvariant(error->kind == ErrorKind::BadRequest && error->message.starts_with("selector"),
            "selector_refusal", [&] { return error->message; });
        return false;
    }
    const auto& terms = std::get<0>(first);
    const auto printed = printSelector(terms);
    const auto second = valueOrError([&] { return parseSelector(printed); });
    const bool same = printed.size() > maxSelectorBytes || (second.index() == 0 && std::get<0>(second) == terms);
    checkInvariant(same, "selector_round_trip", [&] { return printed; });
    NameTable names;
    const auto compiled = valueOrError([&] { return compileSelector(text, names); });
    const bool whole = compiled.index() == 0 && std::get<0>(compiled).terms.size() == terms.size();
    checkInvariant(whole, "selector_compiles", [&] { return std::string(text); });
    return true;
}

} // namespace teasel::test

// Checks the selector parser on arbitrary bytes. Shared by the seeded test and the libFuzzer target.
#pragma once

#include "core/invariant.h"
#include "core/result.h"
#include "naming/selector.h"

#include <string>
#include <string_view>

namespace teasel::test {

// Parses `text`. If the parser accepts it, the terms must survive printing and parsing, and the selector must compile.
// If the parser rejects it, the error must be BadRequest. Returns whether the text was accepted.
inline bool fuzzSelector(std::string_view text)
{
    const auto parsed = valueOrError([&] { return parseSelector(text); });
    if (const auto* error = std::get_if<Error>(&parsed)) {
        checkInvariant(error->kind == ErrorKind::BadRequest && error->message.starts_with("selector"),
            "selector_refusal", [&] { return error->message; });
        return false;
    }
    const auto& terms = std::get<0>(parsed);
    const auto printed = printSelector(terms);
    const auto reparsed = valueOrError([&] { return parseSelector(printed); });
    const bool same = printed.size() > maxSelectorBytes || (reparsed.index() == 0 && std::get<0>(reparsed) == terms);
    checkInvariant(same, "selector_round_trip", [&] { return printed; });
    NameTable names;
    const auto compiled = valueOrError([&] { return compileSelector(text, names); });
    const bool complete = compiled.index() == 0 && std::get<0>(compiled).terms.size() == terms.size();
    checkInvariant(complete, "selector_compiles", [&] { return std::string(text); });
    return true;
}

} // namespace teasel::test

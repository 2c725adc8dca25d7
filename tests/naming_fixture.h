// Configurations, labels and helpers for the tests of names and selectors.
#pragma once

#include "core/result.h"
#include "naming/label_index.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace teasel::test {

inline constexpr SchemeId ours = 0;
inline constexpr SchemeId theirs = 1;
inline constexpr SchemeId older = 2;
inline const std::vector<std::string> schemeNames { "ours", "theirs", "older" };

inline schema::FleetConfig threeSchemes()
{
    schema::FleetConfig config;
    for (size_t n = 0; n < schemeNames.size(); ++n) {
        auto& scheme = *config.add_schemes();
        scheme.set_id(static_cast<SchemeId>(n));
        scheme.set_name(schemeNames[n]);
    }
    return config;
}

// Gives a subject a name in a scheme, replacing the name that it has there.
inline void putAlias(
    schema::FleetConfig& config, SchemeId scheme, schema::SubjectKind kind, SubjectId subject, const std::string& name)
{
    schema::Alias* alias = nullptr;
    for (auto& it : *config.mutable_aliases()) {
        if (it.scheme_id() == scheme && it.kind() == kind && it.subject_id() == subject)
            alias = &it;
    }
    if (!alias)
        alias = config.add_aliases();
    alias->set_scheme_id(scheme);
    alias->set_kind(kind);
    alias->set_subject_id(subject);
    alias->set_name(name);
}

inline InstanceLabels instance(const std::string& scheme, const std::string& name,
    const std::vector<std::pair<std::string, std::string>>& labels = {})
{
    InstanceLabels out { scheme, name, "r1", "north", {} };
    for (const auto& it : labels) {
        schema::Label label;
        label.set_key(it.first);
        label.set_value(it.second);
        out.labels.push_back(label);
    }
    return out;
}

template <class Operation> auto valueOf(Operation&& operation)
{
    auto outcome = valueOrError(std::forward<Operation>(operation));
    REQUIRE(outcome.index() == 0);
    return std::get<0>(std::move(outcome));
}

template <class Operation> Error errorOf(Operation&& operation)
{
    const auto outcome = valueOrError(std::forward<Operation>(operation));
    const auto* error = std::get_if<Error>(&outcome);
    return error ? *error : Error { ErrorKind::None, "", {} };
}

inline CompiledSelector compiled(std::string_view text, NameTable& names)
{
    return valueOf([&] { return compileSelector(text, names); });
}

} // namespace teasel::test

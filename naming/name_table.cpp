#include "naming/name_table.h"

#include "naming/builtin_keys.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace teasel {

namespace {

    constexpr SubjectId derivedBit = SubjectId { 1 } << 63;
    constexpr size_t maxInternedNames = 262'144;
    constexpr size_t maxExpectedNames = 65'536;

    std::string_view kindName(schema::SubjectKind kind)
    {
        switch (kind) {
        case schema::SUBJECT_KIND_TEAM:
            return "team";
        case schema::SUBJECT_KIND_INSTANCE:
            return "instance";
        case schema::SUBJECT_KIND_LABEL_KEY:
            return "label key";
        default:
            return "name";
        }
    }

    std::optional<SubjectId> builtinNamed(schema::SubjectKind kind, std::string_view name)
    {
        if (kind != schema::SUBJECT_KIND_LABEL_KEY)
            return std::nullopt;
        for (const auto& it : builtinKeys) {
            if (it.name == name)
                return it.subject;
        }
        return std::nullopt;
    }

} // namespace

void NameTable::configure(const schema::FleetConfig& config)
{
    std::vector<std::string> before;
    for (const auto& it : m_schemes)
        before.push_back(it.SerializeAsString());
    m_schemes.assign(config.schemes().begin(), config.schemes().end());
    std::vector<std::string> after;
    m_schemeIds.clear();
    for (const auto& it : m_schemes) {
        after.push_back(it.SerializeAsString());
        m_schemeIds.emplace(it.name(), it.id());
    }
    auto names = configuredNames(config);
    if (names == m_configured && before == after)
        return;
    std::swap(names, m_configured);
    keepFormerNames(names);
    indexConfiguredNames();
    m_expected.clear();
    ++m_version;
    ++m_configurationVersion;
}

NameTable::Names NameTable::configuredNames(const schema::FleetConfig& config) const
{
    Names names;
    for (const auto& it : config.teams())
        names.insert_or_assign(Key { schema::SUBJECT_KIND_TEAM, 0, it.name() }, it.id());
    for (const auto& it : config.aliases())
        names.insert_or_assign(Key { it.kind(), normalized(it.scheme_id()), it.name() }, it.subject_id());
    return names;
}

// Instances go on announcing a former name for a while after a rename.
void NameTable::keepFormerNames(const Names& before)
{
    absl::flat_hash_set<std::pair<int, SubjectId>> named;
    for (const auto& [key, subject] : m_configured)
        named.emplace(key.kind, subject);
    for (const auto& [key, subject] : before)
        m_former.insert_or_assign(key, subject);
    absl::erase_if(m_former, [&](const auto& it) {
        return m_configured.contains(it.first) || !named.contains({ it.first.kind, it.second });
    });
}

void NameTable::indexConfiguredNames()
{
    m_configuredNames.clear();
    for (const auto& [key, subject] : m_configured)
        m_configuredNames.emplace(Place { key.kind, key.scheme, subject }, key.name);
}

SchemeId NameTable::normalized(SchemeId scheme) const
{
    return !m_schemes.empty() && m_schemes.front().id() == scheme ? 0 : scheme;
}

Result<SchemeId> NameTable::scheme(std::string_view name) const
{
    if (name.empty())
        return m_schemes.empty() ? 0 : m_schemes.front().id();
    const auto it = m_schemeIds.find(std::string(name));
    if (it != m_schemeIds.end())
        return it->second;
    std::string known;
    for (const auto& each : m_schemes)
        known += fmt::format("{}{}", known.empty() ? "" : ", ", each.name());
    return fail(ErrorKind::NotFound,
        fmt::format("no naming scheme \"{}\"; there are: {}", name, known.empty() ? "none" : known));
}

std::string NameTable::schemeName(SchemeId scheme) const
{
    for (const auto& it : m_schemes) {
        if (normalized(it.id()) == normalized(scheme))
            return it.name();
    }
    return fmt::format("{}", scheme);
}

SubjectId NameTable::derivedSubject(schema::SubjectKind kind, SchemeId scheme, std::string_view name) const
{
    const auto text = fmt::format("{}/{}/{}", static_cast<int>(kind), normalized(scheme), name);
    return XXH64(text.data(), text.size(), 0) | derivedBit;
}

SubjectId NameTable::meaningOf(const Key& key) const
{
    if (const auto it = m_configured.find(key); it != m_configured.end())
        return it->second;
    if (const auto it = m_former.find(key); it != m_former.end())
        return it->second;
    if (const auto builtin = builtinNamed(key.kind, key.name))
        return *builtin;
    return derivedSubject(key.kind, key.scheme, key.name);
}

SubjectId NameTable::meaningIn(schema::SubjectKind kind, SchemeId scheme, std::string_view name) const
{
    return meaningOf({ kind, normalized(scheme), std::string(name) });
}

SubjectId NameTable::intern(schema::SubjectKind kind, SchemeId scheme, std::string_view name)
{
    Key key { kind, normalized(scheme), std::string(name) };
    const auto subject = meaningOf(key);
    if (m_interned.contains(key))
        return subject;
    if (m_interned.size() >= maxInternedNames) {
        m_interned.clear(); // what is still in use is announced again
        m_internedNames.clear();
        ++m_version;
    }
    if (m_expected.contains(Key { kind, 0, key.name }))
        ++m_version;
    m_internedNames.emplace(Place { kind, key.scheme, derivedSubject(kind, scheme, name) }, key.name);
    m_interned.insert(std::move(key));
    return subject;
}

bool NameTable::isKnown(const Key& key) const
{
    return m_configured.contains(key) || m_former.contains(key) || m_interned.contains(key)
        || builtinNamed(key.kind, key.name);
}

std::vector<NameCandidate> NameTable::candidates(schema::SubjectKind kind, std::string_view name) const
{
    std::vector<NameCandidate> found;
    const auto add = [&](SchemeId scheme) {
        const Key key { kind, normalized(scheme), std::string(name) };
        if (isKnown(key))
            found.push_back({ scheme, meaningOf(key) });
    };
    if (m_schemes.empty())
        add(0);
    for (const auto& it : m_schemes)
        add(it.id());
    return found;
}

NameTable::SplitName NameTable::split(std::string_view name) const
{
    const auto colon = name.find(':');
    if (colon == std::string_view::npos)
        return { std::nullopt, name };
    const auto it = m_schemeIds.find(std::string(name.substr(0, colon)));
    if (it == m_schemeIds.end())
        return { std::nullopt, name };
    return { it->second, name.substr(colon + 1) };
}

bool NameTable::isUnknown(schema::SubjectKind kind, std::string_view name) const
{
    return !split(name).scheme && candidates(kind, name).empty();
}

std::optional<SchemeId> NameTable::qualifier(std::string_view name) const { return split(name).scheme; }

boost::leaf::error_id NameTable::refuseAmbiguous(std::string_view name, std::span<const NameCandidate> found) const
{
    std::string list;
    for (const auto& it : found)
        list += fmt::format("{}{}:{}", list.empty() ? "" : ", ", schemeName(it.scheme), name);
    return fail(ErrorKind::AmbiguousName, fmt::format("\"{}\" means different things; write one of: {}", name, list));
}

boost::leaf::error_id NameTable::refuseUnknown(schema::SubjectKind kind, std::string_view name) const
{
    return fail(ErrorKind::NotFound, fmt::format("no {} \"{}\" in any naming scheme", kindName(kind), name));
}

Result<SubjectId> NameTable::resolve(schema::SubjectKind kind, std::string_view name) const
{
    const auto parts = split(name);
    if (parts.scheme) {
        const Key key { kind, normalized(*parts.scheme), std::string(parts.name) };
        if (!isKnown(key))
            return refuseUnknown(kind, name);
        return meaningOf(key);
    }
    const auto found = candidates(kind, name);
    if (found.empty())
        return refuseUnknown(kind, name);
    const auto differs = [&](const NameCandidate& it) { return it.subject != found.front().subject; };
    if (std::any_of(found.begin(), found.end(), differs))
        return refuseAmbiguous(name, found);
    return found.front().subject;
}

Result<SubjectId> NameTable::resolveOrExpect(
    schema::SubjectKind kind, std::string_view name, std::optional<SchemeId> within)
{
    const auto parts = split(name);
    if (parts.scheme)
        return meaningIn(kind, *parts.scheme, parts.name);
    if (within)
        return meaningIn(kind, *within, name);
    if (m_expected.size() >= maxExpectedNames) {
        m_expected.clear();
        ++m_version;
    }
    m_expected.insert(Key { kind, 0, std::string(name) });
    if (!candidates(kind, name).empty())
        return resolve(kind, name);
    if (const auto colon = name.find(':'); colon != std::string_view::npos && !m_schemes.empty())
        BOOST_LEAF_CHECK(scheme(name.substr(0, colon)));
    return meaningIn(kind, 0, name);
}

std::string NameTable::nameIn(SchemeId scheme, schema::SubjectKind kind, SubjectId subject) const
{
    const Place place { kind, normalized(scheme), subject };
    if (const auto it = m_configuredNames.find(place); it != m_configuredNames.end())
        return it->second;
    if (kind == schema::SUBJECT_KIND_LABEL_KEY) {
        for (const auto& it : builtinKeys) {
            if (it.subject == subject)
                return std::string(it.name);
        }
    }
    const auto it = m_internedNames.find(place);
    return it == m_internedNames.end() ? std::string() : it->second;
}

} // namespace teasel

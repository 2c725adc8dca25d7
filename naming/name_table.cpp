#include "naming/name_table.h"

#include "naming/builtin_keys.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace teasel {

namespace {

    constexpr SubjectId derivedBit = SubjectId { 1 } << 63;
    constexpr size_t maxInternedNames = 262'144;
    constexpr size_t maxLookedUpNames = 65'536;

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

    std::optional<SubjectId> findBuiltinKey(schema::SubjectKind kind, std::string_view name)
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
    if (names == m_subjectByConfiguredName && before == after)
        return;
    std::swap(names, m_subjectByConfiguredName);
    keepPreviousNames(names);
    indexConfiguredNames();
    m_lookedUpNames.clear();
    ++m_version;
    ++m_configurationVersion;
}

NameTable::SubjectByName NameTable::configuredNames(const schema::FleetConfig& config) const
{
    SubjectByName names;
    for (const auto& it : config.teams())
        names.insert_or_assign(Key { schema::SUBJECT_KIND_TEAM, 0, it.name() }, it.id());
    for (const auto& it : config.aliases())
        names.insert_or_assign(Key { it.kind(), normalizedScheme(it.scheme_id()), it.name() }, it.subject_id());
    return names;
}

// Previous names stay valid because instances continue to announce them for a while after a rename.
void NameTable::keepPreviousNames(const SubjectByName& before)
{
    absl::flat_hash_set<std::pair<int, SubjectId>> named;
    for (const auto& [key, subject] : m_subjectByConfiguredName)
        named.emplace(key.kind, subject);
    for (const auto& [key, subject] : before)
        m_subjectByPreviousName.insert_or_assign(key, subject);
    absl::erase_if(m_subjectByPreviousName, [&](const auto& it) {
        return m_subjectByConfiguredName.contains(it.first) || !named.contains({ it.first.kind, it.second });
    });
}

void NameTable::indexConfiguredNames()
{
    m_configuredNameBySubject.clear();
    for (const auto& [key, subject] : m_subjectByConfiguredName)
        m_configuredNameBySubject.emplace(SchemeSubject { key.kind, key.scheme, subject }, key.name);
}

SchemeId NameTable::normalizedScheme(SchemeId scheme) const
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
        if (normalizedScheme(it.id()) == normalizedScheme(scheme))
            return it.name();
    }
    return fmt::format("{}", scheme);
}

SubjectId NameTable::derivedSubject(schema::SubjectKind kind, SchemeId scheme, std::string_view name) const
{
    const auto text = fmt::format("{}/{}/{}", static_cast<int>(kind), normalizedScheme(scheme), name);
    return XXH64(text.data(), text.size(), 0) | derivedBit;
}

SubjectId NameTable::subjectOf(const Key& key) const
{
    if (const auto it = m_subjectByConfiguredName.find(key); it != m_subjectByConfiguredName.end())
        return it->second;
    if (const auto it = m_subjectByPreviousName.find(key); it != m_subjectByPreviousName.end())
        return it->second;
    if (const auto builtin = findBuiltinKey(key.kind, key.name))
        return *builtin;
    return derivedSubject(key.kind, key.scheme, key.name);
}

SubjectId NameTable::subjectIn(schema::SubjectKind kind, SchemeId scheme, std::string_view name) const
{
    return subjectOf({ kind, normalizedScheme(scheme), std::string(name) });
}

SubjectId NameTable::intern(schema::SubjectKind kind, SchemeId scheme, std::string_view name)
{
    Key key { kind, normalizedScheme(scheme), std::string(name) };
    const auto subject = subjectOf(key);
    if (m_internedKeys.contains(key))
        return subject;
    if (m_internedKeys.size() >= maxInternedNames) {
        m_internedKeys.clear(); // names that are still in use will be announced again
        m_internedNameBySubject.clear();
        ++m_version;
    }
    if (m_lookedUpNames.contains(Key { kind, 0, key.name }))
        ++m_version;
    m_internedNameBySubject.emplace(SchemeSubject { kind, key.scheme, derivedSubject(kind, scheme, name) }, key.name);
    m_internedKeys.insert(std::move(key));
    return subject;
}

bool NameTable::isKnown(const Key& key) const
{
    return m_subjectByConfiguredName.contains(key) || m_subjectByPreviousName.contains(key)
        || m_internedKeys.contains(key) || findBuiltinKey(key.kind, key.name);
}

std::vector<NameCandidate> NameTable::candidates(schema::SubjectKind kind, std::string_view name) const
{
    std::vector<NameCandidate> found;
    const auto add = [&](SchemeId scheme) {
        const Key key { kind, normalizedScheme(scheme), std::string(name) };
        if (isKnown(key))
            found.push_back({ scheme, subjectOf(key) });
    };
    if (m_schemes.empty())
        add(0);
    for (const auto& it : m_schemes)
        add(it.id());
    return found;
}

NameTable::NameParts NameTable::splitQualifier(std::string_view name) const
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
    return !splitQualifier(name).scheme && candidates(kind, name).empty();
}

std::optional<SchemeId> NameTable::qualifier(std::string_view name) const { return splitQualifier(name).scheme; }

boost::leaf::error_id NameTable::ambiguousNameError(std::string_view name, std::span<const NameCandidate> found) const
{
    std::string list;
    for (const auto& it : found)
        list += fmt::format("{}{}:{}", list.empty() ? "" : ", ", schemeName(it.scheme), name);
    return fail(ErrorKind::AmbiguousName, fmt::format("\"{}\" means different things; write one of: {}", name, list));
}

boost::leaf::error_id NameTable::unknownNameError(schema::SubjectKind kind, std::string_view name) const
{
    return fail(ErrorKind::NotFound, fmt::format("no {} \"{}\" in any naming scheme", kindName(kind), name));
}

Result<SubjectId> NameTable::resolve(schema::SubjectKind kind, std::string_view name) const
{
    const auto parts = splitQualifier(name);
    if (parts.scheme) {
        const Key key { kind, normalizedScheme(*parts.scheme), std::string(parts.name) };
        if (!isKnown(key))
            return unknownNameError(kind, name);
        return subjectOf(key);
    }
    const auto found = candidates(kind, name);
    if (found.empty())
        return unknownNameError(kind, name);
    const auto differs = [&](const NameCandidate& it) { return it.subject != found.front().subject; };
    if (std::any_of(found.begin(), found.end(), differs))
        return ambiguousNameError(name, found);
    return found.front().subject;
}

Result<SubjectId> NameTable::resolveOrDerive(
    schema::SubjectKind kind, std::string_view name, std::optional<SchemeId> within)
{
    const auto parts = splitQualifier(name);
    if (parts.scheme)
        return subjectIn(kind, *parts.scheme, parts.name);
    if (within)
        return subjectIn(kind, *within, name);
    if (m_lookedUpNames.size() >= maxLookedUpNames) {
        m_lookedUpNames.clear();
        ++m_version;
    }
    m_lookedUpNames.insert(Key { kind, 0, std::string(name) });
    if (!candidates(kind, name).empty())
        return resolve(kind, name);
    if (const auto colon = name.find(':'); colon != std::string_view::npos && !m_schemes.empty())
        BOOST_LEAF_CHECK(scheme(name.substr(0, colon)));
    return subjectIn(kind, 0, name);
}

std::string NameTable::nameIn(SchemeId scheme, schema::SubjectKind kind, SubjectId subject) const
{
    const SchemeSubject key { kind, normalizedScheme(scheme), subject };
    if (const auto it = m_configuredNameBySubject.find(key); it != m_configuredNameBySubject.end())
        return it->second;
    if (kind == schema::SUBJECT_KIND_LABEL_KEY) {
        for (const auto& it : builtinKeys) {
            if (it.subject == subject)
                return std::string(it.name);
        }
    }
    const auto it = m_internedNameBySubject.find(key);
    return it == m_internedNameBySubject.end() ? std::string() : it->second;
}

} // namespace teasel

#include "naming/label_index.h"

#include "core/invariant.h"
#include "naming/builtin_keys.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    bool sameLabels(const InstanceLabels& a, const InstanceLabels& b)
    {
        const auto same = [](const schema::Label& x, const schema::Label& y) {
            return x.key() == y.key() && x.value() == y.value();
        };
        return a.scheme == b.scheme && a.name == b.name && a.rack == b.rack && a.dataCentre == b.dataCentre
            && std::equal(a.labels.begin(), a.labels.end(), b.labels.begin(), b.labels.end(), same);
    }

    std::string_view builtinField(const InstanceLabels& labels, SubjectId builtin)
    {
        if (builtin == instanceKey)
            return labels.name;
        return builtin == rackKey ? labels.rack : labels.dataCentre;
    }

    bool isBuiltin(SubjectId key) { return key == instanceKey || key == rackKey || key == dataCentreKey; }

} // namespace

// Adds a posting under the subject that the key refers to. If an alias has given the key to another subject, a second
// posting is added under the derived id, so that selectors compiled before the alias still match.
void LabelIndex::addPosting(SchemeId scheme, std::string_view key, uint64_t value, Postings& out)
{
    const auto subject = m_names.intern(schema::SUBJECT_KIND_LABEL_KEY, scheme, key);
    const auto derived = m_names.derivedSubject(schema::SUBJECT_KIND_LABEL_KEY, scheme, key);
    out.push_back({ subject, value });
    if (derived != subject && !isBuiltin(subject))
        out.push_back({ derived, value });
}

void LabelIndex::addLabels(const InstanceLabels& labels, SchemeId scheme, Postings& out)
{
    for (const auto& it : labels.labels) {
        const auto subject = m_names.subjectIn(schema::SUBJECT_KIND_LABEL_KEY, scheme, it.key());
        if (isBuiltin(subject) && (subject == instanceKey || !builtinField(labels, subject).empty()))
            continue;
        addPosting(scheme, it.key(), hashLabelValue(it.value()), out);
    }
    if (!labels.rack.empty())
        out.push_back({ rackKey, hashLabelValue(labels.rack) });
    if (!labels.dataCentre.empty())
        out.push_back({ dataCentreKey, hashLabelValue(labels.dataCentre) });
}

Result<LabelIndex::Postings> LabelIndex::postingsOf(const InstanceLabels& labels)
{
    BOOST_LEAF_AUTO(scheme, m_names.scheme(labels.scheme));
    Postings postings;
    postings.push_back({ instanceKey, m_names.intern(schema::SUBJECT_KIND_INSTANCE, scheme, labels.name) });
    postings.push_back({ instanceKey, m_names.derivedSubject(schema::SUBJECT_KIND_INSTANCE, scheme, labels.name) });
    addLabels(labels, scheme, postings);
    std::sort(postings.begin(), postings.end());
    postings.erase(std::unique(postings.begin(), postings.end()), postings.end());
    return postings;
}

void LabelIndex::removeStalePostings(InstanceOrdinal ordinal, const Postings& before, const Postings& after)
{
    for (const auto& it : before) {
        if (std::binary_search(after.begin(), after.end(), it))
            continue;
        auto& values = m_instancesByPosting[it];
        values.remove(ordinal);
        if (values.isEmpty())
            m_instancesByPosting.erase(it);
        auto& keys = m_instancesByKey[it.key];
        keys.remove(ordinal);
        if (keys.isEmpty())
            m_instancesByKey.erase(it.key);
    }
}

void LabelIndex::replacePostings(InstanceOrdinal ordinal, const Postings& before, const Postings& after)
{
    removeStalePostings(ordinal, before, after);
    for (const auto& it : after) {
        m_instancesByPosting[it].add(ordinal);
        m_instancesByKey[it.key].add(ordinal);
    }
}

Result<void> LabelIndex::put(InstanceOrdinal ordinal, const InstanceLabels& labels)
{
    if (m_configurationVersion != m_names.configurationVersion())
        refresh();
    const auto existing = m_instances.find(ordinal);
    if (existing != m_instances.end() && sameLabels(existing->second.labels, labels))
        return {};
    BOOST_LEAF_AUTO(postings, postingsOf(labels));
    auto& instance = m_instances[ordinal];
    replacePostings(ordinal, instance.postings, postings);
    instance = { labels, std::move(postings) };
    m_all.add(ordinal);
    ++m_version;
    checkInstanceCount();
    return {};
}

void LabelIndex::remove(InstanceOrdinal ordinal)
{
    const auto it = m_instances.find(ordinal);
    if (it == m_instances.end())
        return;
    removeStalePostings(ordinal, it->second.postings, {});
    m_instances.erase(it);
    m_all.remove(ordinal);
    ++m_version;
    checkInstanceCount();
}

void LabelIndex::refresh()
{
    if (m_configurationVersion == m_names.configurationVersion())
        return;
    m_configurationVersion = m_names.configurationVersion();
    for (auto& it : m_instances) {
        auto& instance = it.second;
        auto resolved = valueOrError([&] { return postingsOf(instance.labels); });
        if (std::holds_alternative<Error>(resolved))
            continue; // the scheme was removed: the instance keeps its postings
        auto& postings = std::get<0>(resolved);
        replacePostings(it.first, instance.postings, postings);
        instance.postings = std::move(postings);
    }
    ++m_version;
}

const roaring::Roaring* LabelIndex::postingSet(SubjectId key, uint64_t value) const
{
    const auto it = m_instancesByPosting.find(Posting { key, value });
    return it == m_instancesByPosting.end() ? nullptr : &it->second;
}

const roaring::Roaring* LabelIndex::keySet(SubjectId key) const
{
    const auto it = m_instancesByKey.find(key);
    return it == m_instancesByKey.end() ? nullptr : &it->second;
}

std::optional<CompiledTerm> LabelIndex::resolveProvisional(const CompiledTerm& term) const
{
    auto resolved = valueOrError([&] { return resolveAgain(term, m_names); });
    if (std::holds_alternative<Error>(resolved))
        return std::nullopt;
    return std::get<0>(std::move(resolved));
}

LabelIndex::TermSet LabelIndex::termSetOf(const CompiledTerm& term) const
{
    if (!term.provisional)
        return termSetOfResolved(term);
    const auto current = resolveProvisional(term);
    return current ? termSetOfResolved(*current) : TermSet {};
}

LabelIndex::TermSet LabelIndex::termSetOfResolved(const CompiledTerm& term) const
{
    static const roaring::Roaring none;
    const auto orEmpty = [](const roaring::Roaring* set) { return set ? set : &none; };
    const bool includes = isPositive(term.op);
    if (term.values.empty())
        return { orEmpty(keySet(term.key)), {}, includes };
    if (term.values.size() == 1)
        return { orEmpty(postingSet(term.key, term.values.front())), {}, includes };
    TermSet any { nullptr, {}, includes };
    for (const auto value : term.values) {
        if (const auto* set = postingSet(term.key, value))
            any.owned |= *set;
    }
    return any;
}

roaring::Roaring LabelIndex::matching(const CompiledSelector& selector) const
{
    std::vector<TermSet> included;
    std::vector<TermSet> excluded;
    for (const auto& it : selector.terms) {
        auto set = termSetOf(it);
        (set.includes ? included : excluded).push_back(std::move(set));
    }
    // Start with the smallest set: each further intersection costs no more than the size of the remaining result.
    std::sort(included.begin(), included.end(),
        [](const TermSet& a, const TermSet& b) { return a.get().cardinality() < b.get().cardinality(); });
    auto result = included.empty() ? m_all : included.front().get();
    for (size_t n = 1; n < included.size() && !result.isEmpty(); ++n) {
        if (included[n].get().cardinality() != m_all.cardinality())
            result &= included[n].get();
    }
    for (const auto& it : excluded)
        result -= it.get();
    return result;
}

bool LabelIndex::termMatches(const CompiledTerm& term, InstanceOrdinal ordinal) const
{
    if (term.provisional) {
        const auto set = termSetOf(term);
        return set.get().contains(ordinal) == set.includes;
    }
    const auto contains = [&](const roaring::Roaring* set) { return set && set->contains(ordinal); };
    bool found = term.values.empty() && contains(keySet(term.key));
    for (const auto value : term.values)
        found = found || contains(postingSet(term.key, value));
    return found == isPositive(term.op);
}

bool LabelIndex::matches(const CompiledSelector& selector, InstanceOrdinal ordinal) const
{
    if (!m_all.contains(ordinal))
        return false;
    return std::all_of(
        selector.terms.begin(), selector.terms.end(), [&](const auto& it) { return termMatches(it, ordinal); });
}

std::string LabelIndex::blockingTerm(const CompiledSelector& selector) const
{
    if (m_all.isEmpty())
        return {};
    for (const auto& it : selector.terms) {
        const auto set = termSetOf(it);
        if (set.get().cardinality() == (set.includes ? 0 : m_all.cardinality()))
            return it.text;
    }
    return {};
}

void LabelIndex::checkInstanceCount() const
{
    checkInvariant(m_all.cardinality() == m_instances.size(), "label_index_counts",
        [&] { return fmt::format("{} instances, {} in the set", m_instances.size(), m_all.cardinality()); });
}

} // namespace teasel

// Property tests of selectors over generated fleets. The seed is fixed; RC_PARAMS="seed=N" sets another one.
#include "naming_fixture.h"

#include "naming/builtin_keys.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <set>

namespace teasel {

using namespace test;

namespace {

    constexpr auto labelKey = schema::SUBJECT_KIND_LABEL_KEY;
    constexpr auto instanceKind = schema::SUBJECT_KIND_INSTANCE;
    const std::vector<std::string> keyNames { "zone", "gpu", "disk", "rack", "data_centre" };
    const std::vector<std::string> valueNames { "a", "b", "c d", "" };

    void checkProperty(const char* text, const std::function<void()>& property)
    {
        setenv("RC_PARAMS", "seed=20261204 max_success=400", 0);
        CHECK(rc::check(text, property));
    }

    size_t below(size_t end) { return *rc::gen::inRange<size_t>(0, end); }

    std::string pick(const std::vector<std::string>& from) { return from[below(from.size())]; }

    // Names differ between schemes, as in the announcements of machines that use different schemes.
    std::string nameInScheme(const std::string& name, const std::string& scheme)
    {
        return scheme == "ours" ? name : fmt::format("{}-{}", name, scheme);
    }

    struct Fleet {
        NameTable names;
        LabelIndex index { names };
        schema::FleetConfig config = threeSchemes();
        std::vector<InstanceLabels> instances;

        Fleet()
        {
            names.configure(config);
            const auto n = 1 + below(12);
            for (size_t ordinal = 0; ordinal < n; ++ordinal)
                add(ordinal);
        }

        void add(size_t ordinal)
        {
            const auto scheme = pick(schemeNames);
            auto labels = instance(scheme, nameInScheme(fmt::format("w{}", ordinal), scheme));
            labels.rack = pick(valueNames);
            labels.dataCentre = pick(valueNames);
            for (size_t n = below(5); n > 0; --n) {
                schema::Label label;
                label.set_key(nameInScheme(keyNames[below(3)], scheme));
                label.set_value(pick(valueNames));
                labels.labels.push_back(label);
            }
            RC_ASSERT(index.put(static_cast<InstanceOrdinal>(ordinal), labels));
            instances.push_back(std::move(labels));
        }

        SchemeId schemeOf(const InstanceLabels& labels)
        {
            return valueOf([&] { return names.scheme(labels.scheme); });
        }
    };

    SelectorTerm randomTerm()
    {
        SelectorTerm term;
        const auto scheme = pick(schemeNames);
        const bool byInstance = below(4) == 0;
        const auto key = byInstance ? "instance" : pick(keyNames);
        const bool builtin = byInstance || key == "rack" || key == "data_centre";
        term.key = fmt::format("{}:{}", scheme, builtin ? key : nameInScheme(key, scheme));
        term.op = static_cast<SelectorOperator>(below(6));
        if (term.op == SelectorOperator::Exists || term.op == SelectorOperator::NotExists)
            return term;
        const bool single = term.op == SelectorOperator::Equal || term.op == SelectorOperator::NotEqual;
        for (size_t n = single ? 1 : 1 + below(3); n > 0; --n)
            term.values.push_back(byInstance ? nameInScheme(fmt::format("w{}", below(12)), scheme) : pick(valueNames));
        return term;
    }

    std::vector<SelectorTerm> randomTerms()
    {
        std::vector<SelectorTerm> terms(below(6));
        for (auto& it : terms)
            it = randomTerm();
        return terms;
    }

    // The values that an instance has for a key, computed from its announcement alone, without the index.
    std::set<std::string> valuesOf(Fleet& fleet, const InstanceLabels& labels, SubjectId key)
    {
        if (key == instanceKey)
            return { fmt::format("{}", fleet.names.subjectIn(instanceKind, fleet.schemeOf(labels), labels.name)) };
        std::set<std::string> values;
        if (key == rackKey && !labels.rack.empty())
            values.insert(labels.rack);
        if (key == dataCentreKey && !labels.dataCentre.empty())
            values.insert(labels.dataCentre);
        for (const auto& it : labels.labels) {
            if (fleet.names.subjectIn(labelKey, fleet.schemeOf(labels), it.key()) == key)
                values.insert(it.value());
        }
        return values;
    }

    bool matchesDirectly(Fleet& fleet, const InstanceLabels& labels, const SelectorTerm& term)
    {
        const auto scheme = *fleet.names.qualifier(term.key);
        const auto key = fleet.names.subjectIn(labelKey, scheme, term.key.substr(term.key.find(':') + 1));
        const auto values = valuesOf(fleet, labels, key);
        bool found = term.values.empty() && !values.empty();
        for (const auto& it : term.values) {
            const auto wanted
                = key == instanceKey ? fmt::format("{}", fleet.names.subjectIn(instanceKind, scheme, it)) : it;
            found = found || values.contains(wanted);
        }
        return found == isPositive(term.op);
    }

    void renameRandomSubject(Fleet& fleet, size_t step)
    {
        const auto scheme = static_cast<SchemeId>(below(schemeNames.size()));
        if (below(2) == 0) {
            const auto name = nameInScheme(keyNames[below(3)], schemeNames[scheme]);
            putAlias(fleet.config, scheme, labelKey, fleet.names.subjectIn(labelKey, scheme, name),
                fmt::format("key{}", step));
        } else {
            const auto name = nameInScheme(fmt::format("w{}", below(12)), schemeNames[scheme]);
            putAlias(fleet.config, scheme, instanceKind, fleet.names.subjectIn(instanceKind, scheme, name),
                fmt::format("instance{}", step));
        }
        fleet.names.configure(fleet.config);
        fleet.index.refresh();
    }

    // Makes an instance announce the names that the configuration now gives to it and its label keys.
    void announceCurrentNames(Fleet& fleet, size_t ordinal)
    {
        auto& labels = fleet.instances[ordinal];
        const auto scheme = fleet.schemeOf(labels);
        const auto current = [&](schema::SubjectKind kind, const std::string& name) {
            const auto now = fleet.names.nameIn(scheme, kind, fleet.names.subjectIn(kind, scheme, name));
            return now.empty() ? name : now;
        };
        labels.name = current(instanceKind, labels.name);
        for (auto& it : labels.labels)
            it.set_key(current(labelKey, it.key()));
        RC_ASSERT(fleet.index.put(static_cast<InstanceOrdinal>(ordinal), labels));
    }

} // namespace

TEST_CASE("parsing printed terms returns the same terms")
{
    checkProperty("parse of print", [] {
        std::vector<SelectorTerm> terms(below(5));
        for (auto& it : terms) {
            it = randomTerm();
            it.key = *rc::gen::nonEmpty<std::string>();
            for (auto& value : it.values)
                value = *rc::gen::arbitrary<std::string>();
        }
        const auto text = printSelector(terms);
        RC_ASSERT(valueOf([&] { return parseSelector(text); }) == terms);
    });
}

TEST_CASE("evaluation with bitmaps equals direct evaluation of each term on the announcements")
{
    checkProperty("bitmap evaluation equals direct evaluation", [] {
        Fleet fleet;
        const auto terms = randomTerms();
        const auto selector = compiled(printSelector(terms), fleet.names);
        const auto found = fleet.index.matching(selector);
        for (size_t n = 0; n < fleet.instances.size(); ++n) {
            bool expected = true;
            for (const auto& it : terms)
                expected = expected && matchesDirectly(fleet, fleet.instances[n], it);
            RC_ASSERT(found.contains(static_cast<uint32_t>(n)) == expected);
            RC_ASSERT(fleet.index.matches(selector, static_cast<InstanceOrdinal>(n)) == expected);
        }
    });
}

TEST_CASE("renaming in one scheme never changes what a compiled selector matches")
{
    checkProperty("renames do not change matches", [] {
        Fleet fleet;
        const auto selector = compiled(printSelector(randomTerms()), fleet.names);
        const auto before = fleet.index.matching(selector);
        for (size_t step = 0; step < 4; ++step) {
            renameRandomSubject(fleet, step);
            RC_ASSERT(fleet.index.matching(selector) == before);
            announceCurrentNames(fleet, below(fleet.instances.size()));
            RC_ASSERT(fleet.index.matching(selector) == before);
        }
    });
}

} // namespace teasel

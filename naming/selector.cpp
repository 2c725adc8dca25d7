#include "naming/selector.h"

#include "naming/builtin_keys.h"
#include "naming/selector_parser.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace teasel {

namespace {

    std::string printName(std::string_view name)
    {
        if (isBareWord(name))
            return std::string(name);
        std::string out = "\"";
        for (const char c : name) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c;
        }
        return out + '"';
    }

    std::string printList(std::span<const std::string> values)
    {
        std::string out;
        for (const auto& it : values)
            out += fmt::format("{}{}", out.empty() ? "(" : ", ", printName(it));
        return out + ")";
    }

    Result<CompiledTerm> compileTerm(const SelectorTerm& term, NameTable& names)
    {
        CompiledTerm compiled;
        compiled.op = term.op;
        compiled.text = printTerm(term);
        compiled.provisional = names.isUnknown(schema::SUBJECT_KIND_LABEL_KEY, term.key);
        BOOST_LEAF_ASSIGN(compiled.key, names.resolveOrDerive(schema::SUBJECT_KIND_LABEL_KEY, term.key));
        const auto scheme = names.qualifier(term.key);
        for (const auto& it : term.values) {
            if (compiled.key != instanceKey) {
                compiled.values.push_back(hashLabelValue(it));
                continue;
            }
            const bool unknown = !scheme && names.isUnknown(schema::SUBJECT_KIND_INSTANCE, it);
            compiled.provisional = compiled.provisional || unknown;
            BOOST_LEAF_AUTO(subject, names.resolveOrDerive(schema::SUBJECT_KIND_INSTANCE, it, scheme));
            compiled.values.push_back(subject);
        }
        std::sort(compiled.values.begin(), compiled.values.end());
        compiled.values.erase(std::unique(compiled.values.begin(), compiled.values.end()), compiled.values.end());
        return compiled;
    }

} // namespace

bool isPositive(SelectorOperator op)
{
    return op == SelectorOperator::Equal || op == SelectorOperator::In || op == SelectorOperator::Exists;
}

uint64_t hashLabelValue(std::string_view value) { return XXH64(value.data(), value.size(), 0); }

std::string printTerm(const SelectorTerm& term)
{
    const auto key = printName(term.key);
    switch (term.op) {
    case SelectorOperator::Equal:
        return fmt::format("{} = {}", key, printName(term.values.front()));
    case SelectorOperator::NotEqual:
        return fmt::format("{} != {}", key, printName(term.values.front()));
    case SelectorOperator::In:
        return fmt::format("{} in {}", key, printList(term.values));
    case SelectorOperator::NotIn:
        return fmt::format("{} not in {}", key, printList(term.values));
    case SelectorOperator::Exists:
        return fmt::format("exists {}", key);
    case SelectorOperator::NotExists:
        return fmt::format("not exists {}", key);
    }
    return {};
}

std::string printSelector(std::span<const SelectorTerm> terms)
{
    std::string out;
    for (const auto& it : terms)
        out += fmt::format("{}{}", out.empty() ? "" : " and ", printTerm(it));
    return out;
}

Result<std::vector<SelectorTerm>> parseSelector(std::string_view text) { return SelectorParser(text).parse(); }

Result<CompiledTerm> resolveAgain(const CompiledTerm& term, NameTable& names)
{
    BOOST_LEAF_AUTO(terms, parseSelector(term.text));
    return compileTerm(terms.front(), names);
}

Result<CompiledSelector> compileSelector(std::string_view text, NameTable& names)
{
    BOOST_LEAF_AUTO(terms, parseSelector(text));
    CompiledSelector selector { std::string(text), {} };
    for (const auto& it : terms) {
        BOOST_LEAF_AUTO(term, compileTerm(it, names));
        selector.terms.push_back(std::move(term));
    }
    return selector;
}

} // namespace teasel

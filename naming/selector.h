// Selectors: where work may run, written in any naming scheme.
//
// Grammar: term ("and" term)*, with terms
//   key = value | key != value | key in (a, b) | key not in (a, b) | exists key | not exists key
// A key is a label key, or one of `instance`, `rack`, `data_centre`; it may be
// qualified by a scheme as `scheme:key`. Values may be quoted. Values of
// `instance` are instance names and may be qualified too; where the key is
// qualified and they are not, the key's scheme holds for them. `!=` and
// `not in` allow instances that do not have the key. The empty selector allows
// everything.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "naming/name_table.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

enum class SelectorOperator : uint8_t {
    Equal = 0,
    NotEqual = 1,
    In = 2,
    NotIn = 3,
    Exists = 4,
    NotExists = 5,
};

// One term as written.
struct SelectorTerm {
    std::string key;
    SelectorOperator op = SelectorOperator::Equal;
    std::vector<std::string> values;
    bool operator==(const SelectorTerm&) const = default;
};

// One term with its names resolved to ids.
struct CompiledTerm {
    SubjectId key = 0;
    SelectorOperator op = SelectorOperator::Equal;
    std::vector<uint64_t> values; // hashes of the values; subject ids where the key is `instance`
    std::string text; // as written
    bool provisional = false; // an unqualified name in it is not known yet; see resolveAgain()
};

// A selector ready for evaluation. Renaming does not change what it means.
struct CompiledSelector {
    std::string text; // as written
    std::vector<CompiledTerm> terms;
};

// Longest selector, in bytes.
inline constexpr size_t maxSelectorBytes = 16'384;

// Reads a selector. Fails with BadRequest, the position and what was expected.
Result<std::vector<SelectorTerm>> parseSelector(std::string_view text);

// Terms as text that parseSelector reads back as the same terms.
std::string printSelector(std::span<const SelectorTerm>);
std::string printTerm(const SelectorTerm&);

// Whether the operator keeps instances (`=`, `in`, `exists`) or leaves some out.
bool isPositive(SelectorOperator);

// A label value as compiled terms hold it.
uint64_t hashLabelValue(std::string_view);

// Reads and resolves a selector. Keys and instances not known to the table are
// expected, in the first scheme unless qualified, so that work may wait for
// instances that have not announced themselves yet. Fails as parseSelector and
// NameTable::resolve do.
Result<CompiledSelector> compileSelector(std::string_view text, NameTable&);

// A provisional term with its names resolved by what is known now. Fails as
// NameTable::resolve does, where they have become ambiguous since.
Result<CompiledTerm> resolveAgain(const CompiledTerm&, NameTable&);

} // namespace teasel

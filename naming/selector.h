// Selectors restrict the instances on which work may run. Names in them may be of any naming scheme.
//
// Grammar: term ("and" term)*, with terms
//   key = value | key != value | key in (a, b) | key not in (a, b) | exists key | not exists key
// A key is a label key or one of `instance`, `rack` and `data_centre`. It may be qualified by a scheme, as in
// `scheme:key`. Values may be quoted. Values of `instance` are instance names and may be qualified too; an unqualified
// value takes the scheme of its key if the key is qualified. `!=` and `not in` allow instances that do not have the
// key. The empty selector allows all instances.
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
    std::vector<uint64_t> values; // hashes of the values, or subject ids if the key is `instance`
    std::string text; // as printed by printTerm()
    bool provisional = false; // contains an unqualified name that is not known yet; see resolveAgain()
};

// A selector ready for evaluation. Renaming subjects does not change which instances it allows.
struct CompiledSelector {
    std::string text; // as written
    std::vector<CompiledTerm> terms;
};

// Maximum length of a selector, in bytes.
inline constexpr size_t maxSelectorBytes = 16'384;

// Parses a selector. Fails with BadRequest and a message that gives the position and what was expected there.
Result<std::vector<SelectorTerm>> parseSelector(std::string_view text);

// Converts terms to text that parseSelector() parses to the same terms.
std::string printSelector(std::span<const SelectorTerm>);
std::string printTerm(const SelectorTerm&);

// Whether the operator includes matching instances (`=`, `in`, `exists`) rather than excluding them.
bool isPositive(SelectorOperator);

// The hash of a label value, as used in compiled terms.
uint64_t hashLabelValue(std::string_view);

// Parses a selector and resolves its names. Keys and instances that the table does not know yet are accepted, in the
// first scheme unless qualified, so that work may wait for instances that have not registered yet. Fails like
// parseSelector() and NameTable::resolve().
Result<CompiledSelector> compileSelector(std::string_view text, NameTable&);

// Resolves the names of a provisional term again with the names known now. Fails like NameTable::resolve() if a name
// has become ambiguous since.
Result<CompiledTerm> resolveAgain(const CompiledTerm&, NameTable&);

} // namespace teasel

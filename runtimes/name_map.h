// A hash table by name that is searched without copying the name.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <string_view>

namespace teasel {

// Debian's Abseil has its own string_view, so its default hash does not accept std::string_view.
struct NameHash {
    using is_transparent = void;
    size_t operator()(std::string_view name) const { return absl::Hash<std::string_view> {}(name); }
};

template <class Value> using NameMap = absl::flat_hash_map<std::string, Value, NameHash, std::equal_to<>>;

} // namespace teasel

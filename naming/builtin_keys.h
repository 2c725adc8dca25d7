// Built-in label keys. Every instance has them, and they have the same names in every naming scheme.
#pragma once

#include "core/ids.h"

#include <array>
#include <string_view>

namespace teasel {

struct BuiltinKey {
    SubjectId subject = 0;
    std::string_view name;
};

// Ids of built-in keys are above all ids that the fleet state assigns and below all ids derived from names.
inline constexpr SubjectId firstBuiltinSubject = SubjectId { 1 } << 62;
inline constexpr SubjectId instanceKey = firstBuiltinSubject + 1;
inline constexpr SubjectId rackKey = firstBuiltinSubject + 2;
inline constexpr SubjectId dataCentreKey = firstBuiltinSubject + 3;

inline constexpr std::array<BuiltinKey, 3> builtinKeys { {
    { instanceKey, "instance" },
    { rackKey, "rack" },
    { dataCentreKey, "data_centre" },
} };

} // namespace teasel

// Label keys that every instance has, under the same names in every naming scheme.
#pragma once

#include "core/ids.h"

#include <array>
#include <string_view>

namespace teasel {

struct BuiltinKey {
    SubjectId subject = 0;
    std::string_view name;
};

// Above all ids that the fleet state assigns, and below those derived from names.
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

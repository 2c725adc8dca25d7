// Checks text of other processes before it goes into a message, whose text fields hold UTF-8 only.
#pragma once

#include <string_view>

namespace teasel {

// Whether the bytes are UTF-8: no overlong forms, no surrogates, nothing above U+10FFFF.
bool isUtf8(std::string_view);

} // namespace teasel

#include "core/utf8.h"

#include <cstddef>
#include <cstdint>

namespace teasel {

bool isUtf8(std::string_view text)
{
    constexpr uint32_t leastOfLength[] { 0, 0, 0x80, 0x800, 0x1'0000 }; // by the number of bytes
    for (size_t n = 0; n < text.size();) {
        const auto lead = static_cast<uint8_t>(text[n]);
        const size_t length = lead < 0x80 ? 1 : lead >> 5 == 0x6 ? 2 : lead >> 4 == 0xe ? 3 : lead >> 3 == 0x1e ? 4 : 0;
        if (length == 0 || length > text.size() - n)
            return false;
        uint32_t value = length == 1 ? lead : lead & (0x7fU >> length);
        for (size_t k = 1; k < length; ++k) {
            const auto next = static_cast<uint8_t>(text[n + k]);
            if (next >> 6 != 0x2)
                return false;
            value = value << 6 | (next & 0x3fU);
        }
        if (value < leastOfLength[length] || value > 0x10'ffff || (value >= 0xd800 && value <= 0xdfff))
            return false;
        n += length;
    }
    return true;
}

} // namespace teasel

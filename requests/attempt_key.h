// The key that ties an answer to one attempt of one request.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teasel {

// Written as `instance.incarnation.sequence.attempt`. The executor echoes it.
struct RequestAttempt {
    std::string instance;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint32_t attempt = 0;

    bool operator==(const RequestAttempt&) const = default;
};

std::string toString(const RequestAttempt&);

// Nothing when the text is not a key. The instance itself may contain dots.
std::optional<RequestAttempt> parseAttemptKey(std::string_view text);

} // namespace teasel

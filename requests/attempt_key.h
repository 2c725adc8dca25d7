// The key that matches an answer to one attempt of one request.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teasel {

// Formatted as `instance.incarnation.sequence.attempt`. The executor echoes the key in its answer.
struct RequestAttempt {
    std::string instance;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint32_t attempt = 0;

    bool operator==(const RequestAttempt&) const = default;
};

std::string toString(const RequestAttempt&);

// Returns nullopt if the text is not a valid key. The instance name may contain dots.
std::optional<RequestAttempt> parseAttemptKey(std::string_view text);

} // namespace teasel

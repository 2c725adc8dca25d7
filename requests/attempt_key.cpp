#include "requests/attempt_key.h"

#include <fmt/format.h>

#include <charconv>

namespace teasel {

namespace {

    // Parses the number after the last dot and removes both from `text`. Returns false if there is none.
    template <class Number> bool extractLastNumber(std::string_view& text, Number& value)
    {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return false;
        const auto digits = text.substr(dot + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (ec != std::errc() || end != digits.data() + digits.size() || digits.empty())
            return false;
        text = text.substr(0, dot);
        return true;
    }

} // namespace

std::string toString(const RequestAttempt& key)
{
    return fmt::format("{}.{}.{}.{}", key.instance, key.incarnation, key.sequence, key.attempt);
}

std::optional<RequestAttempt> parseAttemptKey(std::string_view text)
{
    RequestAttempt key;
    if (!extractLastNumber(text, key.attempt) || !extractLastNumber(text, key.sequence)
        || !extractLastNumber(text, key.incarnation) || text.empty())
        return std::nullopt;
    key.instance = std::string(text);
    return key;
}

} // namespace teasel

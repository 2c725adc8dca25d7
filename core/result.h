// Results of operations that can fail, on Boost.LEAF.
#pragma once

#include "core/error_kind.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace teasel {

// What went wrong, for a caller or an operator.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 }; // 0: the kind's own hint
};

template <class T> using Result = boost::leaf::result<T>;

// Makes a failed Result.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error { kind, std::move(message), {} });
}

// The T of a Result<T>.
template <class T> struct ResultValue;
template <class T> struct ResultValue<Result<T>> {
    using Type = T;
};

// Runs `operation`, which returns a Result<T>, and gives its value or its Error.
template <class Operation> auto valueOrError(Operation&& operation)
{
    using Value = typename ResultValue<std::decay_t<decltype(operation())>>::Type;
    using Slot = std::conditional_t<std::is_void_v<Value>, std::monostate, Value>;
    using Outcome = std::variant<Slot, Error>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            if constexpr (std::is_void_v<Value>) {
                BOOST_LEAF_CHECK(operation());
                return Outcome(std::monostate {});
            } else {
                BOOST_LEAF_AUTO(value, operation());
                return Outcome(std::in_place_index<0>, std::move(value));
            }
        },
        [](Error& error) { return Outcome(std::in_place_index<1>, std::move(error)); },
        [] {
            return Outcome(std::in_place_index<1>, Error { ErrorKind::Internal, "an error without a description", {} });
        });
}

} // namespace teasel

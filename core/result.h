// Results of operations that can fail, based on Boost.LEAF.
#pragma once

#include "core/error_kind.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace teasel {

// Description of a failure for a caller or an operator.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 }; // 0: use the default delay of the kind
};

template <class T> using Result = boost::leaf::result<T>;

// Creates the error of a failed Result.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error { kind, std::move(message), {} });
}

// Maps Result<T> to T.
template <class T> struct ResultValue;
template <class T> struct ResultValue<Result<T>> {
    using Type = T;
};

// Runs `operation`, which returns a Result<T>, and returns a variant of its value (std::monostate for void) and Error.
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
            return Outcome(
                std::in_place_index<1>, Error { ErrorKind::Internal, "unknown error without a description", {} });
        });
}

} // namespace teasel

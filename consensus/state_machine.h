// The interface of a state machine that the replicated log is applied to.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// Deterministic: the same commands in the same order give the same state and results.
class StateMachine {
public:
    virtual ~StateMachine() = default;

    // Applies one committed command and returns its result.
    virtual std::string apply(uint64_t index, std::string_view command) = 0;

    // Serializes the whole state.
    virtual std::string snapshot() const = 0;

    // Replaces the state by one that snapshot() serialized.
    virtual Result<void> restore(std::string_view snapshot) = 0;
};

} // namespace teasel

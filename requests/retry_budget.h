// Limits a team's retries to a fraction of its own load.
#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>

namespace teasel {

// Each first attempt earns a tenth of a retry, so retries never exceed a tenth
// of the first attempts. The balance is bounded: credit earned over a long
// failure-free period must not allow a retry storm.
class RetryBudget {
public:
    void onFirstAttempt(TeamId);

    // Takes one retry from the team's budget. Returns false if the budget does not cover it.
    bool tryConsume(TeamId);

private:
    static constexpr uint32_t firstAttemptsPerRetry = 10;
    static constexpr uint32_t maxBalance = 50 * firstAttemptsPerRetry; // in units of first attempts

    absl::flat_hash_map<TeamId, uint32_t> m_balances;
};

} // namespace teasel

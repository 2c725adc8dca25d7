// How many retries a team may make, as a part of its own load.
#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>

namespace teasel {

// Each first attempt earns a tenth of a retry; each retry costs a whole one.
// What has been earned is kept up to a bound, so that a quiet hour does not
// pay for a storm. Retries so never exceed a tenth of the first attempts.
class RetryBudget {
public:
    void onFirstAttempt(TeamId);

    // Takes one retry out of the team's budget, if there is one.
    bool tryConsume(TeamId);

private:
    static constexpr uint32_t firstAttemptsPerRetry = 10;
    static constexpr uint32_t maxBalance = 50 * firstAttemptsPerRetry; // in first attempts

    absl::flat_hash_map<TeamId, uint32_t> m_balances;
};

} // namespace teasel

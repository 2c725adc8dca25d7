#include "requests/retry_budget.h"

#include <algorithm>

namespace teasel {

void RetryBudget::onFirstAttempt(TeamId team)
{
    auto& balance = m_balances[team];
    balance = std::min(balance + 1, maxBalance);
}

bool RetryBudget::tryConsume(TeamId team)
{
    const auto it = m_balances.find(team);
    if (it == m_balances.end() || it->second < firstAttemptsPerRetry)
        return false;
    it->second -= firstAttemptsPerRetry;
    return true;
}

} // namespace teasel

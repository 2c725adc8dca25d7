#include "requests/retry_budget.h"

#include <algorithm>

namespace teasel {

void RetryBudget::onFirstAttempt(TeamId team)
{
    auto& earned = m_earned[team];
    earned = std::min(earned + 1, mostEarned);
}

bool RetryBudget::take(TeamId team)
{
    const auto it = m_earned.find(team);
    if (it == m_earned.end() || it->second < firstAttemptsPerRetry)
        return false;
    it->second -= firstAttemptsPerRetry;
    return true;
}

} // namespace teasel

// Admission control by forecast: accepts a job if it and everything accepted before it can start in time, and if its
// team is within its weight or the fleet has room to lend. Refuses at once otherwise, with a time at which room is
// likely; callers that are refused together are told different times.
#pragma once

#include "jobs/admission.h"
#include "jobs/arrival_rates.h"
#include "jobs/capacity_forecast.h"
#include "shares/team_shares.h"

#include <absl/container/btree_map.h>

#include <string>

namespace teasel {

class ForecastAdmission {
public:
    // Sets the rate of jobs that each team is owed, in jobs a second.
    void setWeights(const absl::btree_map<std::string, double>& weights) { m_shares.setWeights(weights); }

    // `capWaitMs`: how long the job waits until its team is below its cap.
    AdmissionVerdict decide(const JobDemand&, const CapacityForecast&, double capWaitMs, Instant now);

    // Records a job that was accepted; a new leader replays the jobs of the last seconds.
    void recordAccepted(const JobDemand&, std::string_view queue, bool isBorrowed, Instant at);

    std::vector<ExpectedArrivals> expectedArrivals(Instant now) { return m_arrivals.at(now); }
    const TeamShares& shares() const { return m_shares; }
    void clear();

private:
    Milliseconds retryAfter(AdmissionReason, const JobDemand&, const CapacityForecast&, double waitMs, Instant now);

    TeamShares m_shares;
    ArrivalRates m_arrivals;
    Instant m_nextReturnAt {}; // place of the next refused caller
};

} // namespace teasel

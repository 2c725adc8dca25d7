// Forecasts whether waiting work can start in time, for admission control.
//
// Supply is the free capacity and what ending runs free. Demand is what waits, by its latest start, and the more urgent
// work that is expected to arrive meanwhile. A job that would still start in time itself can make accepted jobs late,
// so the forecast looks at every latest start after the job's, too. Answers demand of up to three times the fleet for
// several seconds, after which the waiting work would otherwise stay at its latest start for the rest of the day.
#pragma once

#include "core/clock.h"
#include "jobs/load_summary.h"
#include "placement/resource_vector.h"

#include <array>
#include <limits>
#include <span>
#include <vector>

namespace teasel {

// Amounts of each resource, possibly negative.
using ResourceAmounts = std::array<double, ResourceVector::kinds>;

// Work of one queue that is expected to arrive.
struct ExpectedArrivals {
    double slackMs = 0; // how long it may wait
    ResourceRate needPerSecond {};
    bool isMostUrgent = false; // served before all other queues
};

struct ForecastDemand {
    Instant latestStart {};
    ResourceVector need;
    bool isMostUrgent = false;
};

class CapacityForecast {
public:
    // `unusableShare`: share of the fleet that stays free although work waits.
    void rebuild(const FleetLoad& supply, double unusableShare, std::vector<ForecastDemand> demands,
        std::span<const ExpectedArrivals>, Instant now);

    // Adds the demand of a job that was accepted after the last rebuild.
    void add(const ForecastDemand&);

    // The capacity that a further job with this latest start can use without making itself or waiting work late; the
    // smallest of it over time, negative if there is too much demand already. Kinds that the fleet lacks are unlimited.
    ResourceAmounts headroom(Instant latestStart, bool isMostUrgent) const;

    // The capacity left now after all waiting work has been served.
    ResourceAmounts spareNow() const;

    // Expected time until this much more capacity has come free beyond the expected arrivals.
    double timeToFreeMs(const ResourceAmounts& missing) const;

    // Time in which the fleet frees this much capacity.
    double timeToUseMs(const ResourceAmounts& need) const;

    const FleetLoad& supply() const { return m_supply; }

private:
    struct Point {
        double seconds = 0; // latest start, from the rebuild on
        ResourceAmounts headroom {}; // at this point
        ResourceAmounts smallest {}; // at this point and all later ones
        ResourceVector demand; // of this and all earlier points
    };
    // Demand by latest start: of all queues, or of the most urgent ones only, which the others do not delay.
    struct Curve {
        std::vector<Point> points;
        ResourceVector added; // since the rebuild
        ResourceVector total;
    };

    void build(Curve&, std::span<const ForecastDemand>, bool onlyMostUrgent) const;
    ResourceAmounts supplyAt(double seconds, bool onlyMostUrgent) const;
    double freedPerSecond(size_t kind) const;

    Instant m_builtAt {};
    FleetLoad m_supply;
    double m_unusableShare = 0;
    std::vector<ExpectedArrivals> m_arrivals;
    Curve m_all;
    Curve m_mostUrgent;
};

} // namespace teasel

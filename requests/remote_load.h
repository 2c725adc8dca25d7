// The load of the other data centres, as reported by their leaders.
#pragma once

#include "core/clock.h"
#include "requests.pb.h"
#include "requests/fair_queue.h"

#include <map>
#include <string>

namespace teasel {

class RemoteLoad {
public:
    // Stores a summary and charges each team with the slot time that it has used there since the previous summary.
    void onSummary(const schema::LoadSummary&, FairQueue&, Instant);

    // The size of the fleet, including data centres whose summaries are recent.
    FleetSize fleetSize(uint32_t ownSlots, Instant) const;
    void clear() { m_summaries.clear(); }

private:
    struct ReceivedSummary {
        Instant receivedAt {};
        schema::LoadSummary summary;
    };

    static void chargeUsage(const schema::LoadSummary& before, const schema::LoadSummary& after, FairQueue&, Instant);

    static constexpr Milliseconds summaryLifetime { 2'000 };

    std::map<std::string, ReceivedSummary> m_summaries;
};

} // namespace teasel

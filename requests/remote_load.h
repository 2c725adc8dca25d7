// What a data centre's leader knows of the load in the others.
#pragma once

#include "core/clock.h"
#include "requests.pb.h"
#include "requests/fair_queue.h"

#include <map>
#include <string>

namespace teasel {

class RemoteLoad {
public:
    // Takes a summary and charges each team with what it used there since the one before.
    void onSummary(const schema::LoadSummary&, FairQueue&, Instant);

    // The fleet as far as it was heard of lately.
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

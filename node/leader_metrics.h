// What a data centre's leader shows of its teams in the metrics.
#pragma once

#include "fleet/config_view.h"
#include "observability/metrics.h"
#include "placement/placement_types.h"
#include "requests.pb.h"

#include <span>

namespace teasel {

// Sets the gauges of slots, tasks, and each team's use and portion.
void reportLeaderMetrics(
    Metrics&, const ConfigView&, const schema::LoadSummary&, std::span<const schema::Portion>, const PlacementStats&);

} // namespace teasel

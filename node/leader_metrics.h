// Metrics that only a data centre's leader reports.
#pragma once

#include "fleet/config_view.h"
#include "observability/metrics.h"
#include "placement/placement_types.h"
#include "requests.pb.h"

#include <span>

namespace teasel {

// Sets the gauges for slots and tasks, and each team's use and portion.
void reportLeaderMetrics(
    Metrics&, const ConfigView&, const schema::LoadSummary&, std::span<const schema::Portion>, const PlacementStats&);

} // namespace teasel

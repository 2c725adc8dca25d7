// How a team's limit is divided among data centres: a floor for each that is
// heard from, the rest by need, some of it ahead of need.
#pragma once

#include "fleet/portion_table.h"

#include <vector>

namespace teasel {

// One data centre's part of one team's limit.
struct PortionSite {
    bool live = false; // heard from lately; others keep what they have
    Amounts portion; // committed
    Amounts held; // what it has shrunk to; `portion` where it said nothing
    Amounts inUse;
    Amounts wanted; // including what is in use
};

struct PortionPlan {
    std::vector<Amounts> portions; // to be committed; never above what is held, except from the free part of the limit
    std::vector<Amounts> targets; // what each data centre is asked to shrink to; its portion where nothing is asked
};

// Plans one team's next step. The order of sites decides ties.
PortionPlan planPortions(const Amounts& limit, const std::vector<PortionSite>& sites);

} // namespace teasel

// Division of a team's limit among data centres: a floor for each live data centre, the rest by need, with headroom
// above the present need.
#pragma once

#include "fleet/portion_table.h"

#include <vector>

namespace teasel {

// One data centre's portion of one team's limit, and its use of it.
struct DataCentrePortion {
    bool live = false; // had contact recently; a data centre that is not live keeps its portion
    Amounts portion; // committed portion
    Amounts held; // amount that it has shrunk to; equals `portion` if it has not reported
    Amounts inUse;
    Amounts wanted; // includes inUse
};

struct PortionPlan {
    std::vector<Amounts> portions; // to be committed; above `held` only by parts of the limit that no data centre holds
    std::vector<Amounts> targets; // amounts to shrink to; equal to the portion if nothing is to be returned
};

// Plans one team's next step. Ties are broken by the order of `dataCentres`.
PortionPlan planPortions(const Amounts& limit, const std::vector<DataCentrePortion>& dataCentres);

} // namespace teasel

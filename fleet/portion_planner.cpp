#include "fleet/portion_planner.h"

#include <algorithm>
#include <numeric>

namespace teasel {

namespace {

    constexpr uint64_t s_floorDivisor = 4; // this fraction of the limit is spread evenly as a floor
    constexpr uint64_t s_headroomDivisor = 4; // desired headroom above the present need, as a fraction of it
    constexpr uint64_t s_minHeadroomDivisor = 8; // with less headroom than this fraction of the need, more is requested
    constexpr uint64_t s_stepDivisor = 2; // fraction of a surplus that is returned in one step

    // One dimension of the amounts of one data centre.
    struct Cell {
        bool live = false;
        uint64_t portion = 0;
        uint64_t held = 0;
        uint64_t need = 0;
        uint64_t desired = 0;
        uint64_t share = 0;
        uint64_t target = 0;
    };
    using Cells = std::vector<Cell>;

    uint64_t saturatingSubtract(uint64_t a, uint64_t b) { return a > b ? a - b : 0; }

    uint64_t sumOf(const Cells& cells, uint64_t Cell::*field)
    {
        return std::accumulate(
            cells.begin(), cells.end(), uint64_t { 0 }, [&](uint64_t n, const Cell& it) { return n + it.*field; });
    }

    // The part of the limit that may be divided among the live data centres.
    uint64_t divisibleLimit(uint64_t limit, const Cells& cells)
    {
        for (const Cell& it : cells)
            if (!it.live)
                limit = saturatingSubtract(limit, it.portion);
        return limit;
    }

    void computeDesired(Cells& cells, uint64_t available)
    {
        const auto live
            = static_cast<uint64_t>(std::count_if(cells.begin(), cells.end(), [](const Cell& it) { return it.live; }));
        for (Cell& it : cells) {
            if (!it.live)
                continue;
            const uint64_t floor = available / (s_floorDivisor * live);
            it.desired = std::min(available, std::max(floor, it.need + it.need / s_headroomDivisor));
        }
    }

    // Max-min fair division of the available amount. The part that exceeds all desired amounts is spread evenly.
    void computeShares(Cells& cells, uint64_t available)
    {
        std::vector<Cell*> liveCells;
        for (Cell& it : cells)
            if (it.live)
                liveCells.push_back(&it);
        std::stable_sort(
            liveCells.begin(), liveCells.end(), [](const Cell* a, const Cell* b) { return a->desired < b->desired; });
        uint64_t remaining = available;
        for (size_t i = 0; i < liveCells.size(); ++i) {
            liveCells[i]->share = std::min(liveCells[i]->desired, remaining / (liveCells.size() - i));
            remaining -= liveCells[i]->share;
        }
        for (size_t i = 0; i < liveCells.size(); ++i) {
            const uint64_t extra = remaining / (liveCells.size() - i);
            liveCells[liveCells.size() - 1 - i]->share += extra;
            remaining -= extra;
        }
    }

    // Grants the part of the limit that no data centre holds to live data centres below their share. Returns the amount
    // that is still missing.
    uint64_t grantFreePart(Cells& cells, uint64_t limit)
    {
        uint64_t free = saturatingSubtract(limit, sumOf(cells, &Cell::held));
        uint64_t missing = 0;
        for (Cell& it : cells) {
            if (!it.live)
                continue;
            const uint64_t given = std::min(free, saturatingSubtract(it.share, it.held));
            it.portion = it.held + given;
            free -= given;
            const uint64_t enough = std::min(it.share, it.need + std::max<uint64_t>(1, it.need / s_minHeadroomDivisor));
            if (it.portion < enough)
                missing += it.share - it.portion;
        }
        return missing;
    }

    // Lowers the targets of data centres above their share, to recover the amount that other data centres miss.
    void computeTargets(Cells& cells, uint64_t missing, bool overLimit)
    {
        for (Cell& it : cells) {
            it.target = it.portion;
            const uint64_t surplus = it.live ? saturatingSubtract(it.portion, it.share) : 0;
            if (surplus == 0)
                continue;
            const uint64_t step = overLimit ? surplus : std::max<uint64_t>(1, surplus / s_stepDivisor);
            const uint64_t reduction = overLimit ? step : std::min(step, missing);
            it.target -= reduction;
            missing = saturatingSubtract(missing, reduction);
        }
    }

    void planDimension(uint64_t limit, Cells& cells)
    {
        const uint64_t available = divisibleLimit(limit, cells);
        computeDesired(cells, available);
        computeShares(cells, available);
        const bool overLimit = sumOf(cells, &Cell::held) > limit;
        const uint64_t missing = grantFreePart(cells, limit);
        computeTargets(cells, missing, overLimit);
    }

} // namespace

PortionPlan planPortions(const Amounts& limit, const std::vector<DataCentrePortion>& dataCentres)
{
    PortionPlan plan { std::vector<Amounts>(dataCentres.size()), std::vector<Amounts>(dataCentres.size()) };
    for (size_t dimension = 0; dimension < Amounts::dimensions; ++dimension) {
        Cells cells(dataCentres.size());
        for (size_t i = 0; i < dataCentres.size(); ++i) {
            const DataCentrePortion& dataCentre = dataCentres[i];
            cells[i].live = dataCentre.live;
            cells[i].portion = dataCentre.portion[dimension];
            cells[i].held = dataCentre.live ? dataCentre.held[dimension] : dataCentre.portion[dimension];
            cells[i].need = std::max(dataCentre.inUse[dimension], dataCentre.wanted[dimension]);
        }
        planDimension(limit[dimension], cells);
        for (size_t i = 0; i < dataCentres.size(); ++i) {
            plan.portions[i][dimension] = cells[i].portion;
            plan.targets[i][dimension] = cells[i].target;
        }
    }
    return plan;
}

} // namespace teasel

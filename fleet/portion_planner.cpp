#include "fleet/portion_planner.h"

#include <algorithm>
#include <numeric>

namespace teasel {

namespace {

    constexpr uint64_t s_floorDivisor = 4; // this part of the limit is spread evenly
    constexpr uint64_t s_aheadDivisor = 4; // asked for beyond the present need
    constexpr uint64_t s_shortDivisor = 8; // below this beyond the need, more is given
    constexpr uint64_t s_stepDivisor = 2; // of a surplus, taken back in one step

    // One dimension of one data centre.
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

    uint64_t less(uint64_t a, uint64_t b) { return a > b ? a - b : 0; }

    uint64_t sumOf(const Cells& cells, uint64_t Cell::*field)
    {
        return std::accumulate(
            cells.begin(), cells.end(), uint64_t { 0 }, [&](uint64_t n, const Cell& it) { return n + it.*field; });
    }

    // What the live data centres may have between them.
    uint64_t divisible(uint64_t limit, const Cells& cells)
    {
        for (const Cell& it : cells)
            if (!it.live)
                limit = less(limit, it.portion);
        return limit;
    }

    void setDesired(Cells& cells, uint64_t available)
    {
        const auto live
            = static_cast<uint64_t>(std::count_if(cells.begin(), cells.end(), [](const Cell& it) { return it.live; }));
        for (Cell& it : cells) {
            if (!it.live)
                continue;
            const uint64_t floor = available / (s_floorDivisor * live);
            it.desired = std::min(available, std::max(floor, it.need + it.need / s_aheadDivisor));
        }
    }

    // Max-min fair division; what nobody desires is spread evenly.
    void setShares(Cells& cells, uint64_t available)
    {
        std::vector<Cell*> open;
        for (Cell& it : cells)
            if (it.live)
                open.push_back(&it);
        std::stable_sort(
            open.begin(), open.end(), [](const Cell* a, const Cell* b) { return a->desired < b->desired; });
        uint64_t left = available;
        for (size_t i = 0; i < open.size(); ++i) {
            open[i]->share = std::min(open[i]->desired, left / (open.size() - i));
            left -= open[i]->share;
        }
        for (size_t i = 0; i < open.size(); ++i) {
            const uint64_t extra = left / (open.size() - i);
            open[open.size() - 1 - i]->share += extra;
            left -= extra;
        }
    }

    // Gives the free part of the limit to those below their share. Gives what is still missing.
    uint64_t giveFree(Cells& cells, uint64_t limit)
    {
        uint64_t free = less(limit, sumOf(cells, &Cell::held));
        uint64_t missing = 0;
        for (Cell& it : cells) {
            if (!it.live)
                continue;
            const uint64_t given = std::min(free, less(it.share, it.held));
            it.portion = it.held + given;
            free -= given;
            const uint64_t enough = std::min(it.share, it.need + std::max<uint64_t>(1, it.need / s_shortDivisor));
            if (it.portion < enough)
                missing += it.share - it.portion;
        }
        return missing;
    }

    // Asks those above their share to give back what is missing elsewhere.
    void setTargets(Cells& cells, uint64_t missing, bool overLimit)
    {
        for (Cell& it : cells) {
            it.target = it.portion;
            const uint64_t surplus = it.live ? less(it.portion, it.share) : 0;
            if (surplus == 0)
                continue;
            const uint64_t step = overLimit ? surplus : std::max<uint64_t>(1, surplus / s_stepDivisor);
            const uint64_t taken = overLimit ? step : std::min(step, missing);
            it.target -= taken;
            missing = less(missing, taken);
        }
    }

    void planDimension(uint64_t limit, Cells& cells)
    {
        const uint64_t available = divisible(limit, cells);
        setDesired(cells, available);
        setShares(cells, available);
        const bool overLimit = sumOf(cells, &Cell::held) > limit;
        const uint64_t missing = giveFree(cells, limit);
        setTargets(cells, missing, overLimit);
    }

} // namespace

PortionPlan planPortions(const Amounts& limit, const std::vector<PortionSite>& sites)
{
    PortionPlan plan { std::vector<Amounts>(sites.size()), std::vector<Amounts>(sites.size()) };
    for (size_t dimension = 0; dimension < Amounts::dimensions; ++dimension) {
        Cells cells(sites.size());
        for (size_t i = 0; i < sites.size(); ++i) {
            const PortionSite& site = sites[i];
            cells[i].live = site.live;
            cells[i].portion = site.portion[dimension];
            cells[i].held = site.live ? site.held[dimension] : site.portion[dimension];
            cells[i].need = std::max(site.inUse[dimension], site.wanted[dimension]);
        }
        planDimension(limit[dimension], cells);
        for (size_t i = 0; i < sites.size(); ++i) {
            plan.portions[i][dimension] = cells[i].portion;
            plan.targets[i][dimension] = cells[i].target;
        }
    }
    return plan;
}

} // namespace teasel

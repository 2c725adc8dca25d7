// Workers that a mixed load needs, against the fractional lower bound and two simple ways.
//
// Prints one line a figure: packing METRIC VALUE UNIT BOUND held|short
#include "core/random.h"
#include "placement/placement_index.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

using namespace teasel;

namespace {

constexpr size_t fleetSize = 2'000;
constexpr double loadInWorkers = 640; // fractional bound of the load
constexpr double percent = 100.0;
constexpr double mostOverBound = 5.0;
bool allHeld = true;

struct Load {
    const char* name;
    ResourceVector capacity;
    std::vector<ResourceVector> shapes;
};

std::vector<ResourceVector> draw(const Load& load, uint64_t seed)
{
    Random random(seed);
    std::vector<ResourceVector> tasks;
    ResourceVector sum;
    while (sum.dominantShareOf(load.capacity) < loadInWorkers) {
        ResourceVector task = load.shapes[random.below(load.shapes.size())];
        // Declared sizes vary around their shape, in steps of a tenth.
        const auto factor = static_cast<int64_t>(8 + random.below(5));
        for (size_t i = 0; i < 2; ++i)
            task.amounts[i] = task.amounts[i] * factor / 10;
        sum += task;
        tasks.push_back(task);
    }
    return tasks;
}

size_t bound(const Load& load, const std::vector<ResourceVector>& tasks)
{
    ResourceVector sum;
    for (const auto& it : tasks)
        sum += it;
    return static_cast<size_t>(std::ceil(sum.dominantShareOf(load.capacity)));
}

size_t usedBy(const std::vector<ResourceVector>& free, const ResourceVector& capacity)
{
    return static_cast<size_t>(
        std::count_if(free.begin(), free.end(), [&](const ResourceVector& it) { return !(it == capacity); }));
}

size_t byIndex(const Load& load, const std::vector<ResourceVector>& tasks)
{
    PlacementIndex index;
    index.setScale(load.capacity);
    std::vector<ResourceVector> free(fleetSize, load.capacity);
    for (WorkerId id = 0; id < fleetSize; ++id)
        index.set(id, free[id]);
    for (const auto& it : tasks) {
        const WorkerId id = index.best(it, [](WorkerId) { return true; });
        free[id] -= it;
        index.set(id, free[id]);
    }
    return usedBy(free, load.capacity);
}

size_t byFirstFit(const Load& load, const std::vector<ResourceVector>& tasks)
{
    std::vector<ResourceVector> free(fleetSize, load.capacity);
    for (const auto& it : tasks)
        *std::find_if(free.begin(), free.end(), [&](const ResourceVector& room) { return it.fitsIn(room); }) -= it;
    return usedBy(free, load.capacity);
}

// Any worker in use that has room; an empty one if none has.
size_t byChance(const Load& load, const std::vector<ResourceVector>& tasks)
{
    Random random(1);
    std::vector<ResourceVector> free;
    for (const auto& it : tasks) {
        std::vector<size_t> fitting;
        for (size_t i = 0; i < free.size(); ++i) {
            if (it.fitsIn(free[i]))
                fitting.push_back(i);
        }
        if (fitting.empty()) {
            fitting.push_back(free.size());
            free.push_back(load.capacity);
        }
        free[fitting[random.below(fitting.size())]] -= it;
    }
    return free.size();
}

void measure(const Load& load)
{
    const auto tasks = draw(load, 1);
    const auto least = static_cast<double>(bound(load, tasks));
    const auto over = [&](size_t used) { return (static_cast<double>(used) / least - 1.0) * percent; };
    const double ours = over(byIndex(load, tasks));
    const bool held = ours <= mostOverBound;
    allHeld = allHeld && held;
    fmt::print("packing {}_over_bound {:.2f} % <={} {}\n", load.name, ours, mostOverBound, held ? "held" : "short");
    fmt::print("packing {}_first_fit_over_bound {:.2f} % - held\n", load.name, over(byFirstFit(load, tasks)));
    fmt::print("packing {}_random_over_bound {:.2f} % - held\n", load.name, over(byChance(load, tasks)));
}

} // namespace

int main()
{
    constexpr int64_t gib = 1'024;
    // Small tasks, tasks heavy in one kind, and tasks of up to half a worker.
    const std::vector<ResourceVector> shapes { { { 500, 1 * gib, 0 } }, { { 1'000, 8 * gib, 0 } },
        { { 2'000, 4 * gib, 0 } }, { { 4'000, 6 * gib, 0 } }, { { 2'000, 24 * gib, 0 } }, { { 6'000, 16 * gib, 0 } },
        { { 12'000, 12 * gib, 0 } }, { { 3'000, 40 * gib, 0 } }, { { 14'000, 30 * gib, 0 } } };
    measure({ "32_cores_128_gib", { { 32'000, 128 * gib, 0 } }, shapes });
    measure({ "32_cores_64_gib", { { 32'000, 64 * gib, 0 } }, shapes });
    return allHeld ? 0 : 1;
}

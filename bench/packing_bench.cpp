// Compares the number of workers that a mixed load needs with the fractional lower bound and with two
// simple placement strategies.
//
// Prints one line per metric: packing METRIC VALUE UNIT BOUND held|short
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
constexpr double loadInWorkers = 640; // fractional lower bound of the load, in workers
constexpr double percent = 100.0;
constexpr double maxPercentOverBound = 5.0;
bool allBoundsMet = true;

struct Load {
    const char* name;
    ResourceVector capacity;
    std::vector<ResourceVector> shapes;
};

std::vector<ResourceVector> generateTasks(const Load& load, uint64_t seed)
{
    Random random(seed);
    std::vector<ResourceVector> tasks;
    ResourceVector sum;
    while (sum.dominantShareOf(load.capacity) < loadInWorkers) {
        ResourceVector task = load.shapes[random.below(load.shapes.size())];
        // Sizes vary from 80 % to 120 % of the shape in steps of 10 %.
        const auto factor = static_cast<int64_t>(8 + random.below(5));
        for (size_t i = 0; i < 2; ++i)
            task.amounts[i] = task.amounts[i] * factor / 10;
        sum += task;
        tasks.push_back(task);
    }
    return tasks;
}

size_t lowerBound(const Load& load, const std::vector<ResourceVector>& tasks)
{
    ResourceVector sum;
    for (const auto& it : tasks)
        sum += it;
    return static_cast<size_t>(std::ceil(sum.dominantShareOf(load.capacity)));
}

size_t countUsedWorkers(const std::vector<ResourceVector>& free, const ResourceVector& capacity)
{
    return static_cast<size_t>(
        std::count_if(free.begin(), free.end(), [&](const ResourceVector& it) { return !(it == capacity); }));
}

size_t workersByIndex(const Load& load, const std::vector<ResourceVector>& tasks)
{
    PlacementIndex index;
    index.setScale(load.capacity);
    std::vector<ResourceVector> free(fleetSize, load.capacity);
    for (WorkerId id = 0; id < fleetSize; ++id)
        index.set(id, free[id]);
    for (const auto& it : tasks) {
        const WorkerId id = index.findBest(it, [](WorkerId) { return true; });
        free[id] -= it;
        index.set(id, free[id]);
    }
    return countUsedWorkers(free, load.capacity);
}

size_t workersByFirstFit(const Load& load, const std::vector<ResourceVector>& tasks)
{
    std::vector<ResourceVector> free(fleetSize, load.capacity);
    for (const auto& it : tasks)
        *std::find_if(free.begin(), free.end(), [&](const ResourceVector& available) { return it.fitsIn(available); })
            -= it;
    return countUsedWorkers(free, load.capacity);
}

// Picks a random used worker with enough capacity; an unused one if there is none.
size_t workersByRandomFit(const Load& load, const std::vector<ResourceVector>& tasks)
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
    const auto tasks = generateTasks(load, 1);
    const auto lowerBoundWorkers = static_cast<double>(lowerBound(load, tasks));
    const auto percentOverBound
        = [&](size_t used) { return (static_cast<double>(used) / lowerBoundWorkers - 1.0) * percent; };
    const double indexPercent = percentOverBound(workersByIndex(load, tasks));
    const bool isMet = indexPercent <= maxPercentOverBound;
    allBoundsMet = allBoundsMet && isMet;
    fmt::print("packing {}_over_bound {:.2f} % <={} {}\n", load.name, indexPercent, maxPercentOverBound,
        isMet ? "held" : "short");
    fmt::print("packing {}_first_fit_over_bound {:.2f} % - held\n", load.name,
        percentOverBound(workersByFirstFit(load, tasks)));
    fmt::print(
        "packing {}_random_over_bound {:.2f} % - held\n", load.name, percentOverBound(workersByRandomFit(load, tasks)));
}

} // namespace

int main()
{
    constexpr int64_t gib = 1'024;
    // Small tasks, tasks dominated by one kind of resource, and tasks of up to half a worker.
    const std::vector<ResourceVector> shapes { { { 500, 1 * gib, 0 } }, { { 1'000, 8 * gib, 0 } },
        { { 2'000, 4 * gib, 0 } }, { { 4'000, 6 * gib, 0 } }, { { 2'000, 24 * gib, 0 } }, { { 6'000, 16 * gib, 0 } },
        { { 12'000, 12 * gib, 0 } }, { { 3'000, 40 * gib, 0 } }, { { 14'000, 30 * gib, 0 } } };
    measure({ "32_cores_128_gib", { { 32'000, 128 * gib, 0 } }, shapes });
    measure({ "32_cores_64_gib", { { 32'000, 64 * gib, 0 } }, shapes });
    return allBoundsMet ? 0 : 1;
}

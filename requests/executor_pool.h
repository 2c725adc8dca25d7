// The executors of a data centre: their slots, their health and the selection among them.
//
// Selection takes the available executor with the lowest expected cost: its
// observed service time, weighted by its utilization and its recent failures.
// An executor that fails or is much slower than its peers is quarantined, then
// probed with one request at a time.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "requests.pb.h"
#include "requests/executor_set.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

enum class ExecutorHealth : uint8_t {
    Healthy = 0,
    Quarantined = 1, // gets no requests until its quarantine is over
    Probing = 2, // gets one request at a time until one succeeds
};

struct Executor {
    std::string name;
    std::string address;
    uint64_t incarnation = 0;
    uint32_t capacity = 0; // the lower of slots and connections
    uint32_t inFlight = 0; // granted attempts that may be running
    uint32_t unattributedInFlight = 0; // reported by the executor, but by no holder so far
    uint32_t countedSlots = 0; // slots that it adds to the pool's total
    Instant lastContactAt {};
    bool live = false; // announced itself recently and is not leaving
    bool leaving = false;
    bool drained = false;
    ExecutorHealth health = ExecutorHealth::Healthy;
    Instant quarantinedUntil {};
    uint32_t consecutiveQuarantines = 0; // since the last successful probe
    uint32_t consecutiveFailures = 0;
    uint32_t successes = 0; // since it was last quarantined
    double failureRate = 0.0; // moving average
    double serviceUs = 0.0; // moving average; 0 until the first sample
};

// How an attempt ended at its executor.
struct EndedAttempt {
    bool failed = false;
    bool neverSent = false;
    bool mayStillRun = false;
    Duration service { 0 };
};

class ExecutorPool {
public:
    explicit ExecutorPool(uint64_t seed);

    void clear();

    // Adds or updates an executor.
    InstanceOrdinal onAnnounce(const schema::ExecutorAnnounce&, Instant);
    std::optional<InstanceOrdinal> find(std::string_view name) const;
    // Returns the executor with this name, adding it if needed. It gets no requests before it has announced itself.
    InstanceOrdinal ordinalOf(const std::string& name);
    const Executor& at(InstanceOrdinal n) const { return m_executors[n]; }
    size_t size() const { return m_executors.size(); }

    // Each attempt acquires a slot and releases it when it ends.
    void acquireSlot(InstanceOrdinal);
    void releaseSlot(InstanceOrdinal);
    // Updates the executor's health from the result of an attempt.
    void onEnded(InstanceOrdinal, const EndedAttempt&, Instant);

    // Replaces the set of drained executors.
    void setDrained(const ExecutorSet&);
    void setUnattributedInFlight(InstanceOrdinal, uint32_t);

    // Detects executors that stopped announcing themselves and quarantines that are over.
    void onTick(Instant);

    // Executors that can get a request now.
    const ExecutorSet& available() const { return m_available; }
    // Executors that announce themselves and are neither leaving nor drained, busy or not.
    const ExecutorSet& live() const { return m_live; }

    // Returns the available executor of the set with the lowest cost.
    std::optional<InstanceOrdinal> choose(const ExecutorSet& allowed) const;

    uint32_t freeSlots() const;
    uint32_t totalSlots() const { return m_totalSlots; }
    uint32_t unattributedInFlight() const { return m_unattributedInFlight; }
    uint64_t quarantineCount() const { return m_quarantineCount; }

private:
    void update(InstanceOrdinal);
    void quarantine(Executor&, Instant);
    void onFailure(Executor&, Instant);
    void onSuccess(Executor&, Duration service, Instant);
    bool muchSlowerThanPeers(const Executor&) const;
    static bool hasFreeSlot(const Executor&);
    double cost(const Executor&) const;

    static constexpr Milliseconds contactTimeout { 2'000 };
    static constexpr Milliseconds minQuarantine { 1'000 };
    static constexpr Milliseconds maxQuarantine { 30'000 };
    static constexpr uint32_t failureThreshold = 3; // consecutive failures
    static constexpr double failureRateThreshold = 0.5;
    static constexpr uint32_t minSlownessSamples = 8;
    static constexpr double slownessThreshold = 5.0; // multiple of the peers' service time
    static constexpr double averageWeight = 0.1; // weight of the newest sample

    Random m_random;
    std::vector<Executor> m_executors;
    absl::flat_hash_map<std::string, InstanceOrdinal> m_byName;
    ExecutorSet m_available;
    ExecutorSet m_live;
    double m_peerServiceUs = 0.0; // moving average over all executors
    uint32_t m_unattributedInFlight = 0;
    uint32_t m_totalSlots = 0;
    uint64_t m_quarantineCount = 0;
};

} // namespace teasel

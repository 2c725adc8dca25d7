// Announcements that contradict what is known: of another incarnation under a registered id or address, or of one that
// was taken as ended. Nothing follows from such a claim until the executor itself has answered at its address.
#pragma once

#include "core/clock.h"
#include "jobs.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace teasel {

struct ExecutorClaim {
    schema::ExecutorRecord record; // without a number
    uint64_t sequence = 0;
    Instant coldUntil {};
    Instant announcedAt {}; // last time
    Instant nextProbeAt {};
    Instant probedAt {}; // when the last probe was sent
};

class ExecutorClaims {
public:
    // Adds a claim, or renews the one with the same id, start time and address. Returns its number. Only the newest few
    // claims of an id are kept.
    uint32_t add(ExecutorClaim);
    ExecutorClaim* find(uint32_t number);
    std::optional<uint32_t> find(const std::string& id, uint64_t bornMs, const std::string& address) const;
    void remove(uint32_t number);
    // Removes and returns a claim.
    ExecutorClaim take(uint32_t number);
    void clear();

    // Records that an order asks the executor of a claim for its list of runs; the claim is due again at `retryAt`.
    void recordProbe(uint32_t number, uint64_t order, Instant now, Instant retryAt);

    // Removes a probe; returns the number of its claim if it is the last one sent for that.
    std::optional<uint32_t> takeProbe(uint64_t order);

    std::vector<uint32_t> dueForProbe(Instant now) const;

    // Removes and returns the claims that were announced before the given time for the last time.
    std::vector<ExecutorClaim> takeOlderThan(Instant);

private:
    static constexpr size_t maxClaims = 10'000;
    static constexpr size_t maxClaimsOfId = 4;

    using Key = std::tuple<std::string, uint64_t, std::string>; // id, start time, address
    struct Entry {
        Key key;
        ExecutorClaim claim;
        uint64_t probe = 0; // number of the last order that asked; 0: none is pending
    };

    void limitClaims(const std::string& id);

    absl::btree_map<uint32_t, Entry> m_claims; // in the order of their first announcements
    absl::btree_map<Key, uint32_t> m_numbers;
    absl::flat_hash_map<uint64_t, uint32_t> m_probes; // claims by order
    uint32_t m_lastNumber = 0;
};

} // namespace teasel

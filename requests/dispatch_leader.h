// The leader's side of the request plane: the single queue of a data centre,
// where requests are ordered by the teams' shares and assigned to executors.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "fleet.pb.h"
#include "naming/name_table.h"
#include "requests.pb.h"
#include "requests/admission.h"
#include "requests/attempt_ledger.h"
#include "requests/class_table.h"
#include "requests/executor_labels.h"
#include "requests/executor_pool.h"
#include "requests/fair_queue.h"
#include "requests/holder_links.h"
#include "requests/remote_load.h"
#include "requests/selector_groups.h"
#include "requests/takeover.h"
#include "requests/ticket_table.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace teasel {

struct DispatchOptions {
    std::string dataCentre;
    std::vector<std::string> members; // entry instances of the data centre, including this one
    uint64_t seed = 1;
    Milliseconds grantLifetime { 1'000 }; // a grant expires after this; leader_link.h defines the start
    // If a member does not report, a new leader waits for grantLifetime plus this before it grants.
    Milliseconds grantExpiryMargin { 1'000 };
    Milliseconds maxRequestDuration { 60'000 }; // upper bound of an attempt's run time
    uint32_t defaultMaxWaitingPerTeam = 2'000;
};

struct TeamPolicy {
    TeamId id = 0;
    double share = 1.0;
    uint32_t portion = 0; // maximum number of concurrent requests in this data centre
};

struct RequestNeed {
    TeamId team = 0;
    uint32_t inUse = 0;
    uint32_t wanted = 0; // running plus waiting
};

// Sends a batch to a member, which may be this instance.
struct SendGrants {
    std::string holder;
    schema::GrantBatch batch;
};
using DispatchAction = std::variant<SendGrants>;

// Counters since the process started, and gauges.
struct DispatchStats {
    uint64_t granted = 0;
    uint64_t refused = 0;
    uint64_t endsHandled = 0;
    uint64_t fullRequests = 0;
    uint64_t executorsQuarantined = 0;
    size_t waiting = 0;
    size_t inFlight = 0;
    size_t executors = 0;
    uint32_t unattributedInFlight = 0; // attempts that executors report and no holder has reported yet
    bool takeoverComplete = false;
};

class DispatchLeader {
public:
    DispatchLeader(DispatchOptions, NameTable&);

    void onBecameLeader(Epoch, Instant);
    void onLostLeadership(Instant);
    // Sets when the leader's lease expires: no grant is made at or after `until`. Without a call there is no bound.
    void onLeadershipLease(Instant until) { m_takeover.setLeaseExpiry(until); }

    void onTeams(std::span<const TeamPolicy>, Instant);
    void onClasses(std::span<const ClassPolicy>, Instant);
    void onDrains(std::span<const std::string> selectors, Instant);
    // Refuses queued tickets that were submitted with these keys.
    void onKeysRevoked(std::span<const std::string> keyIds, Instant);

    schema::AnnounceReply onAnnounce(const schema::ExecutorAnnounce&, Instant);
    void onTickets(std::string_view holder, const schema::TicketBatch&, Instant);
    void onHolderLost(std::string_view holder, Instant);
    void onLoadSummary(const schema::LoadSummary&, Instant);

    // Must be called at least every 20 ms.
    void onTick(Instant);

    // Makes all grants that are possible now and returns the messages to send.
    std::vector<DispatchAction> takeActions(Instant);

    std::vector<RequestNeed> needs() const;
    schema::LoadSummary loadSummary() const;
    DispatchStats stats() const;
    bool leading() const { return m_leading; }

private:
    void handleTicket(HolderId, const schema::Ticket&, Instant);
    void handleEnd(HolderId, const schema::AttemptEnd&, Instant);
    void handleCancellation(HolderId, uint64_t sequence);
    void handleOutstanding(HolderId, const schema::Outstanding&, Instant);
    void reconcile(HolderId, const schema::TicketBatch&, Instant);
    void closePreviousIncarnations(HolderId, Instant);
    void refuse(TicketId, ErrorKind, std::string message, Milliseconds retryAfter);
    void refuseArrival(HolderId, const schema::Ticket&, const Error&);
    void removeTicket(TicketId);
    void endAttempt(const AttemptId&, const EndedAttempt&, Instant);
    void decide(Instant);
    void grant(const QueuedTicket&, InstanceOrdinal, Instant);
    void onTakeoverComplete();
    void refuseWithoutExecutors(Instant);
    void refuseInfeasible(Instant);
    void endClosedAttempts(const std::vector<AttemptId>&, Instant);
    absl::flat_hash_set<AttemptId> listedAttempts(const schema::ExecutorAnnounce&);

    static constexpr Milliseconds announcePeriod { 500 };
    static constexpr Milliseconds revokedKeyRetention { 120'000 };
    static constexpr Milliseconds stallThreshold { 300 }; // longer without a tick: the process was suspended
    static constexpr Milliseconds refreshPeriod { 20 };
    static constexpr Milliseconds sweepPeriod { 100 };
    static constexpr size_t ticketsPerSweep = 1'000; // checked per sweepPeriod
    static constexpr Milliseconds predictionSlack { 100 };

    DispatchOptions m_options;
    bool m_leading = false;
    Epoch m_epoch = 0;
    Takeover m_takeover;
    FairQueue m_queue;
    TicketTable m_tickets;
    AttemptLedger m_ledger;
    ExecutorPool m_pool;
    ExecutorLabels m_labels;
    SelectorGroups m_groups;
    HolderLinks m_links;
    ClassTable m_classes;
    std::map<std::string, Instant> m_revokedKeys;
    RemoteLoad m_remote;
    Instant m_lastTickAt {};
    Instant m_lastRefreshAt {};
    Instant m_lastSweepAt {};
    TicketTable::DeadlinePosition m_sweepPosition {}; // where refuseInfeasible continues
    absl::flat_hash_map<TeamId, size_t> m_requestsAhead; // per team, requests that the current sweep has kept so far
    DispatchStats m_stats;
};

} // namespace teasel

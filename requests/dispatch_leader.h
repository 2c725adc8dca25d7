// The leader's side of the request plane: one queue, one set of executors and
// one place to be fair for a data centre.
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
#include "requests/ticket_book.h"

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
    std::vector<std::string> members; // entry instances of the data centre, this one too
    uint64_t seed = 1;
    Milliseconds grantLifetime { 1'000 }; // a grant is used within this, counted as leader_link.h says
    Milliseconds grantExpiryMargin { 1'000 }; // added to grantLife before a new leader works without a member's report
    Milliseconds maxRequestDuration { 60'000 }; // no attempt runs longer
    uint32_t defaultMaxWaitingPerTeam = 2'000;
};

struct TeamPolicy {
    TeamId id = 0;
    double share = 1.0;
    uint32_t portion = 0; // requests it may run at once in this data centre
};

struct RequestNeed {
    TeamId team = 0;
    uint32_t inUse = 0;
    uint32_t wanted = 0; // running and waiting
};

// To a member, which may be this same instance.
struct SendGrants {
    std::string holder;
    schema::GrantBatch batch;
};
using DispatchAction = std::variant<SendGrants>;

// Counters since the start, and gauges.
struct DispatchStats {
    uint64_t granted = 0;
    uint64_t refused = 0;
    uint64_t endsHandled = 0;
    uint64_t fullRequests = 0;
    uint64_t executorsQuarantined = 0;
    size_t waiting = 0;
    size_t inFlight = 0;
    size_t executors = 0;
    uint32_t unattributedInFlight = 0; // attempts of unheard holders that executors report
    bool takeoverComplete = false;
};

class DispatchLeader {
public:
    DispatchLeader(DispatchOptions, NameTable&);

    void onBecameLeader(Epoch, Instant);
    void onLostLeadership(Instant);
    // No grant is made at or after `until`. Without a call there is no bound.
    void onLeaseUntil(Instant until) { m_takeover.setLeaseExpiry(until); }

    void onTeams(std::span<const TeamPolicy>, Instant);
    void onClasses(std::span<const ClassPolicy>, Instant);
    void onDrains(std::span<const std::string> selectors, Instant);
    // Queued tickets of these keys are refused.
    void onKeysWithdrawn(std::span<const std::string> keyIds, Instant);

    schema::AnnounceReply onAnnounce(const schema::ExecutorAnnounce&, Instant);
    void onTickets(std::string_view holder, const schema::TicketBatch&, Instant);
    void onHolderLost(std::string_view holder, Instant);
    void onLoadSummary(const schema::LoadSummary&, Instant);

    // Called at least every 20 ms.
    void onTick(Instant);

    // Decides what can be decided and returns what is to be sent.
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
    static constexpr Milliseconds stallThreshold { 300 }; // without a tick: the process stood still
    static constexpr Milliseconds refreshPeriod { 20 };
    static constexpr Milliseconds sweepPeriod { 100 };
    static constexpr size_t ticketsPerSweep = 1'000; // looked at in one period
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
    TicketTable::DeadlinePosition m_sweepPosition {}; // where refuseHopeless goes on
    absl::flat_hash_map<TeamId, size_t> m_requestsAhead; // waiting requests that it has passed
    DispatchStats m_stats;
};

} // namespace teasel

// The entry instance's side of the request plane: holds each accepted request
// from its arrival to its one final answer.
//
// A request waits here while its ticket waits at the data centre's leader. A
// grant names an executor; a non-idempotent request is then recorded as begun
// before the first byte goes out. Bodies and answers stay with the wiring and
// are addressed by handle and attempt key.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/result.h"
#include "fleet.pb.h"
#include "requests.pb.h"
#include "requests/attempt_key.h"
#include "requests/attempt_outcome.h"
#include "requests/held_request.h"
#include "requests/leader_link.h"
#include "requests/retry_budget.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace teasel {

struct HolderOptions {
    std::string instance;
    uint64_t incarnation = 1;
    uint32_t maxHeld = 20'000;
    uint64_t seed = 1;
    Instant startedAt {}; // of this incarnation
    Milliseconds leaderlessTimeout { 5'000 }; // waiting requests are refused after this long without a leader
    Milliseconds beginTimeout { 1'000 }; // how long the record of begun requests may take to answer
    Milliseconds beginResendPeriod { 200 };
    Milliseconds retryBackoff { 10 }; // of the first retry; doubles, with jitter
    uint32_t maxAttempts = 3;
};

// To the current leader.
struct SendTickets {
    std::string leader;
    schema::TicketBatch batch;
};
// Repeats until answered; harmless when repeated.
struct BeginDurably {
    uint64_t handle = 0;
    schema::BeginRequest begin;
};
// The wiring adds the answer's body when `attemptKey` names a whole answer, and repeats until it is stored.
struct FinishDurably {
    uint64_t handle = 0;
    std::string attemptKey;
    schema::FinishRequest finish;
};
struct SendToExecutor {
    std::string attemptKey;
    uint64_t handle = 0;
    std::string executor;
    std::string address;
    Duration timeout { 0 };
};
// Nobody waits for the attempt any more; the wiring closes its connection and reports no result.
struct AbortAttempt {
    std::string attemptKey;
};
// Passes on the whole answer of the attempt.
struct AnswerCaller {
    uint64_t handle = 0;
    std::string attemptKey;
};
struct RefuseCaller {
    uint64_t handle = 0;
    Error error;
};
// Passes on the outcome of an earlier arrival of the same request id.
struct AnswerStored {
    uint64_t handle = 0;
    schema::FinishRequest outcome;
};
// Each handle gets exactly one of AnswerCaller, RefuseCaller and AnswerStored,
// also when its caller went away; it is not named again after that.
using HolderAction = std::variant<SendTickets, BeginDurably, FinishDurably, SendToExecutor, AbortAttempt, AnswerCaller,
    RefuseCaller, AnswerStored>;

// Counters since the start.
struct HolderStats {
    uint64_t submitted = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t callersGone = 0;
    uint64_t retries = 0;
    uint64_t lateAnswersDropped = 0;
    uint64_t staleGrantsReturned = 0;
    uint64_t fullResends = 0;
    size_t held = 0;
};

class RequestHolder {
public:
    explicit RequestHolder(HolderOptions);

    void onSubmit(const Submission&, Instant);
    void onCallerGone(uint64_t handle, Instant);

    // The instance that leads the data centre now; empty when none is known.
    void onLeader(std::string_view leaderInstance, Epoch, Instant);
    void onGrants(const schema::GrantBatch&, Instant);
    void onBeginAnswer(const schema::BeginAnswer&, Instant);
    void onBeginFailed(std::string_view attemptKey, const Error&, Instant);
    void onExecutorResult(const ExecutorResult&, Instant);

    // Refuses what waits here under these keys.
    void onKeysWithdrawn(std::span<const std::string> keyIds, Instant);

    // Called at least every 20 ms.
    void onTick(Instant);

    // Takes no new requests; what is held is finished.
    void beginShutdown(Instant);
    bool idle() const { return m_requests.empty(); }

    std::vector<HolderAction> takeActions(Instant);
    HolderStats stats() const;

private:
    using Requests = std::map<uint64_t, HeldRequest>;

    void handleGrant(const schema::Grant&, Instant usableUntil, Instant now);
    void handleRefusal(const schema::Refusal&, Instant);
    void startAttempt(HeldRequest&, Instant);
    void sendToExecutor(HeldRequest&, Instant);
    void returnGrant(HeldRequest&, bool wantsRetry, Instant);
    void onCompleteAnswer(HeldRequest&, const WholeAnswer&, const ExecutorResult&, Instant);
    void onFailure(HeldRequest&, const ExecutorResult&, Instant);
    bool tryConsumeRetry(const HeldRequest&, Instant);
    void scheduleRetry(HeldRequest&, Instant);
    void endAttempt(HeldRequest&, const ExecutorResult*, bool wantsRetry, Instant);
    void endUnsentAttempt(HeldRequest&, Instant);
    void sendBegin(HeldRequest&, Instant);
    void onBegun(HeldRequest&, Instant);
    void refuse(HeldRequest&, Error, Instant);
    void refuseNow(HeldRequest&, Error, Instant);
    void refuseBeforeSending(HeldRequest&, Error, Instant);
    void refuseUnknownOutcome(HeldRequest&, Instant);
    void recordNotRun(HeldRequest&);
    void removeRequest(HeldRequest&);
    void setTimer(HeldRequest&, Instant);
    void onTimer(HeldRequest&, Instant);
    void queueTicket(HeldRequest&, Instant);
    bool grantUsable(const HeldRequest&, Instant) const;
    HeldRequest* findByAttemptKey(std::string_view attemptKey);
    void refuseWithoutLeader(Instant);
    RequestAttempt attemptKeyOf(const HeldRequest&) const;
    schema::TicketBatch makeBatch(Instant);

    HolderOptions m_options;
    Random m_random;
    RetryBudget m_retryBudget;
    LeaderLink m_link;
    Requests m_requests; // by sequence
    absl::flat_hash_map<uint64_t, uint64_t> m_byHandle;
    absl::btree_set<std::pair<Instant, uint64_t>> m_timers; // time, sequence
    std::vector<HolderAction> m_actions;
    HolderStats m_stats;
    uint64_t m_nextSequence = 1;
    bool m_shuttingDown = false;
};

} // namespace teasel

// The entry instance's side of the request plane: holds each accepted request
// from submission until its single final answer.
//
// While a request waits here, its ticket is queued at the data centre's leader.
// A grant names an executor. A non-idempotent request is recorded as begun
// before its first byte is sent. Request bodies and answers are stored by
// RequestGateway, which looks them up by handle and attempt key.
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
    uint32_t maxHeldRequests = 20'000;
    uint64_t seed = 1;
    Instant startedAt {}; // start time of this incarnation
    Milliseconds leaderlessTimeout { 5'000 }; // without a leader for this long, waiting requests are refused
    Milliseconds beginTimeout { 1'000 }; // total time to wait for an answer from the record of begun requests
    Milliseconds beginResendPeriod { 200 };
    Milliseconds retryBackoff { 10 }; // before the first retry; doubles per retry, with jitter
    uint32_t maxAttempts = 3;
};

// Sends a batch to the data centre's current leader.
struct SendTickets {
    std::string leader;
    schema::TicketBatch batch;
};
// Records a request as begun. Emitted again until answered; the operation is idempotent.
struct RecordBegin {
    uint64_t handle = 0;
    schema::BeginRequest begin;
};
// Records the outcome of a begun request. When `attemptKey` is not empty, it names a complete answer, whose
// body RequestGateway adds. RequestGateway retries until the outcome is stored.
struct RecordFinish {
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
// Cancels an attempt whose result is no longer needed: RequestGateway closes its connection and reports no result.
struct AbortAttempt {
    std::string attemptKey;
};
// Sends the attempt's complete answer to the caller.
struct AnswerCaller {
    uint64_t handle = 0;
    std::string attemptKey;
};
struct RefuseCaller {
    uint64_t handle = 0;
    Error error;
};
// Sends the caller the stored outcome of an earlier submission with the same request id.
struct AnswerStored {
    uint64_t handle = 0;
    schema::FinishRequest outcome;
};
// Each handle gets exactly one of AnswerCaller, RefuseCaller and AnswerStored,
// even if its caller has disconnected. No later action refers to the handle.
using HolderAction = std::variant<SendTickets, RecordBegin, RecordFinish, SendToExecutor, AbortAttempt, AnswerCaller,
    RefuseCaller, AnswerStored>;

// Counters since the process started, and the number of requests held now.
struct HolderStats {
    uint64_t submitted = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t callersDisconnected = 0;
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
    void onCallerDisconnected(uint64_t handle, Instant);

    // Sets the instance that currently leads the data centre; empty when none is known.
    void onLeader(std::string_view leaderInstance, Epoch, Instant);
    void onGrants(const schema::GrantBatch&, Instant);
    void onBeginAnswer(const schema::BeginAnswer&, Instant);
    void onBeginFailed(std::string_view attemptKey, const Error&, Instant);
    void onExecutorResult(const ExecutorResult&, Instant);

    // Refuses waiting requests that were submitted with these keys.
    void onKeysRevoked(std::span<const std::string> keyIds, Instant);

    // Must be called at least every 20 ms.
    void onTick(Instant);

    // Refuses new requests; requests already held are completed.
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
    void onCompleteAnswer(HeldRequest&, const CompleteAnswer&, const ExecutorResult&, Instant);
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
    Requests m_requests; // keyed by sequence number
    absl::flat_hash_map<uint64_t, uint64_t> m_byHandle;
    absl::btree_set<std::pair<Instant, uint64_t>> m_timers; // (due time, sequence number)
    std::vector<HolderAction> m_actions;
    HolderStats m_stats;
    uint64_t m_nextSequence = 1;
    bool m_shuttingDown = false;
};

} // namespace teasel

// Which executors the advising service lets run a step, and the tickets that
// prove it. What was granted does not change; tickets run out.
#pragma once

#include "core/clock.h"
#include "jobs/task_key.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class AdviceBook {
public:
    struct Request {
        uint64_t number = 0;
        std::string instance;
        Milliseconds timeout { 0 };
    };

    // The instances that calls can be spread over.
    void setInstances(std::vector<std::string> instances);

    // The ticket for a step on an executor; empty if there is none that is still valid.
    std::string_view ticketFor(const StepKey&, uint32_t executor, Instant now) const;

    // The executors that a step may run on: with a ticket that is valid now, or with any.
    std::vector<uint32_t> executorsWithTicket(const StepKey&, Instant now) const;
    std::vector<uint32_t> grantedExecutors(const StepKey&) const;

    // Those that were asked about; nullptr for none.
    const absl::btree_set<uint32_t>* queriedExecutors(const StepKey&) const;
    // Whether a call about the step is open and not overdue, or one has just failed.
    bool isRequestPending(const StepKey&, Instant now) const;

    // Whether a call that costs so much could begin now.
    bool hasFreeInstance(Milliseconds cost, Instant now) const;

    // Begins a call about a step. `cost` is the time that the service needs for it.
    // Nothing when no instance is free of a backlog.
    std::optional<Request> beginCall(const StepKey&, std::vector<uint32_t> executors, Milliseconds cost, Instant now);

    // Ends a call: the granted executors with their tickets, or nothing when it failed.
    void endCall(uint64_t number, bool answered, std::span<const std::pair<uint32_t, std::string>> granted,
        Milliseconds valid, Instant now);

    // The step that an open call is about, and how many executors it names.
    std::optional<StepKey> stepOf(uint64_t number) const;
    size_t queriedCount(uint64_t number) const;

    // Avoids instances whose answer is overdue, and gives up calls whose time is over.
    void expire(Instant now);

    void forgetJob(uint64_t job);

    // Forgets everything but the instances.
    void clear();

    // The share of executors that were granted, of those asked for steps of one queue.
    double grantedShare(std::string_view queue) const;
    void recordAnswer(std::string_view queue, size_t queried, size_t granted);

private:
    struct Ticket {
        std::string text;
        Instant validUntil {};
    };
    struct StepAdvice {
        absl::btree_map<uint32_t, Ticket> granted;
        absl::btree_set<uint32_t> queried;
        unsigned openCalls = 0;
        Instant overdueAt {}; // of the newest open call: from then on another instance may be asked, too
        Instant retryAt {}; // after calls that failed
        unsigned failures = 0; // in a row
    };
    struct Call {
        StepKey step;
        std::vector<uint32_t> executors;
        std::string instance;
        Milliseconds cost { 0 };
        Instant began {};
        Instant overdueAt {};
        Instant timeoutAt {};
        bool isOverdue = false;
    };
    struct Share {
        double queried = 0;
        double granted = 0;
    };

    void release(const Call&, bool answered, Instant now);
    size_t reservedInstances(Milliseconds cost) const;

    uint64_t m_lastNumber = 0;
    absl::btree_map<StepKey, StepAdvice> m_steps;
    absl::btree_map<uint64_t, Call> m_calls;
    absl::btree_map<std::string, Instant> m_busyUntil; // by instance
    absl::btree_map<std::string, Share, std::less<>> m_shares; // by queue
};

} // namespace teasel

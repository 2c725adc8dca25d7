// Records on which executors the advice service lets a step run, and the tickets that prove it. A grant is
// permanent; its ticket expires and is renewed.
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

class AdviceTracker {
public:
    struct Ticket {
        std::string text;
        Instant validUntil {}; // for use: earlier than its expiry
        Instant expiresAt {}; // no longer valid, however slow the clock of the service
    };
    struct Request {
        uint64_t number = 0;
        std::string instance;
        Milliseconds timeout { 0 };
    };

    // Sets the instances that calls are spread over.
    void setInstances(std::vector<std::string> instances);

    size_t instances() const { return m_busyUntil.size(); }

    // The ticket for a step on an executor; empty if there is no valid one.
    std::string_view ticketFor(const StepKey&, uint32_t executor, Instant now) const;

    // From this time on the executor refuses starts with the ticket of ticketFor(); Instant() if it has none.
    Instant ticketExpiry(const StepKey&, uint32_t executor) const;

    // The executors that a step may run on: those with a valid ticket, or all that were granted.
    std::vector<uint32_t> executorsWithTicket(const StepKey&, Instant now) const;
    std::vector<uint32_t> grantedExecutors(const StepKey&) const;

    // The tickets of a step by executor, also expired ones; nullptr if no call was made.
    const absl::btree_map<uint32_t, Ticket>* grants(const StepKey&) const;

    // The executors named in answered calls about the step; nullptr if no call was made.
    const absl::btree_set<uint32_t>* queriedExecutors(const StepKey&) const;
    // Whether a call about the step is open and not overdue, or its retry delay after a failure has not passed.
    bool isRequestPending(const StepKey&, Instant now) const;

    // Whether a call of this cost could begin now.
    bool hasFreeInstance(Milliseconds cost, Instant now) const;

    // Begins a call about a step. `cost` is the processing time that the service needs. Returns nullopt when every
    // instance has a backlog.
    std::optional<Request> beginCall(const StepKey&, std::vector<uint32_t> executors, Milliseconds cost, Instant now);

    // Ends a call with the granted executors and their tickets, or with none if it failed. `valid` is the lifetime
    // of the tickets.
    void endCall(uint64_t number, bool answered, std::span<const std::pair<uint32_t, std::string>> granted,
        Milliseconds valid, Instant now);

    // The step of an open call, and the number of executors that it names.
    std::optional<StepKey> stepOf(uint64_t number) const;
    size_t queriedCount(uint64_t number) const;

    // Avoids instances whose answer is overdue, and fails calls that have timed out.
    void expire(Instant now);

    void forgetJob(uint64_t job);

    // Drops everything except the instances.
    void clear();

    // The expected ratio of granted to queried executors for steps of a queue.
    double grantRatio(std::string_view queue) const;
    void recordAnswer(std::string_view queue, size_t queried, size_t granted);

private:
    struct StepAdvice {
        absl::btree_map<uint32_t, Ticket> granted;
        absl::btree_set<uint32_t> queried;
        unsigned openCalls = 0;
        Instant overdueAt {}; // of the newest open call; afterwards another instance may be called as well
        Instant retryAt {}; // after failed calls
        unsigned failures = 0; // consecutive
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
    struct GrantCounts {
        double queried = 0;
        double granted = 0;
    };

    void release(const Call&, bool answered, Instant now);
    size_t reservedInstances(Milliseconds cost) const;

    uint64_t m_lastNumber = 0;
    absl::btree_map<StepKey, StepAdvice> m_steps;
    absl::btree_map<uint64_t, Call> m_calls;
    absl::btree_map<std::string, Instant> m_busyUntil; // estimated end of an instance's backlog, by instance
    absl::btree_map<std::string, GrantCounts, std::less<>> m_grantCounts; // by queue
};

} // namespace teasel

// A seeded emulator of the platform around the job plane's decision modules: executors with leases on their own
// clocks, orders that are lost, delayed or duplicated, an advice service, callers that resubmit and cancel, and
// successive leaders on one replicated state. After each event the platform's rules are checked from what executors
// and callers observe.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "jobs/job_leader.h"
#include "jobs/job_state.h"
#include "jobs_world_announcements.h"
#include "jobs_world_checks.h"
#include "jobs_world_evacuations.h"
#include "jobs_world_faults.h"
#include "jobs_world_fleet.h"
#include "jobs_world_hazards.h"
#include "jobs_world_requests.h"
#include "jobs_world_types.h"

#include <fmt/format.h>

#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace teasel {

class JobsWorld {
public:
    explicit JobsWorld(JobsWorldOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_checks(m_options, m_clock, m_callers)
        , m_hazards(m_options, m_clock)
        , m_fleet(m_options, m_random, m_clock, m_callers, m_checks, m_hazards)
        , m_faults(m_options, m_clock, m_hazards, m_fleet)
        , m_announcements(m_options, m_clock, m_hazards, m_fleet)
        , m_evacuations(m_options, m_clock, m_checks)
        , m_state(Milliseconds(600'000))
    {
        schema::JobCommand command;
        *command.add_changes()->mutable_configuration() = worldConfiguration(m_options);
        m_state.apply(0, command.SerializeAsString());
        startLeader();
    }

    JobsWorld(const JobsWorld&) = delete;
    JobsWorld& operator=(const JobsWorld&) = delete;

    // Runs the simulation and returns the rule violations; empty if there were none.
    std::vector<std::string> run()
    {
        const auto faultsEnd = m_clock.now() + m_options.faultDuration;
        while (m_clock.now() < faultsEnd && m_checks.violations().empty()) {
            injectFaults();
            submitAndCancelJobs();
            step();
        }
        m_isEnding = true;
        for (auto& it : m_fleet.executors())
            it.silentUntil = std::min(it.silentUntil, m_clock.now());
        awaitOpenJobs(m_options.drainDuration);
        if (m_checks.violations().empty() && m_options.probeDuration > Milliseconds(0))
            probeCapacity();
        return m_checks.violations();
    }

    const JobsWorldChecks& checks() const { return m_checks; }
    const HazardCounts& hazardCounts() const { return m_hazards.counts(); }

    // CPU time spent in the leader.
    double leaderSeconds() const { return m_leaderSeconds; }
    size_t completed() const { return m_completed.size(); }
    size_t accepted() const { return m_acceptedJobs.size(); }
    size_t acknowledgedEvacuations() const { return m_evacuations.acknowledged(); }
    uint64_t evacuatedRuns() const { return m_evacuatedRuns + m_leader->counters().evacuatedRuns; }

private:
    struct Event {
        Instant at {};
        std::function<void()> action;
    };

    WallTime wall() const { return m_clock.wallNow(); }
    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push_back({ m_clock.now() + delay, std::move(action) });
    }
    // ---- Leaders -----------------------------------------------------------

    void startLeader()
    {
        ++m_term;
        // A pending proposal of the previous leader is either already in the log or never will be.
        for (auto& [ticket, command] : m_proposed) {
            if (!m_random.chance(0.5))
                break;
            m_state.apply(0, command);
            m_checks.recordCommittedEnds(command);
        }
        m_proposed.clear();
        if (m_leader)
            m_evacuatedRuns += m_leader->counters().evacuatedRuns;
        if (m_evacuations.isEnabled()) { // The new leader's instance started from a snapshot.
            const auto snapshot = m_state.snapshot();
            if (!m_state.restore(snapshot))
                m_checks.report("EVACUATION: a snapshot can't be read");
            m_evacuations.checkState(m_state);
        }
        JobLeaderOptions options;
        options.maxLease = m_options.maxLease;
        for (size_t n = 0; m_evacuations.isEnabled() && n < worldZones; ++n)
            options.regions[worldZone(n)] = "region";
        m_leader = std::make_unique<JobLeader>(std::move(options), m_state);
        m_leader->setAdviceInstances({ "front-1", "front-2" });
        m_leader->onBecameLeader(m_term, m_clock.now(), wall());
        m_checks.onLeaderChanged();
    }

    void perform(ProposeJobs& action)
    {
        m_proposed.emplace_back(action.ticket, action.command.SerializeAsString());
        schedule(std::chrono::milliseconds(5 + m_random.below(15)), [this, term = m_term] { commitNext(term); });
    }

    void commitNext(uint64_t term)
    {
        if (term != m_term || m_proposed.empty())
            return;
        auto [ticket, command] = std::move(m_proposed.front());
        m_proposed.pop_front();
        m_state.apply(0, command);
        m_checks.recordCommittedEnds(command);
        m_leader->onCommitted(ticket, m_clock.now());
    }

    void perform(AnswerCall& action)
    {
        m_evacuations.onAnswer(action.handle, action.answer.status);
        const auto it = m_calls.find(action.handle);
        if (it == m_calls.end())
            return;
        const auto id = it->second;
        m_calls.erase(it);
        auto& caller = m_callers[id];
        if (m_random.chance(m_options.lostAnswers))
            return;
        if (action.answer.status == CallStatus::Accepted) {
            caller.isAccepted = true;
            m_acceptedJobs.insert(id);
        } else if (action.answer.status == CallStatus::Refused && !caller.probedSlot
            && (caller.tries == 1 || m_options.callersGiveUp)) {
            caller.isRefused = true;
        }
    }

    void perform(JobLogLine& it)
    {
        if (!m_options.trace)
            return;
        std::string line = fmt::format("{} {}", m_clock.now().time_since_epoch().count(), it.event);
        for (const auto& [key, value] : it.fields)
            line += fmt::format(" {}={}", key, value);
        fmt::print("{}\n", line);
    }

    void perform(AskAdvice& action)
    {
        schedule(std::chrono::milliseconds(30), [this, term = m_term, it = action] {
            if (term != m_term)
                return;
            std::vector<std::pair<std::string, std::string>> granted;
            for (const auto& id : it.executors) {
                if (m_checks.isGranted(it.step, id))
                    granted.emplace_back(id, m_hazards.issueTicket(it.step, id, m_fleet.bornOf(id)));
            }
            m_leader->onAdvice(it.number, true, granted, m_clock.now());
        });
    }

    // ---- Orders ------------------------------------------------------------

    Milliseconds latency() { return Milliseconds(1 + m_random.below(5)) + m_hazards.extraLatency(); }

    void perform(SendOrder& action)
    {
        if (std::holds_alternative<StartRun>(action.order) && m_state.isEvacuated(action.dataCentre))
            m_checks.report(fmt::format("EVACUATED: a start is sent to {} after the commit", action.executorId));
        const auto term = m_term;
        const auto number = action.number;
        const auto timeout = [this, term, number, after = action.timeout] {
            schedule(after, [this, term, number] {
                if (term == m_term)
                    m_leader->onOrderResult(number, { OrderOutcome::UnknownOutcome }, m_clock.now());
            });
        };
        if (!m_fleet.canReceive(action)) {
            timeout();
            return;
        }
        const auto deliver = [this, order = action, sentAt = m_clock.now(), born = m_fleet.bornOf(action.executorId)](
                                 bool isLate = false) {
            auto result = m_fleet.deliver(order, born, isLate);
            if (const auto crashesAfter = m_fleet.takePlannedCrash()) {
                if (m_clock.now() - sentAt >= order.timeout)
                    m_checks.recordLateDeadlyStart();
                changeLeaderAround(*crashesAfter);
            }
            return result;
        };
        if (m_options.leaderChangesAroundStart > 0 && m_fleet.isDeadlyStart(action)
            && m_random.chance(m_options.leaderChangesAroundStart))
            schedule(std::chrono::milliseconds(m_random.below(12)), [this] { startLeader(); });
        if (m_random.chance(m_options.lateOrders)) {
            const auto range = static_cast<uint64_t>((m_options.maxLateness - m_options.minLateness).count());
            schedule(
                m_options.minLateness + std::chrono::milliseconds(m_random.below(range)), [deliver] { deliver(true); });
            timeout();
            return;
        }
        const bool isAnswerLost = m_random.chance(m_options.lostAnswers);
        if (m_random.chance(m_options.repeatedOrders)) {
            schedule(std::chrono::milliseconds(1), [deliver] { deliver(); });
            schedule(std::chrono::milliseconds(2 + m_random.below(190)), [this, deliver, timeout, term, number] {
                const auto result = deliver();
                if (!result)
                    timeout();
                else if (term == m_term)
                    m_leader->onOrderResult(number, *result, m_clock.now());
            });
            return;
        }
        schedule(latency(), [this, deliver, timeout, isAnswerLost, term, number] {
            auto result = deliver();
            if (!result || isAnswerLost) {
                timeout();
                return;
            }
            schedule(latency(), [this, term, number, result] {
                if (term == m_term)
                    m_leader->onOrderResult(number, *result, m_clock.now());
            });
        });
    }

    // Changes leaders before or after a crash that an executed start made certain.
    void changeLeaderAround(Milliseconds crashesAfter)
    {
        if (m_options.leaderChangesAroundCrash == 0 || !m_random.chance(m_options.leaderChangesAroundCrash))
            return;
        const auto latest = static_cast<uint64_t>(crashesAfter.count()) + 300;
        schedule(std::chrono::milliseconds(m_random.below(latest)), [this] { startLeader(); });
    }

    // ---- Time and faults -----------------------------------------------------

    void step()
    {
        constexpr std::chrono::milliseconds stepTime { 5 };
        m_clock.advance(stepTime);
        const auto now = m_clock.now();
        for (size_t n = 0; n < m_events.size();) {
            if (m_events[n].at > now) {
                ++n;
                continue;
            }
            auto action = std::move(m_events[n].action);
            m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(n));
            action();
            performActions();
        }
        if (m_faults.step(m_isEnding))
            startLeader();
        m_announcements.step(
            [this](auto it) { m_leader->onCall(++m_lastHandle, std::move(it), m_clock.now(), wall()); }, m_isEnding);
        for (auto& it : m_fleet.executors()) {
            m_fleet.advance(it, 5.0);
            announce(it);
        }
        m_evacuations.step(
            [this](OrderEvacuation order) {
                m_leader->onCall(++m_lastHandle, std::move(order), m_clock.now(), wall());
                return m_lastHandle;
            },
            m_isEnding);
        const auto before = std::clock();
        m_leader->onTick(now, wall());
        m_leader->finishBatch(now, wall());
        m_leaderSeconds += static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        performActions();
        if (now >= m_nextOutcomeCheck) {
            m_nextOutcomeCheck = now + std::chrono::milliseconds(200);
            m_checks.checkOutcomes(m_state);
            m_evacuations.checkState(m_state);
        }
    }

    void performActions()
    {
        for (auto actions = m_leader->takeActions(); !actions.empty(); actions = m_leader->takeActions()) {
            for (auto& it : actions)
                std::visit([this](auto& action) { perform(action); }, it);
        }
    }

    void announce(WorldExecutor& executor)
    {
        if (m_clock.now() < executor.nextAnnouncement || executor.silentUntil > m_clock.now())
            return;
        executor.nextAnnouncement = m_clock.now() + std::chrono::milliseconds(1'500);
        auto it = executor.nextAnnouncementMessage(m_clock.now());
        const auto delay = m_hazards.announcementDelay();
        if (delay == Milliseconds(0)) {
            m_leader->onCall(++m_lastHandle, std::move(it), m_clock.now(), wall());
            return;
        }
        executor.nextAnnouncement = m_clock.now() + std::chrono::milliseconds(1'000); // not acknowledged: sent again
        if (!delay)
            return;
        schedule(*delay, [this, it] {
            m_hazards.recordLateAnnouncement(it.record, m_state);
            m_leader->onCall(++m_lastHandle, it, m_clock.now(), wall());
        });
    }

    void injectFaults()
    {
        constexpr double stepsPerSecond = 200;
        auto& executors = m_fleet.executors();
        auto& executor = executors[m_random.below(executors.size())];
        if (m_random.chance(m_options.executorCrashesPerSecond / stepsPerSecond)) {
            m_fleet.crash(executor);
            executor.silentUntil = m_clock.now() + std::chrono::milliseconds(m_random.below(3'000));
        } else if (m_random.chance(m_options.silencesPerSecond / stepsPerSecond)) {
            const auto spread = static_cast<uint64_t>((longestSilence - m_options.shortestSilence).count());
            executor.silentUntil = m_clock.now() + m_options.shortestSilence + Milliseconds(m_random.below(spread));
        }
        if (m_random.chance(m_options.leaderChangesPerSecond / stepsPerSecond))
            startLeader();
        if (m_options.capacityChangesPerSecond > 0
            && m_random.chance(m_options.capacityChangesPerSecond / stepsPerSecond))
            shrink(executor);
    }

    // Shrinks an executor's capacity to 30 to 80 % for 2 to 10 s.
    void shrink(WorldExecutor& executor)
    {
        if (executor.capacity != JobsWorldFleet::fullCapacity())
            return;
        const auto percent = static_cast<int64_t>(30 + m_random.below(51));
        auto next = executor.capacity;
        for (auto& it : next.amounts)
            it = it * percent / 100;
        executor.changeCapacity(next, m_clock.now());
        schedule(std::chrono::milliseconds(2'000 + m_random.below(8'000)),
            [this, slot = executor.slot, born = executor.bornMs] {
                auto& it = m_fleet.executors()[slot];
                if (it.bornMs == born)
                    it.changeCapacity(JobsWorldFleet::fullCapacity(), m_clock.now());
            });
    }

    void submitAndCancelJobs()
    {
        constexpr double stepsPerSecond = 200;
        if (m_random.chance(m_options.jobsPerSecond / stepsPerSecond)) {
            const auto id = ++m_lastJob;
            auto& caller = m_callers[id];
            caller.request = randomRequest(id, m_random);
            if (m_evacuations.isEnabled())
                makeMovable(caller.request, m_evacuations.random());
            if (m_options.deadlyJobs > 0 && m_random.chance(m_options.deadlyJobs))
                caller.deadly = chooseDeadlyTask(caller.request, m_random);
        }
        resubmitJobs();
        for (auto& [id, it] : m_callers) {
            if (it.isAccepted && !it.isCancelled && m_random.chance(m_options.cancels / stepsPerSecond)) {
                it.isCancelled = true;
                m_leader->onCall(
                    ++m_lastHandle, CancelJob { "farm.example", path(id), "key", id }, m_clock.now(), wall());
            }
        }
    }

    void resubmitJobs()
    {
        for (auto& [id, it] : m_callers) {
            if (it.isAccepted || it.isRefused || m_clock.now() < it.nextTry)
                continue;
            it.nextTry = m_clock.now() + std::chrono::milliseconds(700);
            ++it.tries;
            const auto handle = ++m_lastHandle;
            m_calls[handle] = id;
            SubmitJob call { "farm.example", path(id), "key", it.request };
            m_leader->onCall(handle, std::move(call), m_clock.now(), wall());
        }
    }

    static std::string path(uint64_t id) { return "/blend/" + jobIdText(id); }

    // Whether each executor's whole capacity is used again: gives each a task of its full size.
    void probeCapacity()
    {
        for (const auto& executor : m_fleet.executors()) {
            const auto id = ++m_lastJob;
            auto& caller = m_callers[id];
            caller.probedSlot = executor.slot;
            caller.request = probeRequest(id, JobsWorldFleet::fullCapacity());
        }
        awaitOpenJobs(m_options.probeDuration);
    }

    // Reports the jobs that have not ended after this time.
    void awaitOpenJobs(Milliseconds time)
    {
        const auto end = m_clock.now() + time;
        while (m_clock.now() < end && m_checks.violations().empty() && hasOpenJobs()) {
            resubmitJobs();
            step();
        }
        m_checks.checkOutcomes(m_state);
        if (m_checks.violations().empty() && hasOpenJobs())
            reportOpenJobs();
    }

    bool isOpen(uint64_t id, const WorldCaller& it) const
    {
        if (it.isRefused)
            return false;
        const auto* job = m_state.find(id);
        return job == nullptr || !job->hasEnded();
    }

    bool hasOpenJobs()
    {
        bool open = false;
        for (const auto& [id, it] : m_callers) {
            if (isOpen(id, it))
                open = true;
            else
                m_completed.insert(id);
        }
        return open;
    }

    std::string describeOpen(uint64_t id) const
    {
        return describeOpenJob(m_state, id)
            + fmt::format("; usable {} waiting {} running {}", m_leader->usableExecutors(m_clock.now()),
                m_leader->waitingTasks(), m_leader->runningTasks());
    }

    void reportOpenJobs()
    {
        for (const auto& [id, it] : m_callers) {
            if (!isOpen(id, it))
                continue;
            const auto* kind = it.deadly ? " with a deadly task" : "";
            if (it.probedSlot)
                m_checks.report(fmt::format("IDLE: executor {} was not given the full-size job {} (accepted {}){}",
                    *it.probedSlot, id, it.isAccepted, describeOpen(id)));
            else
                m_checks.report(fmt::format("LOST: job {}{} has not ended (accepted {}, cancelled {}){}", id, kind,
                    it.isAccepted, it.isCancelled, describeOpen(id)));
        }
    }

    JobsWorldOptions m_options;
    Random m_random;
    ManualClock m_clock;
    WorldCallers m_callers;
    JobsWorldChecks m_checks;
    JobsWorldHazards m_hazards;
    JobsWorldFleet m_fleet;
    JobsWorldFaults m_faults;
    JobsWorldAnnouncements m_announcements;
    JobsWorldEvacuations m_evacuations;
    uint64_t m_evacuatedRuns = 0; // by previous leaders
    bool m_isEnding = false; // no further faults
    JobState m_state;
    std::unique_ptr<JobLeader> m_leader;
    uint64_t m_term = 0;
    std::deque<std::pair<uint64_t, std::string>> m_proposed;
    std::vector<Event> m_events;
    std::map<uint64_t, uint64_t> m_calls; // handle to job
    std::set<uint64_t> m_acceptedJobs;
    std::set<uint64_t> m_completed;
    Instant m_nextOutcomeCheck {};
    double m_leaderSeconds = 0;
    uint64_t m_lastHandle = 0;
    uint64_t m_lastJob = 0;
};

} // namespace teasel

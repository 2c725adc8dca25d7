// Seeded random simulations of the whole request plane under injected faults.
//
// TEASEL_SEEDS sets the number of seeds, TEASEL_FIRST_SEED the first seed.
#include "tests/requests_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

namespace teasel {

World::World(uint64_t seed, WorldCounts& counts)
    : m_random(seed)
    , m_counts(counts)
    , m_faultsEnd(m_now + faultPeriod)
{
    const size_t dataCentreCount = m_random.chance(0.3) ? 2 : 1;
    m_dataCentres.resize(dataCentreCount);
    m_processes.resize(dataCentreCount * members);
    for (TeamId id = 1; id <= 4; ++id)
        m_teams.push_back(
            { id, 1.0 + static_cast<double>(m_random.below(3)), 1 + static_cast<uint32_t>(m_random.below(6)) });
    for (size_t n = 0; n < m_processes.size(); ++n) {
        m_processes[n].dataCentre = n / members;
        m_processes[n].name = fmt::format("d{}.e{}", n / members, n % members);
        startProcess(n);
        after(randomDuration(tickPeriod), [this, n] { tickProcess(n); });
    }
    for (size_t dataCentre = 0; dataCentre < dataCentreCount; ++dataCentre) {
        const auto executorCount = 2 + m_random.below(3);
        for (size_t n = 0; n < executorCount; ++n) {
            FakeExecutor executor;
            executor.name = fmt::format("d{}.x{}", dataCentre, n);
            executor.dataCentre = dataCentre;
            executor.kind = n % 2 == 0 ? "kiln" : "press";
            executor.slots = 1 + static_cast<uint32_t>(m_random.below(4));
            m_executors.push_back(executor);
            const auto index = m_executors.size() - 1;
            after(randomDuration(Milliseconds(500)), [this, index] { announce(index); });
        }
        after(Duration(1), [this, dataCentre] { elect(dataCentre); });
    }
    after(randomDuration(Milliseconds(50)), [this] { submit(); });
    after(randomDuration(Milliseconds(2'000)), [this] { injectFault(); });
}

void World::check(bool holds, const std::string& what)
{
    if (!holds)
        throw std::runtime_error(
            fmt::format("{} (at {} ms)", what, (m_now - (m_faultsEnd - faultPeriod)).count() / 1'000));
}

void World::after(Duration wait, std::function<void()> action)
{
    m_events.push({ m_now + wait, m_eventSequence++, std::move(action) });
}

void World::run()
{
    while (!m_events.empty() && m_events.top().at <= m_faultsEnd + recoveryPeriod) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    for (const auto& [handle, it] : m_callers) {
        const auto& process = m_processes[it.process];
        if (!process.alive || process.incarnation != it.incarnation)
            continue;
        check(it.answers == 1, fmt::format("caller {} of {} got {} answers", handle, it.id, it.answers));
    }
    for (const auto& it : m_processes) {
        check(it.holder->idle(), it.name + " still holds requests");
        const auto stats = it.holder->stats();
        check(stats.retries * 10 <= stats.submitted, it.name + " retried too often");
        m_counts.work["retries"] += stats.retries;
    }
}

// ---- Processes and links -----------------------------------------------------

void World::startProcess(size_t n)
{
    auto& it = m_processes[n];
    HolderOptions holder;
    holder.instance = it.name;
    holder.incarnation = it.incarnation;
    holder.seed = m_random.below(1'000'000);
    holder.startedAt = it.incarnation == 1 ? m_now - Milliseconds(100'000) : m_now;
    holder.leaderlessTimeout = Milliseconds(2'000);
    it.holder = std::make_unique<RequestHolder>(holder);
    DispatchOptions leader;
    leader.dataCentre = fmt::format("d{}", it.dataCentre);
    for (size_t member = 0; member < members; ++member)
        leader.members.push_back(fmt::format("d{}.e{}", it.dataCentre, member));
    leader.maxRequestDuration = Milliseconds(8'000);
    it.leader = std::make_unique<DispatchLeader>(leader, m_names);
    it.leader->onTeams(m_teams, m_now);
    const std::vector<ClassPolicy> classes { { "weigh-check", 0, 50 }, { "label-run", 1, 50 },
        { "batch-blend", 2, 50 } };
    it.leader->onClasses(classes, m_now);
    it.alive = true;
}

void World::killProcess(size_t n)
{
    auto& it = m_processes[n];
    it.alive = false;
    it.inbox.clear();
    it.pausedUntil = {};
    after(randomDuration(Milliseconds(3'000)), [this, n] {
        ++m_processes[n].incarnation;
        startProcess(n);
    });
    after(Milliseconds(300), [this, n] {
        const auto& leadership = m_dataCentres[m_processes[n].dataCentre];
        const auto name = m_processes[n].name;
        deliver(leadership.leader, m_processes[leadership.leader].incarnation,
            [this, name, to = leadership.leader] { m_processes[to].leader->onHolderLost(name, m_now); });
    });
}

// Runs `action` in a process: after its pause if it is paused, never if it has died or restarted since.
void World::deliver(size_t n, uint64_t incarnation, std::function<void()> action)
{
    auto& it = m_processes[n];
    if (!it.alive || it.incarnation != incarnation)
        return;
    if (it.pausedUntil > m_now) {
        it.inbox.push_back(std::move(action));
        return;
    }
    action();
    executeActions(n);
}

bool World::isLinkCut(size_t a, size_t b) const
{
    const auto it = m_linkCuts.find(std::minmax(a, b));
    return it != m_linkCuts.end() && it->second > m_now;
}

void World::sendBetween(size_t from, size_t to, const std::function<void()>& action)
{
    const auto incarnation = m_processes[to].incarnation;
    if (from == to)
        return after(Duration(50), [=, this] { deliver(to, incarnation, action); });
    if (isLinkCut(from, to) || faultOccurs(0.01)) {
        ++m_counts.faults["dropped"];
        return;
    }
    auto delay = randomDuration(Milliseconds(2));
    if (faultOccurs(0.01)) {
        ++m_counts.faults["delayed"];
        delay += randomDuration(Milliseconds(3'000));
    }
    const int copies = faultOccurs(0.01) ? 2 : 1;
    m_counts.faults["doubled"] += copies - 1;
    for (int n = 0; n < copies; ++n)
        after(delay + n * randomDuration(Milliseconds(200)), [=, this] { deliver(to, incarnation, action); });
}

void World::tickProcess(size_t n)
{
    auto& it = m_processes[n];
    after(tickPeriod, [this, n] { tickProcess(n); });
    if (!it.alive || it.pausedUntil > m_now)
        return;
    for (auto& action : std::exchange(it.inbox, {}))
        action();
    it.holder->onTick(m_now);
    it.leader->onTick(m_now);
    executeActions(n);
}

// Simulates leader election: renews the lease while the leader is usable; after its expiry, elects a leader with a
// new epoch.
void World::elect(size_t dataCentre)
{
    after(Milliseconds(100), [this, dataCentre] { elect(dataCentre); });
    auto& leadership = m_dataCentres[dataCentre];
    const auto usable = [&](size_t n) { return m_processes[n].alive && m_processes[n].pausedUntil <= m_now; };
    const bool leads
        = leadership.epoch > 0 && usable(leadership.leader) && m_processes[leadership.leader].leader->leading();
    const bool resigns = leads && faultOccurs(0.005);
    if (resigns)
        ++m_counts.faults["leader changed"];
    if (leads && !resigns && m_now < leadership.leaseUntil) {
        leadership.leaseUntil = m_now + leaseDuration;
        m_processes[leadership.leader].leader->onLeadershipLease(leadership.leaseUntil);
    } else if (resigns || m_now >= leadership.leaseUntil) {
        const auto candidate = dataCentre * members + m_random.below(members);
        if (!usable(candidate))
            return;
        if (resigns)
            m_processes[leadership.leader].leader->onLostLeadership(m_now);
        ++leadership.epoch;
        ++m_counts.work["elections"];
        leadership.leader = candidate;
        leadership.leaseUntil = m_now + leaseDuration;
        m_processes[candidate].leader->onBecameLeader(leadership.epoch, m_now);
        m_processes[candidate].leader->onLeadershipLease(leadership.leaseUntil);
    }
    for (size_t n = dataCentre * members; n < (dataCentre + 1) * members; ++n) {
        if (!isLinkCut(n, leadership.leader))
            after(randomDuration(Milliseconds(60)), [this, n, leadership, incarnation = m_processes[n].incarnation] {
                deliver(n, incarnation, [=, this] {
                    m_processes[n].holder->onLeader(m_processes[leadership.leader].name, leadership.epoch, m_now);
                });
            });
    }
}

void World::executeActions(size_t n)
{
    for (auto& it : m_processes[n].holder->takeActions(m_now))
        onAction(n, it);
    for (auto& it : m_processes[n].leader->takeActions(m_now)) {
        const auto grants = std::get<SendGrants>(it);
        for (size_t to = 0; to < m_processes.size(); ++to) {
            if (m_processes[to].name == grants.holder)
                sendBetween(n, to, [=, this] { m_processes[to].holder->onGrants(grants.batch, m_now); });
        }
    }
}

// ---- Executors -----------------------------------------------------------------

void World::announce(size_t n)
{
    after(Milliseconds(500), [this, n] { announce(n); });
    const auto& it = m_executors[n];
    if (!it.alive || faultOccurs(0.05))
        return;
    schema::ExecutorAnnounce message;
    message.set_name(it.name);
    message.set_incarnation(it.incarnation);
    message.set_address(it.name);
    message.set_slots(it.slots);
    message.set_connections(64);
    message.set_in_flight(static_cast<uint32_t>(it.running.size()));
    message.set_lists_attempts(n % 2 == 0);
    for (const auto& [key, run] : it.running)
        message.add_attempts(key);
    auto* label = message.add_labels();
    label->set_key("kind");
    label->set_value(it.kind);
    const auto to = m_dataCentres[it.dataCentre].leader;
    after(randomDuration(Milliseconds(20)), [this, to, message, incarnation = m_processes[to].incarnation] {
        deliver(to, incarnation, [=, this] { m_processes[to].leader->onAnnounce(message, m_now); });
    });
}

void World::send(size_t process, const SendToExecutor& action)
{
    const auto incarnation = m_processes[process].incarnation;
    for (size_t n = 0; n < m_executors.size(); ++n) {
        if (m_executors[n].name != action.executor)
            continue;
        if (!m_executors[n].alive || faultOccurs(0.01)) {
            ++m_counts.faults["connect failed"];
            return after(randomDuration(Milliseconds(5)),
                [=, this] { reportResult(process, incarnation, action.attemptKey, ConnectFailed {}, {}); });
        }
        return after(randomDuration(Milliseconds(5)), [=, this] { startRun(n, process, incarnation, action); });
    }
    check(false, "sent to an unknown executor " + action.executor);
}

void World::startRun(size_t n, size_t process, uint64_t incarnation, const SendToExecutor& action)
{
    auto& executor = m_executors[n];
    if (!executor.alive)
        return reportResult(process, incarnation, action.attemptKey, FailedAfterSending {}, {});
    auto& caller = m_callers.at(action.handle);
    check(!caller.answeredNotRun, "ran after its caller was answered did_not_run: " + caller.id);
    check(caller.kind.empty() || caller.kind == executor.kind,
        "ran on an executor that its selector does not match: " + caller.id);
    ++caller.runs;
    ++m_counts.work["runs"];
    if (!caller.idempotent)
        check(++m_runsById[caller.id] == 1, "ran twice: " + caller.id);
    executor.running[action.attemptKey] = { caller.team, caller.id };
    check(executor.running.size() <= executor.slots, "over slots: " + executor.name);
    uint32_t running = 0;
    for (const auto& it : m_executors) {
        for (const auto& [key, run] : it.running)
            running += it.dataCentre == executor.dataCentre && run.team == caller.team ? 1 : 0;
    }
    check(running <= m_teams[caller.team - 1].portion, fmt::format("over portion: team {}", caller.team));
    after(Milliseconds(5) + randomDuration(Milliseconds(60)) + executor.extraLatency,
        [=, this, startedAt = m_now, executorIncarnation = executor.incarnation] {
            finishRun(n, executorIncarnation, process, incarnation, action.attemptKey, startedAt);
        });
}

void World::finishRun(size_t n, uint64_t executorIncarnation, size_t process, uint64_t incarnation,
    const std::string& key, Instant startedAt)
{
    auto& executor = m_executors[n];
    const auto found = executor.running.find(key);
    if (executor.incarnation != executorIncarnation || found == executor.running.end())
        return;
    const auto id = found->second.id;
    executor.running.erase(found);
    if (faultOccurs(executor.failureRate) || faultOccurs(0.01)) {
        ++m_counts.faults["failed after sending"];
        return reportResult(process, incarnation, key, FailedAfterSending {}, m_now - startedAt);
    }
    if (faultOccurs(0.01)) {
        ++m_counts.faults["answer truncated"];
        return reportResult(process, incarnation, key, AnswerTruncated {}, m_now - startedAt);
    }
    if (faultOccurs(0.01) && !executor.running.empty()) {
        // The answers of two attempts are swapped: the echoed keys do not match, so the gateway reports a failure.
        ++m_counts.faults["crossed"];
        return reportResult(process, incarnation, key, FailedAfterSending {}, m_now - startedAt);
    }
    m_answers[fmt::format("{} {}", process, key)] = id;
    const int copies = faultOccurs(0.02) ? 2 : 1;
    m_counts.faults["answer duplicated"] += copies - 1;
    for (int it = 0; it < copies; ++it)
        reportResult(process, incarnation, key, CompleteAnswer {}, m_now - startedAt);
}

void World::reportResult(
    size_t process, uint64_t incarnation, const std::string& key, const AttemptOutcome& outcome, Duration service)
{
    auto delay = randomDuration(Milliseconds(2));
    if (faultOccurs(0.01)) {
        ++m_counts.faults["answer late"];
        delay += randomDuration(Milliseconds(2'000));
    }
    after(delay, [=, this] {
        deliver(process, incarnation, [=, this] {
            m_processes[process].holder->onExecutorResult({ key, outcome, service }, m_now);
        });
    });
}

// ---- Callers and the record of begun requests ------------------------------------

void World::onAction(size_t n, HolderAction& action)
{
    auto& process = m_processes[n];
    if (auto* it = std::get_if<SendTickets>(&action)) {
        for (size_t to = 0; to < m_processes.size(); ++to) {
            if (m_processes[to].name == it->leader)
                sendBetween(n, to, [this, to, name = process.name, batch = it->batch] {
                    m_processes[to].leader->onTickets(name, batch, m_now);
                });
        }
    } else if (auto* sent = std::get_if<SendToExecutor>(&action)) {
        send(n, *sent);
    } else if (auto* begun = std::get_if<RecordBegin>(&action)) {
        recordBegin(n, *begun);
    } else if (auto* finish = std::get_if<RecordFinish>(&action)) {
        after(randomDuration(Milliseconds(300)), [this, finish = finish->finish] {
            const auto found = m_beginRecords.find(finish.request_id());
            if (found == m_beginRecords.end() || found->second.attempt != finish.attempt())
                return;
            if (finish.did_not_run())
                m_beginRecords.erase(found);
            else
                found->second.finished = true;
        });
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
        const auto& caller = m_callers.at(answer->handle);
        check(m_answers[fmt::format("{} {}", n, answer->attemptKey)] == caller.id,
            "answer of another request sent to the caller of " + caller.id);
        onAnswered(answer->handle, false);
    } else if (auto* refusal = std::get_if<RefuseCaller>(&action)) {
        ++m_counts.work[fmt::format("refused {}", errorInfo(refusal->error.kind).name)];
        onAnswered(refusal->handle, errorInfo(refusal->error.kind).runState == RunState::DidNotRun);
    } else if (auto* stored = std::get_if<AnswerStored>(&action)) {
        ++m_counts.work["answered from the stored outcome"];
        check(stored->outcome.request_id() == m_callers.at(stored->handle).id, "stored outcome of another id");
        onAnswered(stored->handle, false);
    }
}

void World::recordBegin(size_t n, const RecordBegin& action)
{
    if (faultOccurs(0.05)) {
        ++m_counts.faults["begin lost"];
        return;
    }
    after(randomDuration(Milliseconds(10)), [this, n, begin = action.begin, incarnation = m_processes[n].incarnation] {
        auto [found, inserted] = m_beginRecords.try_emplace(begin.request_id(), BeginRecord { begin.attempt(), false });
        schema::BeginAnswer answer;
        answer.set_request_id(begin.request_id());
        answer.set_attempt(begin.attempt());
        const bool sameAttempt = found->second.attempt == begin.attempt();
        answer.set_verdict(found->second.finished ? schema::BEGIN_VERDICT_FINISHED
                : sameAttempt                     ? schema::BEGIN_VERDICT_BEGUN
                                                  : schema::BEGIN_VERDICT_RUNNING);
        answer.mutable_outcome()->set_request_id(begin.request_id());
        if (faultOccurs(0.05)) {
            ++m_counts.faults["begin answer lost"];
            return;
        }
        after(randomDuration(faultOccurs(0.03) ? Milliseconds(1'500) : Milliseconds(10)),
            [=, this] { deliver(n, incarnation, [=, this] { m_processes[n].holder->onBeginAnswer(answer, m_now); }); });
    });
}

void World::onAnswered(uint64_t handle, bool didNotRun)
{
    auto& it = m_callers.at(handle);
    check(++it.answers == 1, "answered twice: " + it.id);
    ++m_counts.work["answered"];
    it.answeredNotRun = didNotRun && !it.disconnected;
    if (it.answeredNotRun)
        check(it.runs == 0 && (it.idempotent || m_runsById[it.id] == 0), "false did_not_run for " + it.id);
}

void World::submit()
{
    if (!injectingFaults())
        return;
    after(randomDuration(Milliseconds(15)), [this] { submit(); });
    const auto n = m_random.below(m_processes.size());
    if (!m_processes[n].alive)
        return;
    const auto handle = m_nextHandle++;
    auto& caller = m_callers[handle];
    caller.team = 1 + static_cast<TeamId>(m_random.below(m_teams.size()));
    caller.idempotent = m_random.chance(0.5);
    caller.id = fmt::format("r{}", handle);
    caller.process = n;
    caller.incarnation = m_processes[n].incarnation;
    const auto& earlier = m_callers.at(1 + m_random.below(handle));
    if (!earlier.idempotent && m_random.chance(0.2)) {
        ++m_counts.work["request ids reused"];
        caller.id = earlier.id;
        caller.team = earlier.team;
        caller.idempotent = false;
    }
    if (m_random.chance(0.3))
        caller.kind = m_random.chance(0.5) ? "kiln" : "press";
    Submission submission;
    submission.handle = handle;
    submission.selector = caller.kind.empty() ? "" : "kind = " + caller.kind;
    submission.team = caller.team;
    submission.keyId = fmt::format("k{}", caller.team);
    submission.className = caller.idempotent ? (m_random.chance(0.5) ? "weigh-check" : "label-run") : "batch-blend";
    submission.requestId = caller.id;
    submission.idempotent = caller.idempotent;
    const auto timeout = Milliseconds(200) + randomDuration(Milliseconds(4'000));
    deliver(n, caller.incarnation, [=, this]() mutable {
        submission.deadline = m_now + timeout;
        m_processes[n].holder->onSubmit(submission, m_now);
    });
}

void World::injectFault()
{
    if (!injectingFaults())
        return;
    after(randomDuration(Milliseconds(1'500)), [this] { injectFault(); });
    const auto n = m_random.below(m_processes.size());
    auto& executor = m_executors[m_random.below(m_executors.size())];
    const auto index = static_cast<size_t>(&executor - m_executors.data());
    switch (m_random.below(8)) {
    case 0:
        if (m_processes[n].alive) {
            ++m_counts.faults["process died"];
            killProcess(n);
        }
        return;
    case 1:
        ++m_counts.faults["process paused"];
        m_processes[n].pausedUntil = std::min(m_now + randomDuration(Milliseconds(4'000)), m_faultsEnd);
        return;
    case 2:
    case 3:
        ++m_counts.faults["link cut"];
        m_linkCuts[std::minmax(n, m_random.below(m_processes.size()))]
            = std::min(m_now + randomDuration(Milliseconds(4'000)), m_faultsEnd);
        return;
    case 4:
        ++m_counts.faults["executor died"];
        executor.alive = false;
        ++executor.incarnation;
        executor.running.clear();
        after(randomDuration(Milliseconds(3'000)), [this, index] { m_executors[index].alive = true; });
        return;
    case 5:
        ++m_counts.faults["executor slow"];
        executor.extraLatency = randomDuration(Milliseconds(3'000));
        after(randomDuration(Milliseconds(2'000)), [this, index] { m_executors[index].extraLatency = Duration(0); });
        return;
    case 6:
        ++m_counts.faults["executor fails most requests"];
        executor.failureRate = 0.9;
        after(randomDuration(Milliseconds(3'000)), [this, index] { m_executors[index].failureRate = 0.0; });
        return;
    default:
        ++m_counts.faults["mass cancellation"];
        for (auto& [handle, it] : m_callers) {
            if (it.answers > 0 || it.disconnected || !m_random.chance(0.5))
                continue;
            it.disconnected = true;
            deliver(it.process, it.incarnation, [this, handle = handle, to = it.process] {
                m_processes[to].holder->onCallerDisconnected(handle, m_now);
            });
        }
        return;
    }
}

namespace {

    uint64_t setting(const char* name, uint64_t defaultValue)
    {
        const char* text = std::getenv(name);
        return text ? std::strtoull(text, nullptr, 10) : defaultValue;
    }

    void printAndRequire(const char* what, const std::map<std::string, uint64_t>& counts)
    {
        std::string line;
        for (const auto& it : counts) {
            line += fmt::format(" {}={};", it.first, it.second);
            CHECK_MESSAGE(it.second > 0, it.first);
        }
        MESSAGE(std::string(what) << ":" << line);
        CHECK(counts.size() >= 5);
    }

} // namespace

TEST_CASE("the promises to callers hold under random faults")
{
    const auto first = setting("TEASEL_FIRST_SEED", 1);
    const auto seeds = setting("TEASEL_SEEDS", 200);
    auto previousHandler = setInvariantHandler([](std::string_view name, std::string_view seen) {
        throw std::runtime_error(fmt::format("invariant {} broken: {}", name, seen));
    });
    WorldCounts counts;
    uint64_t failed = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        try {
            World(seed, counts).run();
        } catch (const std::exception& it) {
            ++failed;
            MESSAGE("TEASEL_FIRST_SEED=" << seed << " TEASEL_SEEDS=1 setarch -R build/requests_random_test  # "
                                         << std::string(it.what()));
        }
    }
    setInvariantHandler(std::move(previousHandler));
    CHECK(failed == 0);
    printAndRequire("faults", counts.faults);
    printAndRequire("work", counts.work);
}

} // namespace teasel

// A deterministic, seeded simulation of replicated logs with fake disks, links and clocks.
#pragma once

#include "consensus/replicated_log.h"
#include "fake_disk.h"
#include "storage/record_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

namespace teasel {

// The history on which all replicas must agree. The checks against it throw on a violation.
struct SimulationOracle {
    std::map<uint64_t, std::string> applied; // by index
    std::map<uint64_t, uint64_t> hashes; // hash of all commands up to an index
    std::map<uint64_t, std::string> leaders; // by term
    std::set<std::string> acknowledged;
    uint64_t lastAcknowledged = 0; // highest index
};

[[noreturn]] inline void throwViolation(std::string what) { throw std::runtime_error(std::move(what)); }

// Records every applied command and checks that all replicas apply the same ones.
class RecordingStateMachine final : public StateMachine {
public:
    explicit RecordingStateMachine(SimulationOracle& oracle)
        : m_oracle(oracle)
    {
    }

    std::string apply(uint64_t index, std::string_view command) override
    {
        if (index <= m_index)
            throwViolation(fmt::format("index {} applied after {}", index, m_index));
        m_index = index;
        m_hash = m_hash * 31 + std::hash<std::string_view> {}(command);
        const auto [it, isFirst] = m_oracle.applied.emplace(index, command);
        if (!isFirst && it->second != command)
            throwViolation(fmt::format("index {} is {} on this replica and {} on another", index, command, it->second));
        checkHash();
        return std::to_string(index);
    }

    std::string snapshot() const override { return fmt::format("{} {} {}", m_index, m_hash, std::string(300, 'x')); }

    Result<void> restore(std::string_view snapshot) override
    {
        m_index = std::strtoull(snapshot.data(), nullptr, 10);
        m_hash = std::strtoull(snapshot.data() + snapshot.find(' '), nullptr, 10);
        checkHash();
        return {};
    }

    uint64_t index() const { return m_index; }

private:
    void checkHash()
    {
        const auto [it, isFirst] = m_oracle.hashes.emplace(m_index, m_hash);
        if (!isFirst && it->second != m_hash)
            throwViolation(fmt::format("the states at index {} differ", m_index));
    }

    SimulationOracle& m_oracle;
    uint64_t m_index = 0;
    uint64_t m_hash = 0;
};

struct SimulationOptions {
    uint64_t seed = 1;
    size_t nodes = 3;
    size_t voters = 3;
    double dropProbability = 0; // for each message, as are the next two
    double repeatProbability = 0;
    double delayProbability = 0; // the delay is up to 1 s
    uint64_t snapshotEvery = 40;
    uint64_t snapshotEveryBytes = ReplicatedLogOptions().snapshotEveryBytes;
    uint64_t retainedRecords = 10;
    uint64_t retainedBytes = ReplicaOptions().retainedBytes;
    uint64_t maxUnappliedBytes = ReplicaOptions().maxUnappliedBytes;
    bool replacementsKnowVoters = true; // the settings of a replaced replica name the voters
};

struct SimulationCounters {
    std::map<std::string, uint64_t> faults;
    std::map<std::string, uint64_t> work;
};

class Simulation {
public:
    static constexpr Duration step = std::chrono::milliseconds(5);

    explicit Simulation(SimulationOptions options)
        : random(options.seed)
        , m_options(options)
        , m_blockedLinks(options.nodes * options.nodes, false)
    {
        for (size_t i = 0; i < options.voters; ++i)
            m_bootstrap.add_voters(nameOf(i));
        for (size_t i = 0; i < options.nodes; ++i) {
            auto& node = *m_nodes.emplace_back(std::make_unique<Node>());
            node.clockRate = 0.98 + 0.04 * random.unit();
            node.clock.offset = std::chrono::seconds(random.below(1'000'000) + 1);
            start(i);
        }
    }

    static std::string nameOf(size_t node) { return std::string(1, static_cast<char>('a' + node)); }
    static size_t indexOf(std::string_view name) { return static_cast<size_t>(name[0] - 'a'); }
    size_t size() const { return m_nodes.size(); }
    bool isUp(size_t i) const { return m_nodes[i]->log != nullptr; }
    bool isPaused(size_t i) const { return m_nodes[i]->pausedUntil > m_now; }
    ReplicatedLog& log(size_t i) { return *m_nodes[i]->log; }
    FakeDisk& disk(size_t i) { return m_nodes[i]->disk; }
    Instant nowOf(size_t i) const { return m_nodes[i]->clock.now(); }
    Instant now() const { return m_now; }
    uint64_t appliedOf(size_t i) const { return m_nodes[i]->stateMachine->index(); }

    void start(size_t i)
    {
        auto& node = *m_nodes[i];
        ReplicatedLogOptions options;
        options.replica.id = nameOf(i);
        if (!node.isReplacement || m_options.replacementsKnowVoters)
            options.replica.bootstrap = m_bootstrap;
        options.replica.seed = random.engine()();
        options.replica.maxBatchBytes = 200;
        options.replica.snapshotChunkBytes = 100;
        options.replica.retainedRecords = m_options.retainedRecords;
        options.replica.retainedBytes = m_options.retainedBytes;
        options.replica.maxUnappliedBytes = m_options.maxUnappliedBytes;
        options.replica.isReplacement = node.isReplacement;
        options.store.segmentBytes = 1'000;
        options.snapshotEveryRecords = m_options.snapshotEvery;
        options.snapshotEveryBytes = m_options.snapshotEveryBytes;
        options.hasOwnStorageThread = false;
        node.stateMachine = std::make_unique<RecordingStateMachine>(oracle);
        node.log = std::make_unique<ReplicatedLog>(
            options, node.clock, node.disk, *node.stateMachine,
            [this, i](std::string_view to, const schema::ConsensusMessage& it) { send(i, to, it); },
            [this, i](std::function<void()> it) { postToControl(i, std::move(it)); }, makeEvents(i));
        const auto outcome = valueOrError([&] { return node.log->start(nowOf(i)); });
        if (const auto* error = std::get_if<Error>(&outcome))
            throwViolation(fmt::format("{} does not start: {}", nameOf(i), error->message));
    }

    // Kills the process. With `losesPower` its machine crashes as well, which may lose unsynced bytes.
    void kill(size_t i, bool losesPower = true)
    {
        auto& node = *m_nodes[i];
        counters.work["snapshots installed"] += node.log ? node.log->counters().snapshotsInstalled : 0;
        counters.work["elections"] += node.log ? node.log->counters().timesElected : 0;
        node.log.reset();
        node.controlQueue.clear();
        node.receivedMessages.clear();
        node.pausedUntil = {};
        node.disk.writesLeft = FakeDisk::unlimited;
        if (losesPower)
            counters.faults["unsynced bytes lost"] += node.disk.crash(random);
    }

    // Kills the process and replaces its disk by an empty one.
    void loseDisk(size_t i)
    {
        kill(i);
        m_nodes[i]->disk.files.clear();
        m_nodes[i]->isReplacement = true;
    }

    void pause(size_t i, Duration length) { m_nodes[i]->pausedUntil = m_now + length; }
    void setLinkBlocked(size_t from, size_t to, bool isBlocked) { m_blockedLinks[from * size() + to] = isBlocked; }
    void unblockLinks() { m_blockedLinks.assign(m_blockedLinks.size(), false); }
    void stopLinkFaults() { m_options.dropProbability = m_options.repeatProbability = m_options.delayProbability = 0; }
    void setPartitioned(size_t i, bool isBlocked)
    {
        for (size_t j = 0; j < size(); ++j)
            if (j != i) {
                setLinkBlocked(i, j, isBlocked);
                setLinkBlocked(j, i, isBlocked);
            }
    }

    // Describes the state of each running replica in one line.
    std::string describe() const
    {
        std::string text;
        for (size_t i = 0; i < size(); ++i) {
            if (!isUp(i))
                continue;
            const auto& it = m_nodes[i]->log->replica();
            text += fmt::format(
                "\n    {}: role {} term {} last {}/{} applied {} committed {} durable {} mayVote {} failed {} "
                "voters {} learners {}",
                nameOf(i), static_cast<int>(it.role()), it.term(), it.log().lastIndex(), it.log().lastTerm(),
                it.appliedIndex(), it.committedIndex(), it.durableIndex(), it.mayVote(), it.hasFailed(),
                fmt::join(it.voters().voters(), ""), fmt::join(it.voters().learners(), ""));
        }
        return text;
    }

    // True if the durable hard state of a replica allows it to vote.
    bool mayVoteOnDisk(size_t i)
    {
        const auto& files = disk(i).files;
        const auto it = files.find("hard-state");
        schema::HardState hardState;
        if (it == files.end())
            return false;
        const auto bytes = decodeChecksummedFile(it->second.synced);
        return bytes && hardState.ParseFromString(std::string(*bytes)) && hardState.may_vote();
    }

    bool hasRecordsOnDisk(size_t i)
    {
        const auto& files = disk(i).files;
        return std::any_of(files.begin(), files.end(),
            [](const auto& it) { return it.first != "hard-state" && decodeFrame(it.second.synced); });
    }

    // The index of a replica that serves; size() when there is none.
    size_t servingNode() const
    {
        for (size_t i = 0; i < size(); ++i)
            if (isUp(i) && !isPaused(i) && m_nodes[i]->log->isServing())
                return i;
        return size();
    }

    // Proposes a command of at least `bytes` bytes.
    bool propose(size_t i, size_t bytes = 0)
    {
        const auto ticket = ++m_lastTicket;
        if (!log(i).propose(fmt::format("{:<{}}", fmt::format("command-{}", ticket), bytes), ticket, nowOf(i)))
            return false;
        ++counters.work["proposed"];
        return true;
    }

    // Advances the time by one step and runs all replicas.
    void advance()
    {
        m_now += step;
        for (auto& it : m_nodes)
            it->clock.reading = std::chrono::duration_cast<Duration>(it->clockRate * m_now.time_since_epoch());
        deliver();
        for (size_t i = 0; i < size(); ++i)
            runNode(i);
        checkLeadership();
    }

    void advanceFor(Duration length)
    {
        for (const auto end = m_now + length; m_now < end;)
            advance();
    }

    // Advances the time until a replica serves. Returns false if none does within `atMost`.
    bool advanceUntilServing(Duration atMost)
    {
        for (const auto end = m_now + atMost; m_now < end && servingNode() == size();)
            advance();
        return servingNode() != size();
    }

    Random random;
    SimulationOracle oracle;
    SimulationCounters counters;

private:
    struct NodeClock final : Clock {
        Instant now() const override { return Instant(offset + reading); }
        WallTime wallNow() const override { return {}; }
        Duration offset {};
        Duration reading {};
    };
    struct Node {
        double clockRate = 1;
        NodeClock clock;
        FakeDisk disk;
        std::unique_ptr<RecordingStateMachine> stateMachine;
        std::unique_ptr<ReplicatedLog> log;
        // Functions posted to the control thread, with the time at which they run.
        std::deque<std::pair<Instant, std::function<void()>>> controlQueue;
        std::vector<std::pair<std::string, schema::ConsensusMessage>> receivedMessages; // with the sender
        Instant pausedUntil {};
        bool isReplacement = false;
    };
    struct MessageInFlight {
        size_t from = 0;
        size_t to = 0;
        schema::ConsensusMessage message;
    };

    ReplicatedLogEvents makeEvents(size_t i)
    {
        ReplicatedLogEvents events;
        events.onApplied = [this](uint64_t ticket, const std::string& result) {
            ++counters.work["acknowledged"];
            oracle.acknowledged.insert(fmt::format("command-{}", ticket));
            oracle.lastAcknowledged = std::max<uint64_t>(oracle.lastAcknowledged, std::stoull(result));
        };
        events.onOutcomeUnknown = [](uint64_t) {};
        events.onServingChanged = [](bool) {};
        events.onStorageFailed = [this, i](const Error&) {
            ++counters.faults["write errors seen"];
            m_nodes[i]->controlQueue.clear();
        };
        return events;
    }

    void postToControl(size_t i, std::function<void()> function)
    {
        auto& controlQueue = m_nodes[i]->controlQueue;
        auto due = m_now + Duration(random.below(8'000));
        if (!controlQueue.empty())
            due = std::max(due, controlQueue.back().first);
        controlQueue.emplace_back(due, std::move(function));
    }

    void send(size_t from, std::string_view to, const schema::ConsensusMessage& message)
    {
        ++counters.work["messages"];
        if (random.chance(m_options.dropProbability)) {
            ++counters.faults["messages dropped"];
            return;
        }
        const size_t copies = random.chance(m_options.repeatProbability) ? 2 : 1;
        counters.faults["messages repeated"] += copies - 1;
        for (size_t n = 0; n < copies; ++n) {
            auto delay = Duration(random.below(4'000));
            if (random.chance(m_options.delayProbability)) {
                delay += Duration(random.below(1'000'000));
                ++counters.faults["messages delayed"];
            }
            m_messagesInFlight.emplace(m_now + delay, MessageInFlight { from, indexOf(to), message });
        }
    }

    void deliver()
    {
        while (!m_messagesInFlight.empty() && m_messagesInFlight.begin()->first <= m_now) {
            auto it = std::move(m_messagesInFlight.begin()->second);
            m_messagesInFlight.erase(m_messagesInFlight.begin());
            if (m_blockedLinks[it.from * size() + it.to])
                ++counters.faults["messages blocked"];
            else if (isUp(it.to))
                m_nodes[it.to]->receivedMessages.emplace_back(nameOf(it.from), std::move(it.message));
        }
    }

    void runNode(size_t i)
    {
        auto& node = *m_nodes[i];
        if (!isUp(i) || isPaused(i))
            return;
        const bool couldVote = node.log->replica().mayVote();
        for (const auto& [from, message] : std::exchange(node.receivedMessages, {}))
            node.log->onMessage(from, message, nowOf(i));
        while (!node.controlQueue.empty() && node.controlQueue.front().first <= m_now) {
            const auto function = std::move(node.controlQueue.front().second);
            node.controlQueue.pop_front();
            function();
        }
        node.log->onTick(nowOf(i));
        counters.work["disks readmitted"] += !couldVote && node.log->replica().mayVote();
    }

    void checkLeadership()
    {
        size_t leaseHolders = 0;
        for (size_t i = 0; i < size(); ++i) {
            if (!isUp(i) || !log(i).isLeader())
                continue;
            const auto [it, isFirst] = oracle.leaders.emplace(log(i).replica().term(), nameOf(i));
            if (it->second != nameOf(i))
                throwViolation(fmt::format("{} and {} lead in term {}", it->second, nameOf(i), it->first));
            if (!log(i).holdsLease(nowOf(i)))
                continue;
            ++leaseHolders;
            ++counters.work["lease reads"];
            if (appliedOf(i) < oracle.lastAcknowledged)
                throwViolation(fmt::format("{} would serve a read at index {} although {} was acknowledged", nameOf(i),
                    appliedOf(i), oracle.lastAcknowledged));
        }
        if (leaseHolders > 1)
            throwViolation("two replicas hold the lease");
    }

    SimulationOptions m_options;
    schema::VoterSet m_bootstrap;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<bool> m_blockedLinks; // indexed by sender * size() + receiver
    std::multimap<Instant, MessageInFlight> m_messagesInFlight;
    Instant m_now { std::chrono::seconds(1) };
    uint64_t m_lastTicket = 0;
};

} // namespace teasel

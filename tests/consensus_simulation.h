// Replicated logs over faked disks, links and clocks, for seeded runs.
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

// What all replicas must agree on. Throws when they do not.
struct SimulationTruth {
    std::map<uint64_t, std::string> applied; // by index
    std::map<uint64_t, uint64_t> hashes; // of everything up to an index
    std::map<uint64_t, std::string> leaders; // by term
    std::set<std::string> acknowledged;
    uint64_t lastAcknowledged = 0; // index
};

[[noreturn]] inline void breach(std::string what) { throw std::runtime_error(std::move(what)); }

// Remembers every command, and compares with what the others applied.
class RecordingMachine final : public StateMachine {
public:
    explicit RecordingMachine(SimulationTruth& truth)
        : m_truth(truth)
    {
    }

    std::string apply(uint64_t index, std::string_view command) override
    {
        if (index <= m_index)
            breach(fmt::format("index {} applied after {}", index, m_index));
        m_index = index;
        m_hash = m_hash * 31 + std::hash<std::string_view> {}(command);
        const auto [it, isNew] = m_truth.applied.emplace(index, command);
        if (!isNew && it->second != command)
            breach(fmt::format("index {} is {} here and {} elsewhere", index, command, it->second));
        compareHash();
        return std::to_string(index);
    }

    std::string snapshot() const override { return fmt::format("{} {} {}", m_index, m_hash, std::string(300, 'x')); }

    Result<void> restore(std::string_view snapshot) override
    {
        m_index = std::strtoull(snapshot.data(), nullptr, 10);
        m_hash = std::strtoull(snapshot.data() + snapshot.find(' '), nullptr, 10);
        compareHash();
        return {};
    }

    uint64_t index() const { return m_index; }

private:
    void compareHash()
    {
        const auto [it, isNew] = m_truth.hashes.emplace(m_index, m_hash);
        if (!isNew && it->second != m_hash)
            breach(fmt::format("the states at index {} differ", m_index));
    }

    SimulationTruth& m_truth;
    uint64_t m_index = 0;
    uint64_t m_hash = 0;
};

struct SimulationOptions {
    uint64_t seed = 1;
    size_t nodes = 3;
    size_t voters = 3;
    double dropped = 0; // probabilities for each message
    double repeated = 0;
    double delayed = 0; // by up to a second
    uint64_t snapshotEvery = 40;
    uint64_t keepRecords = 10;
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
        , m_cuts(options.nodes * options.nodes, false)
    {
        for (size_t i = 0; i < options.voters; ++i)
            m_bootstrap.add_voters(nameOf(i));
        for (size_t i = 0; i < options.nodes; ++i) {
            auto& node = *m_nodes.emplace_back(std::make_unique<Node>());
            node.rate = 0.98 + 0.04 * random.unit();
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
    uint64_t appliedOf(size_t i) const { return m_nodes[i]->machine->index(); }

    void start(size_t i)
    {
        auto& node = *m_nodes[i];
        ReplicatedLogOptions options;
        options.replica.id = nameOf(i);
        options.replica.bootstrap = m_bootstrap;
        options.replica.seed = random.engine()();
        options.replica.maxBatchBytes = 200;
        options.replica.snapshotChunkBytes = 100;
        options.replica.keepRecords = m_options.keepRecords;
        options.replica.replacement = node.isReplacement;
        options.store.segmentBytes = 1'000;
        options.snapshotEveryRecords = m_options.snapshotEvery;
        options.hasOwnStorageThread = false;
        node.machine = std::make_unique<RecordingMachine>(truth);
        node.log = std::make_unique<ReplicatedLog>(
            options, node.clock, node.disk, *node.machine,
            [this, i](std::string_view to, const schema::ConsensusMessage& it) { send(i, to, it); },
            [this, i](std::function<void()> it) { postTo(i, std::move(it)); }, eventsOf(i));
        const auto outcome = valueOrError([&] { return node.log->start(nowOf(i)); });
        if (const auto* error = std::get_if<Error>(&outcome))
            breach(fmt::format("{} does not start: {}", nameOf(i), error->message));
    }

    // Ends the process, and the power of its machine with it or not.
    void kill(size_t i, bool losesPower = true)
    {
        auto& node = *m_nodes[i];
        counters.work["snapshots installed"] += node.log ? node.log->counters().snapshotsInstalled : 0;
        counters.work["elections"] += node.log ? node.log->counters().timesElected : 0;
        node.log.reset();
        node.queue.clear();
        node.waiting.clear();
        node.pausedUntil = {};
        node.disk.writesLeft = FakeDisk::unlimited;
        if (losesPower)
            counters.faults["unsynced bytes lost"] += node.disk.crash(random);
    }

    // The disk is gone; an empty one takes its place.
    void loseDisk(size_t i)
    {
        kill(i);
        m_nodes[i]->disk.files.clear();
        m_nodes[i]->isReplacement = true;
    }

    void pause(size_t i, Duration length) { m_nodes[i]->pausedUntil = m_now + length; }
    void setCut(size_t from, size_t to, bool isCut) { m_cuts[from * size() + to] = isCut; }
    void healLinks() { m_cuts.assign(m_cuts.size(), false); }
    void stopLinkFaults() { m_options.dropped = m_options.repeated = m_options.delayed = 0; }
    void cutOff(size_t i, bool isCut)
    {
        for (size_t j = 0; j < size(); ++j)
            if (j != i) {
                setCut(i, j, isCut);
                setCut(j, i, isCut);
            }
    }

    // One line on where each replica stands.
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

    // Whether the disk of a replica says that it may vote.
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

    // A replica that says it serves; size() when there is none.
    size_t servingNode() const
    {
        for (size_t i = 0; i < size(); ++i)
            if (isUp(i) && !isPaused(i) && m_nodes[i]->log->isServing())
                return i;
        return size();
    }

    bool propose(size_t i)
    {
        const auto ticket = ++m_lastTicket;
        if (!log(i).propose(fmt::format("command-{}", ticket), ticket, nowOf(i)))
            return false;
        ++counters.work["proposed"];
        return true;
    }

    // One step of time.
    void advance()
    {
        m_now += step;
        for (auto& it : m_nodes)
            it->clock.reading = std::chrono::duration_cast<Duration>(it->rate * m_now.time_since_epoch());
        deliver();
        for (size_t i = 0; i < size(); ++i)
            runNode(i);
        checkAgreement();
    }

    void advanceFor(Duration length)
    {
        for (const auto end = m_now + length; m_now < end;)
            advance();
    }

    // Lets time pass until a replica serves; false if none does in this time.
    bool awaitServing(Duration atMost)
    {
        for (const auto end = m_now + atMost; m_now < end && servingNode() == size();)
            advance();
        return servingNode() != size();
    }

    Random random;
    SimulationTruth truth;
    SimulationCounters counters;

private:
    struct NodeClock final : Clock {
        Instant now() const override { return Instant(offset + reading); }
        WallTime wallNow() const override { return {}; }
        Duration offset {};
        Duration reading {};
    };
    struct Node {
        double rate = 1;
        NodeClock clock;
        FakeDisk disk;
        std::unique_ptr<RecordingMachine> machine;
        std::unique_ptr<ReplicatedLog> log;
        std::deque<std::pair<Instant, std::function<void()>>> queue; // posted to the control thread
        std::vector<std::pair<std::string, schema::ConsensusMessage>> waiting; // arrived
        Instant pausedUntil {};
        bool isReplacement = false;
    };
    struct Flying {
        size_t from = 0;
        size_t to = 0;
        schema::ConsensusMessage message;
    };

    ReplicatedLogEvents eventsOf(size_t i)
    {
        ReplicatedLogEvents events;
        events.onApplied = [this](uint64_t ticket, const std::string& result) {
            ++counters.work["acknowledged"];
            truth.acknowledged.insert(fmt::format("command-{}", ticket));
            truth.lastAcknowledged = std::max<uint64_t>(truth.lastAcknowledged, std::stoull(result));
        };
        events.onDropped = [](uint64_t) {};
        events.onServingChanged = [](bool) {};
        events.onStorageFailed = [this, i](const Error&) {
            ++counters.faults["write errors seen"];
            m_nodes[i]->queue.clear();
        };
        return events;
    }

    void postTo(size_t i, std::function<void()> function)
    {
        auto& queue = m_nodes[i]->queue;
        auto due = m_now + Duration(random.below(8'000));
        if (!queue.empty())
            due = std::max(due, queue.back().first);
        queue.emplace_back(due, std::move(function));
    }

    void send(size_t from, std::string_view to, const schema::ConsensusMessage& message)
    {
        ++counters.work["messages"];
        if (random.chance(m_options.dropped)) {
            ++counters.faults["messages dropped"];
            return;
        }
        const size_t copies = random.chance(m_options.repeated) ? 2 : 1;
        counters.faults["messages repeated"] += copies - 1;
        for (size_t n = 0; n < copies; ++n) {
            auto delay = Duration(random.below(4'000));
            if (random.chance(m_options.delayed)) {
                delay += Duration(random.below(1'000'000));
                ++counters.faults["messages delayed"];
            }
            m_flying.emplace(m_now + delay, Flying { from, indexOf(to), message });
        }
    }

    void deliver()
    {
        while (!m_flying.empty() && m_flying.begin()->first <= m_now) {
            auto it = std::move(m_flying.begin()->second);
            m_flying.erase(m_flying.begin());
            if (m_cuts[it.from * size() + it.to])
                ++counters.faults["messages cut off"];
            else if (isUp(it.to))
                m_nodes[it.to]->waiting.emplace_back(nameOf(it.from), std::move(it.message));
        }
    }

    void runNode(size_t i)
    {
        auto& node = *m_nodes[i];
        if (!isUp(i) || isPaused(i))
            return;
        const bool couldVote = node.log->replica().mayVote();
        for (const auto& [from, message] : std::exchange(node.waiting, {}))
            node.log->onMessage(from, message, nowOf(i));
        while (!node.queue.empty() && node.queue.front().first <= m_now) {
            const auto function = std::move(node.queue.front().second);
            node.queue.pop_front();
            function();
        }
        node.log->onTick(nowOf(i));
        counters.work["disks readmitted"] += !couldVote && node.log->replica().mayVote();
    }

    void checkAgreement()
    {
        size_t leases = 0;
        for (size_t i = 0; i < size(); ++i) {
            if (!isUp(i) || !log(i).isLeader())
                continue;
            const auto [it, isNew] = truth.leaders.emplace(log(i).replica().term(), nameOf(i));
            if (it->second != nameOf(i))
                breach(fmt::format("{} and {} lead in term {}", it->second, nameOf(i), it->first));
            if (!log(i).holdsLease(nowOf(i)))
                continue;
            ++leases;
            ++counters.work["lease reads"];
            if (appliedOf(i) < truth.lastAcknowledged)
                breach(fmt::format("{} would read up to {} though {} was acknowledged", nameOf(i), appliedOf(i),
                    truth.lastAcknowledged));
        }
        if (leases > 1)
            breach("two replicas hold the lease");
    }

    SimulationOptions m_options;
    schema::VoterSet m_bootstrap;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<bool> m_cuts; // by sender and receiver
    std::multimap<Instant, Flying> m_flying;
    Instant m_now { std::chrono::seconds(1) };
    uint64_t m_lastTicket = 0;
};

} // namespace teasel

// Seeded runs of replicated logs under faults. TEASEL_SEEDS and
// TEASEL_FIRST_SEED choose how many and which.
#include "consensus_simulation.h"
#include "core/invariant.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <numeric>

using namespace teasel;

namespace {

constexpr uint64_t defaultSeeds = 200;
constexpr Duration faultyTime = std::chrono::seconds(30);
constexpr Duration healingTime = std::chrono::seconds(20);

uint64_t numberFromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

using Counts = std::map<std::string, uint64_t>;

void addTo(Counts& sum, const Counts& counts)
{
    for (const auto& [name, n] : counts)
        sum[name] += n;
}

uint64_t total(const Counts& counts)
{
    return std::accumulate(
        counts.begin(), counts.end(), uint64_t { 0 }, [](uint64_t sum, const auto& it) { return sum + it.second; });
}

void print(std::string_view what, const Counts& counts)
{
    fmt::print("{}:\n", what);
    for (const auto& [name, n] : counts)
        fmt::print("  {}: {}\n", name, n);
}

class FaultyRun {
public:
    explicit FaultyRun(uint64_t seed)
        : m_simulation(optionsFor(seed))
        , m_random(seed ^ 0x9e3779b97f4a7c15)
        , m_downUntil(m_simulation.size())
    {
    }

    SimulationCounters run()
    {
        const auto end = m_simulation.now() + faultyTime;
        while (m_simulation.now() < end) {
            injectFaults();
            proposeSome();
            m_simulation.advance();
        }
        heal();
        checkHealed();
        return m_simulation.counters;
    }

private:
    static SimulationOptions optionsFor(uint64_t seed)
    {
        SimulationOptions options;
        options.seed = seed;
        options.nodes = seed % 2 == 0 ? 3 : 5;
        options.voters = seed % 4 == 1 ? 5 : 3;
        options.dropped = 0.02;
        options.repeated = 0.02;
        options.delayed = 0.02;
        options.snapshotEvery = seed % 3 == 0 ? 400 : 40;
        return options;
    }

    void noteFault(const char* name) { ++m_simulation.counters.faults[name]; }
    size_t anyNode() { return m_random.below(m_simulation.size()); }

    void injectFaults()
    {
        restartSome();
        if (m_random.chance(0.0015))
            killOne();
        if (m_random.chance(0.001))
            loseDisk();
        if (m_random.chance(0.001))
            failWrites();
        if (m_random.chance(0.001))
            pauseOne();
        if (m_random.chance(0.002))
            cutSome();
        if (m_random.chance(0.002))
            m_simulation.healLinks();
        if (m_random.chance(0.01))
            changeVoters();
        if (m_random.chance(0.0005))
            handOver();
    }

    void restartSome()
    {
        for (size_t i = 0; i < m_simulation.size(); ++i)
            if (!m_simulation.isUp(i) && m_simulation.now() >= m_downUntil[i])
                m_simulation.start(i);
    }

    void stayDown(size_t i) { m_downUntil[i] = m_simulation.now() + std::chrono::milliseconds(m_random.below(3'000)); }

    void killOne()
    {
        const auto i = anyNode();
        if (!m_simulation.isUp(i))
            return;
        noteFault("kills");
        m_simulation.kill(i, m_random.chance(0.5));
        stayDown(i);
    }

    // A disk is lost only while all others are whole.
    void loseDisk()
    {
        for (size_t i = 0; i < m_simulation.size(); ++i)
            if (!m_simulation.mayVoteOnDisk(i) || !m_simulation.hasRecordsOnDisk(i))
                return;
        const auto i = anyNode();
        noteFault("disks lost");
        m_simulation.loseDisk(i);
        stayDown(i);
    }

    void failWrites()
    {
        const auto i = anyNode();
        if (!m_simulation.isUp(i) || m_simulation.disk(i).writesLeft != FakeDisk::unlimited)
            return;
        noteFault("disks full or failing");
        m_simulation.disk(i).writesLeft = m_random.below(4);
    }

    void pauseOne()
    {
        noteFault("pauses");
        m_simulation.pause(anyNode(), std::chrono::milliseconds(m_random.below(3'000)));
    }

    void cutSome()
    {
        const auto i = anyNode();
        if (m_random.chance(0.5)) {
            noteFault("replicas cut off");
            m_simulation.cutOff(i, true);
        } else {
            noteFault("links cut one way");
            m_simulation.setCut(i, anyNode(), true);
        }
    }

    void changeVoters()
    {
        const auto leader = m_simulation.servingNode();
        if (leader == m_simulation.size())
            return;
        VoterChange change { static_cast<VoterChange::Kind>(m_random.below(3)), Simulation::nameOf(anyNode()) };
        if (change.kind == VoterChange::Kind::Remove && m_simulation.log(leader).replica().voters().voters_size() <= 3)
            return;
        const auto outcome
            = valueOrError([&] { return m_simulation.log(leader).changeVoters(change, m_simulation.nowOf(leader)); });
        m_simulation.counters.work["voter changes"] += std::holds_alternative<uint64_t>(outcome);
    }

    void handOver()
    {
        const auto leader = m_simulation.servingNode();
        if (leader == m_simulation.size())
            return;
        noteFault("handovers");
        m_simulation.log(leader).stepDown(m_simulation.nowOf(leader));
    }

    void proposeSome()
    {
        for (size_t i = 0; i < m_simulation.size(); ++i)
            if (m_simulation.isUp(i) && !m_simulation.isPaused(i) && m_simulation.log(i).isLeader()
                && m_random.chance(0.3))
                m_simulation.propose(i);
    }

    void heal()
    {
        m_simulation.healLinks();
        m_simulation.stopLinkFaults();
        for (size_t i = 0; i < m_simulation.size(); ++i) {
            m_simulation.pause(i, Duration(0));
            if (m_simulation.isUp(i) && m_simulation.disk(i).writesLeft != FakeDisk::unlimited)
                m_simulation.kill(i);
            if (!m_simulation.isUp(i))
                m_simulation.start(i);
        }
        m_simulation.advanceFor(healingTime);
    }

    void checkHealed()
    {
        const auto leader = m_simulation.servingNode();
        if (leader == m_simulation.size())
            breach("no replica serves after healing: " + m_simulation.describe());
        const auto before = m_simulation.counters.work["acknowledged"];
        m_simulation.propose(leader);
        m_simulation.advanceFor(std::chrono::seconds(1));
        if (m_simulation.counters.work["acknowledged"] != before + 1)
            breach("a proposal is not acknowledged after healing");
        const auto& voters = m_simulation.log(leader).replica().voters().voters();
        for (const auto& id : voters)
            if (const auto i = Simulation::indexOf(id); m_simulation.appliedOf(i) != m_simulation.appliedOf(leader))
                breach(fmt::format(
                    "{} has applied {}, the leader {}", id, m_simulation.appliedOf(i), m_simulation.appliedOf(leader)));
        std::set<std::string> applied;
        for (const auto& [index, command] : m_simulation.truth.applied)
            applied.insert(command);
        for (const auto& command : m_simulation.truth.acknowledged)
            if (!applied.contains(command))
                breach(command + " was acknowledged and is lost");
    }

    Simulation m_simulation;
    Random m_random;
    std::vector<Instant> m_downUntil;
};

} // namespace

TEST_CASE("replicas agree and lose nothing acknowledged under faults")
{
    const auto first = numberFromEnvironment("TEASEL_FIRST_SEED", 1);
    const auto seeds = numberFromEnvironment("TEASEL_SEEDS", defaultSeeds);
    setInvariantHandler([](std::string_view name, std::string_view seen) {
        breach(fmt::format("invariant {} broken: {}", name, seen));
    });
    SimulationCounters sum;
    for (auto seed = first; seed < first + seeds; ++seed) {
        try {
            const auto counters = FaultyRun(seed).run();
            if (total(counters.faults) == 0 || !counters.work.contains("acknowledged"))
                breach("the run injected nothing or committed nothing");
            addTo(sum.faults, counters.faults);
            addTo(sum.work, counters.work);
        } catch (const std::exception& ex) {
            FAIL_CHECK(fmt::format(
                "{}\n    TEASEL_FIRST_SEED={} TEASEL_SEEDS=1 setarch -R build/consensus_random_test", ex.what(), seed));
        }
    }
    setInvariantHandler({});
    fmt::print("{} seeds\n", seeds);
    print("work", sum.work);
    print("faults", sum.faults);
    // A single run need not have met everything, many must have.
    if (seeds < defaultSeeds)
        return;
    for (const auto* name : { "disks readmitted", "snapshots installed", "voter changes", "lease reads" })
        CHECK(sum.work[name] > 0);
    for (const auto* name : { "disks full or failing", "disks lost", "handovers", "kills", "links cut one way",
             "messages cut off", "messages delayed", "messages dropped", "messages repeated", "pauses",
             "replicas cut off", "unsynced bytes lost", "write errors seen" })
        CHECK(sum.faults[name] > 0);
}

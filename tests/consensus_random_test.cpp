// Seeded runs of replicated logs under injected faults. TEASEL_SEEDS sets the number of seeds and TEASEL_FIRST_SEED the
// first one.
#include "consensus_simulation.h"
#include "core/invariant.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <numeric>

using namespace teasel;

namespace {

constexpr uint64_t defaultSeeds = 200;
constexpr Duration faultDuration = std::chrono::seconds(30);
constexpr Duration recoveryDuration = std::chrono::seconds(20);

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

class FaultInjectionRun {
public:
    explicit FaultInjectionRun(uint64_t seed)
        : m_simulation(makeOptions(seed))
        , m_random(seed ^ 0x9e3779b97f4a7c15)
        , m_downUntil(m_simulation.size())
    {
    }

    SimulationCounters run()
    {
        const auto end = m_simulation.now() + faultDuration;
        while (m_simulation.now() < end) {
            injectFaults();
            proposeOnLeaders();
            m_simulation.advance();
        }
        endFaults();
        checkRecovered();
        return m_simulation.counters;
    }

private:
    static SimulationOptions makeOptions(uint64_t seed)
    {
        SimulationOptions options;
        options.seed = seed;
        options.nodes = seed % 2 == 0 ? 3 : 5;
        options.voters = seed % 4 == 1 ? 5 : 3;
        options.dropProbability = 0.02;
        options.repeatProbability = 0.02;
        options.delayProbability = 0.02;
        options.snapshotEvery = seed % 3 == 0 ? 400 : 40;
        options.replacementsKnowVoters = seed % 8 < 2;
        return options;
    }

    void countFault(const char* name) { ++m_simulation.counters.faults[name]; }
    size_t randomNode() { return m_random.below(m_simulation.size()); }

    void injectFaults()
    {
        restartDueNodes();
        if (m_random.chance(0.0015))
            killRandomNode();
        if (m_random.chance(0.001))
            loseDisk();
        if (m_random.chance(0.001))
            failRandomDisk();
        if (m_random.chance(0.001))
            pauseRandomNode();
        if (m_random.chance(0.002))
            blockRandomLinks();
        if (m_random.chance(0.002))
            m_simulation.unblockLinks();
        if (m_random.chance(0.01))
            changeVoters();
        if (m_random.chance(0.0005))
            transferLeadership();
    }

    void restartDueNodes()
    {
        for (size_t i = 0; i < m_simulation.size(); ++i)
            if (!m_simulation.isUp(i) && m_simulation.now() >= m_downUntil[i])
                m_simulation.start(i);
    }

    void scheduleRestart(size_t i)
    {
        m_downUntil[i] = m_simulation.now() + std::chrono::milliseconds(m_random.below(3'000));
    }

    void killRandomNode()
    {
        const auto i = randomNode();
        if (!m_simulation.isUp(i))
            return;
        countFault("kills");
        m_simulation.kill(i, m_random.chance(0.5));
        scheduleRestart(i);
    }

    // A disk is lost only while every disk holds records and may vote: the log need not survive a second loss.
    void loseDisk()
    {
        for (size_t i = 0; i < m_simulation.size(); ++i)
            if (!m_simulation.mayVoteOnDisk(i) || !m_simulation.hasRecordsOnDisk(i))
                return;
        const auto i = randomNode();
        countFault("disks lost");
        m_simulation.loseDisk(i);
        scheduleRestart(i);
    }

    void failRandomDisk()
    {
        const auto i = randomNode();
        if (!m_simulation.isUp(i) || m_simulation.disk(i).writesLeft != FakeDisk::unlimited)
            return;
        countFault("disks full or failing");
        m_simulation.disk(i).writesLeft = m_random.below(4);
    }

    void pauseRandomNode()
    {
        countFault("pauses");
        m_simulation.pause(randomNode(), std::chrono::milliseconds(m_random.below(3'000)));
    }

    void blockRandomLinks()
    {
        const auto i = randomNode();
        if (m_random.chance(0.5)) {
            countFault("replicas partitioned");
            m_simulation.setPartitioned(i, true);
        } else {
            countFault("links blocked one way");
            m_simulation.setLinkBlocked(i, randomNode(), true);
        }
    }

    void changeVoters()
    {
        const auto leader = m_simulation.servingNode();
        if (leader == m_simulation.size())
            return;
        VoterChange change { static_cast<VoterChange::Kind>(m_random.below(3)), Simulation::nameOf(randomNode()) };
        if (change.kind == VoterChange::Kind::Remove && m_simulation.log(leader).replica().voters().voters_size() <= 3)
            return;
        const auto outcome
            = valueOrError([&] { return m_simulation.log(leader).changeVoters(change, m_simulation.nowOf(leader)); });
        m_simulation.counters.work["voter changes"] += std::holds_alternative<uint64_t>(outcome);
    }

    void transferLeadership()
    {
        const auto leader = m_simulation.servingNode();
        if (leader == m_simulation.size())
            return;
        countFault("leadership transfers");
        m_simulation.log(leader).transferLeadership(m_simulation.nowOf(leader));
    }

    void proposeOnLeaders()
    {
        for (size_t i = 0; i < m_simulation.size(); ++i)
            if (m_simulation.isUp(i) && !m_simulation.isPaused(i) && m_simulation.log(i).isLeader()
                && m_random.chance(0.3))
                m_simulation.propose(i);
    }

    void endFaults()
    {
        m_simulation.unblockLinks();
        m_simulation.stopLinkFaults();
        for (size_t i = 0; i < m_simulation.size(); ++i) {
            m_simulation.pause(i, Duration(0));
            if (m_simulation.isUp(i) && m_simulation.disk(i).writesLeft != FakeDisk::unlimited)
                m_simulation.kill(i);
            if (!m_simulation.isUp(i))
                m_simulation.start(i);
        }
        m_simulation.advanceFor(recoveryDuration);
    }

    void checkRecovered()
    {
        const auto leader = m_simulation.servingNode();
        if (leader == m_simulation.size())
            throwViolation("no replica serves after the faults ended: " + m_simulation.describe());
        const auto acknowledgedBefore = m_simulation.counters.work["acknowledged"];
        m_simulation.propose(leader);
        m_simulation.advanceFor(std::chrono::seconds(1));
        if (m_simulation.counters.work["acknowledged"] != acknowledgedBefore + 1)
            throwViolation("a proposal is not acknowledged after the faults ended");
        const auto& voters = m_simulation.log(leader).replica().voters().voters();
        for (const auto& id : voters)
            if (const auto i = Simulation::indexOf(id); m_simulation.appliedOf(i) != m_simulation.appliedOf(leader))
                throwViolation(fmt::format("{} has applied up to {}, the leader up to {}", id,
                    m_simulation.appliedOf(i), m_simulation.appliedOf(leader)));
        std::set<std::string> applied;
        for (const auto& [index, command] : m_simulation.oracle.applied)
            applied.insert(command);
        for (const auto& command : m_simulation.oracle.acknowledged)
            if (!applied.contains(command))
                throwViolation(command + " was acknowledged but is lost");
    }

    Simulation m_simulation;
    Random m_random;
    std::vector<Instant> m_downUntil;
};

} // namespace

TEST_CASE("replicas agree and lose no acknowledged command under faults")
{
    const auto first = numberFromEnvironment("TEASEL_FIRST_SEED", 1);
    const auto seeds = numberFromEnvironment("TEASEL_SEEDS", defaultSeeds);
    setInvariantHandler([](std::string_view name, std::string_view state) {
        throwViolation(fmt::format("invariant {} broken: {}", name, state));
    });
    SimulationCounters sum;
    for (auto seed = first; seed < first + seeds; ++seed) {
        try {
            const auto counters = FaultInjectionRun(seed).run();
            if (total(counters.faults) == 0 || !counters.work.contains("acknowledged"))
                throwViolation("the run injected no faults or committed no commands");
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
    // A few seeds need not cover every kind of fault and work; the default number must.
    if (seeds < defaultSeeds)
        return;
    for (const auto* name : { "disks readmitted", "snapshots installed", "voter changes", "lease reads" })
        CHECK(sum.work[name] > 0);
    for (const auto* name : { "disks full or failing", "disks lost", "leadership transfers", "kills",
             "links blocked one way", "messages blocked", "messages delayed", "messages dropped", "messages repeated",
             "pauses", "replicas partitioned", "unsynced bytes lost", "write errors seen" })
        CHECK(sum.faults[name] > 0);
}

// Simulation of the fleet state, its leader's service and the sessions of the entry instances. Network, log and
// elections are simulated; faults are drawn from a seed.
#pragma once

#include "core/invariant.h"
#include "core/random.h"
#include "fleet/fleet_service.h"
#include "fleet/member_session.h"
#include "fleet/session.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

namespace teasel {

using namespace std::chrono_literals;

inline constexpr Duration s_step = 10ms;
inline constexpr Duration s_faultyTime = 30s;
inline constexpr Duration s_quietTime = 15s;
inline constexpr Duration s_authority = 8s;
inline constexpr Duration s_leadership = 1s;
inline const std::vector<std::pair<std::string, int>> s_dataCentres { { "a", 3 }, { "b", 2 }, { "c", 2 }, { "d", 2 } };

using Counts = std::map<std::string, uint64_t>;

inline void require(bool holds, const std::string& what)
{
    if (!holds)
        throw std::runtime_error(what);
}

// A process's clock, with its own origin and a slightly wrong rate.
struct LocalClock {
    Duration origin { 0 };
    double rate = 1;
    Instant at(Duration time) const
    {
        return Instant(origin + Duration(static_cast<Duration::rep>(rate * static_cast<double>(time.count()))));
    }
};

struct Instance {
    std::string name;
    std::string dataCentre;
    LocalClock clock;
    std::unique_ptr<ConfigView> view;
    std::unique_ptr<FleetSession> session;
    std::unique_ptr<MemberSession> member;
    std::map<std::string, schema::JobRecord> jobs;
    Epoch leads = 0; // epoch under which the instance believes to lead; 0 if it does not
    Instant leadershipEnd; // on its own clock
    Duration pausedUntil { 0 };
    Duration isolatedUntil { 0 };
};

struct DataCentre {
    std::vector<size_t> instances;
    Epoch epoch = 0;
    size_t leader = 0;
    Duration leadershipEnd { 0 };
    Duration cutUntil { 0 }; // no contact to the fleet state until then
    std::map<TeamId, std::pair<uint64_t, uint64_t>> use; // (in use, wanted)
};

struct Message {
    Duration at { 0 };
    std::string from;
    std::string to;
    std::variant<schema::SessionRenew, schema::SessionGrant, schema::MemberRenew, schema::MemberUpdate, schema::Propose,
        schema::ProposeAnswer>
        body;
};

class FakeFleet {
public:
    FakeFleet(uint64_t seed, Counts& counts)
        : m_random(seed)
        , m_counts(counts)
    {
        schema::BootstrapSettings settings;
        settings.set_operator_key_id("root");
        settings.add_schemes("first");
        m_state = std::make_unique<FleetState>(settings, FleetLimits {});
        for (const auto& [name, n] : s_dataCentres)
            for (int i = 0; i < n; ++i)
                addInstance(name, name + std::to_string(i));
        startStateLeader();
        m_digests[m_state->revision()] = m_state->digest();
    }

    virtual ~FakeFleet() = default;
    FakeFleet(const FakeFleet&) = delete;
    FakeFleet& operator=(const FakeFleet&) = delete;

protected:
    virtual void onAnswer(const schema::ProposeAnswer&) = 0;
    virtual void onAnswerSent(const schema::ProposeAnswer&) = 0;
    virtual void onCommitted(const schema::Command&, const schema::CommandResult&) = 0;

    // Starts and ends work of the data centre and returns its needs.
    virtual std::vector<TeamNeed> useLimits(const Instance&, DataCentre&) = 0;

    // Advances the simulation by one time step.
    void step()
    {
        m_time += s_step;
        if (m_time < s_faultyTime)
            injectFaults();
        else if (m_time - s_step < s_faultyTime)
            healAll();
        commitLog();
        deliver();
        elect();
        for (auto& it : m_instances)
            runInstance(it);
        if (m_service)
            m_service->onTick(stateNow());
        executeServiceActions();
    }

    bool isLeading(const Instance& it) const { return it.leads != 0 && it.clock.at(m_time) < it.leadershipEnd; }

    bool serves(const Instance& it) const
    {
        const Instant now = it.clock.at(m_time);
        if (it.pausedUntil > m_time)
            return false;
        return it.leads != 0 ? isLeading(it) && it.session->mayServe(now) : it.member->mayServe(now);
    }

    void send(Message message)
    {
        if (isCut(message)) {
            ++m_counts["messages cut off"];
            return;
        }
        if (m_lossy && m_random.chance(0.03)) {
            ++m_counts["messages dropped"];
            return;
        }
        message.at = m_time + Duration(1'000 + m_random.below(5'000));
        if (m_lossy && m_random.chance(0.02)) {
            message.at += Duration(m_random.below(3'000'000));
            ++m_counts["messages delayed"];
        }
        if (m_lossy && m_random.chance(0.02)) {
            Message duplicate = message;
            duplicate.at += Duration(m_random.below(2'000'000));
            m_messages.push_back(std::move(duplicate));
            ++m_counts["messages repeated"];
        }
        m_messages.push_back(std::move(message));
    }

private:
    void addInstance(const std::string& dataCentre, const std::string& name)
    {
        Instance it;
        it.name = name;
        it.dataCentre = dataCentre;
        it.clock = newClock();
        m_dataCentres[dataCentre].instances.push_back(m_instances.size());
        m_instances.push_back(std::move(it));
        restart(m_instances.back());
    }

    LocalClock newClock()
    {
        return { Duration(1'000'000'000 + m_random.below(1'000'000'000)), 0.9995 + 0.001 * m_random.unit() };
    }

    // Replaces the instance by a new process without any state.
    void restart(Instance& it)
    {
        FleetSessionOptions options;
        options.dataCentre = it.dataCentre;
        for (const auto& [name, n] : s_dataCentres)
            for (int i = 0; name == it.dataCentre && i < n; ++i)
                if (name + std::to_string(i) != it.name)
                    options.members.push_back(name + std::to_string(i));
        MemberSessionOptions memberOptions;
        memberOptions.dataCentre = it.dataCentre;
        memberOptions.firstSequence = m_incarnation++ << 20U;
        it.leads = 0;
        it.jobs.clear();
        it.view = std::make_unique<ConfigView>();
        it.session = std::make_unique<FleetSession>(std::move(options), *it.view);
        it.member = std::make_unique<MemberSession>(std::move(memberOptions), *it.view);
    }

    Instant stateNow() const { return m_stateClock.at(m_time); }

    void startStateLeader()
    {
        m_stateClock = newClock();
        FleetServiceOptions options;
        for (const auto& [name, n] : s_dataCentres)
            options.dataCentres.push_back(name);
        options.authority = s_authority;
        options.firstTicket = m_incarnation++ << 20U;
        m_service = std::make_unique<FleetService>(std::move(options), *m_state);
        m_service->onLeadership(true, stateNow());
    }

    // Commits a random prefix of the proposed commands; the rest is lost.
    void stopStateLeader()
    {
        const uint64_t committed = m_random.below(m_log.size() + 1);
        for (uint64_t i = 0; i < committed; ++i)
            applyNext(false);
        m_log.clear();
        m_service.reset();
        m_stateDownUntil = m_time + Duration(m_random.below(2'000'000));
        const std::string bytes = m_state->snapshot();
        require(static_cast<bool>(m_state->restore(bytes)) && m_state->snapshot().size() == bytes.size(),
            "a restored state has the same snapshot size");
        ++m_counts["state leaders lost"];
    }

    void injectFaults()
    {
        if (m_service && m_random.chance(0.002))
            stopStateLeader();
        if (!m_service && m_time >= m_stateDownUntil)
            startStateLeader();
        for (auto& it : m_instances) {
            if (m_random.chance(0.0005)) {
                it.pausedUntil = m_time + Duration(m_random.below(6'000'000));
                ++m_counts["pauses"];
            }
            if (m_random.chance(0.0005)) {
                it.isolatedUntil = m_time + Duration(m_random.below(8'000'000));
                ++m_counts["instances isolated"];
            }
            if (m_random.chance(0.0003)) {
                restart(it);
                ++m_counts["restarts"];
            }
        }
        for (auto& [name, it] : m_dataCentres) {
            if (m_random.chance(0.001)) {
                it.cutUntil = m_time + Duration(m_random.below(12'000'000));
                ++m_counts["data centres cut off"];
            }
            if (m_random.chance(0.0005))
                handOver(it);
        }
    }

    void healAll()
    {
        if (!m_service)
            startStateLeader();
        for (auto& it : m_instances)
            it.pausedUntil = it.isolatedUntil = m_time;
        for (auto& [name, it] : m_dataCentres)
            it.cutUntil = m_time;
        m_lossy = false;
    }

    // ---- Leadership of data centres

    void handOver(DataCentre& it)
    {
        Instance& previous = m_instances[it.leader];
        if (previous.pausedUntil > m_time || !isLeading(previous))
            return;
        stepDown(previous);
        it.leadershipEnd = m_time;
        ++m_counts["leaderships handed over"];
    }

    void stepDown(Instance& it)
    {
        it.leads = 0;
        it.session->onLostLeadership();
        it.member->onLeaderChanged(it.clock.at(m_time));
    }

    void elect()
    {
        for (auto& [name, it] : m_dataCentres) {
            Instance& leader = m_instances[it.leader];
            const bool healthy = leader.pausedUntil <= m_time && leader.isolatedUntil <= m_time;
            if (healthy && leader.leads == it.epoch && isLeading(leader)) {
                it.leadershipEnd = m_time + s_leadership + 5ms;
                leader.leadershipEnd = leader.clock.at(m_time) + s_leadership;
            } else if (m_time >= it.leadershipEnd) {
                electOne(it);
            }
        }
    }

    void electOne(DataCentre& it)
    {
        const size_t next = it.instances[m_random.below(it.instances.size())];
        Instance& leader = m_instances[next];
        if (leader.pausedUntil > m_time || leader.isolatedUntil > m_time)
            return;
        if (leader.leads != 0)
            stepDown(leader);
        const Instant now = leader.clock.at(m_time);
        it.leader = next;
        it.leadershipEnd = m_time + s_leadership + 5ms;
        leader.leads = ++it.epoch;
        leader.leadershipEnd = now + s_leadership;
        leader.jobs.clear();
        const auto inherited = leader.member->inheritableAuthority(now);
        m_counts["authority inherited"] += inherited.has_value() ? 1 : 0;
        leader.member->onBecameLeader();
        leader.session->onBecameLeader(it.epoch, inherited, now);
        for (const size_t i : it.instances)
            if (i != next && m_instances[i].pausedUntil <= m_time && m_instances[i].leads == 0)
                m_instances[i].member->onLeaderChanged(m_instances[i].clock.at(m_time));
        ++m_counts["leaders elected"];
    }

    // ---- Network

    bool isCut(const std::string& name) const
    {
        const auto it = std::find_if(
            m_instances.begin(), m_instances.end(), [&](const Instance& other) { return other.name == name; });
        return it != m_instances.end() && it->isolatedUntil > m_time;
    }

    bool isCut(const Message& message) const
    {
        if (isCut(message.from) || isCut(message.to))
            return true;
        for (const auto& [name, it] : m_dataCentres) {
            const bool toState = message.to == "state" && message.from.substr(0, 1) == name;
            const bool fromState = message.from == "state" && message.to.substr(0, 1) == name;
            if ((toState || fromState) && it.cutUntil > m_time)
                return true;
        }
        return false;
    }

    void deliver()
    {
        std::vector<Message> later;
        for (auto& it : std::exchange(m_messages, {})) {
            if (it.at > m_time || (it.to != "state" && it.to != "proposer" && instance(it.to).pausedUntil > m_time))
                later.push_back(std::move(it));
            else if (isCut(it))
                ++m_counts["messages cut off"];
            else
                receive(it);
        }
        m_messages.insert(m_messages.end(), later.begin(), later.end());
    }

    Instance& instance(const std::string& name)
    {
        return *std::find_if(
            m_instances.begin(), m_instances.end(), [&](const Instance& it) { return it.name == name; });
    }

    void receive(const Message& it)
    {
        if (it.to == "state") {
            if (!m_service)
                return;
            if (const auto* renew = std::get_if<schema::SessionRenew>(&it.body))
                m_service->onRenew(it.from, *renew, stateNow());
            else if (const auto* propose = std::get_if<schema::Propose>(&it.body))
                m_service->onPropose(it.from, *propose, stateNow());
            return;
        }
        if (it.to == "proposer")
            return onAnswer(std::get<schema::ProposeAnswer>(it.body));
        Instance& to = instance(it.to);
        const Instant now = to.clock.at(m_time);
        if (to.leads != 0 && !isLeading(to))
            stepDown(to);
        if (const auto* grant = std::get_if<schema::SessionGrant>(&it.body); grant != nullptr && to.leads != 0)
            to.session->onGrant(*grant, now);
        else if (const auto* renew = std::get_if<schema::MemberRenew>(&it.body); renew != nullptr && to.leads != 0)
            to.session->onMemberRenew(it.from, *renew, now);
        else if (const auto* update = std::get_if<schema::MemberUpdate>(&it.body))
            to.member->onUpdate(*update, now);
    }

    // ---- Processes

    void runInstance(Instance& it)
    {
        if (it.pausedUntil > m_time)
            return;
        if (it.leads != 0 && !isLeading(it))
            stepDown(it);
        const Instant now = it.clock.at(m_time);
        if (it.leads != 0) {
            it.session->setNeeds(useLimits(it, m_dataCentres[it.dataCentre]), now);
            it.session->onTick(now);
        } else {
            it.member->onTick(now);
        }
        for (auto& action : it.session->takeActions())
            execute(it, action);
        for (auto& action : it.member->takeActions())
            execute(it, action);
    }

    void execute(Instance& it, SessionAction& action)
    {
        if (auto* renew = std::get_if<SendSessionRenew>(&action)) {
            if (it.leads != 0)
                send({ {}, it.name, "state", std::move(renew->renew) });
        } else if (auto* update = std::get_if<SendMemberUpdate>(&action)) {
            if (it.leads != 0)
                send({ {}, it.name, update->to, std::move(update->update) });
        } else if (auto* memberRenew = std::get_if<SendMemberRenew>(&action)) {
            const Instance& leader = m_instances[m_dataCentres[it.dataCentre].leader];
            if (leader.name != it.name)
                send({ {}, it.name, leader.name, std::move(memberRenew->renew) });
        } else if (auto* jobs = std::get_if<JobsChanged>(&action)) {
            if (jobs->replacesAll)
                it.jobs.clear();
            for (const auto& job : jobs->jobs)
                if (job.data_centre() == it.dataCentre)
                    it.jobs[job.id()] = job;
                else
                    it.jobs.erase(job.id());
        }
    }

    void executeServiceActions()
    {
        if (!m_service)
            return;
        for (auto& action : m_service->takeActions()) {
            if (auto* grant = std::get_if<SendGrant>(&action)) {
                send({ {}, "state", grant->to, std::move(grant->grant) });
            } else if (auto* answer = std::get_if<SendAnswer>(&action)) {
                onAnswerSent(answer->answer);
                send({ {}, "state", answer->to, std::move(answer->answer) });
            } else if (auto* proposal = std::get_if<ProposeCommand>(&action)) {
                proposal->command.set_wall_ms(static_cast<uint64_t>(m_time.count() / 1'000));
                m_log.emplace_back(m_time + Duration(1'000 + m_random.below(10'000)), std::move(*proposal));
            }
        }
    }

    void commitLog()
    {
        while (!m_log.empty() && m_log.front().first <= m_time)
            applyNext(true);
    }

    void applyNext(bool notifyService)
    {
        const ProposeCommand next = std::move(m_log.front().second);
        m_log.pop_front();
        const schema::CommandResult result = m_state->apply(next.command);
        m_digests[m_state->revision()] = m_state->digest();
        onCommitted(next.command, result);
        if (next.command.has_portions())
            ++m_counts["portion updates"];
        if (notifyService)
            m_service->onApplied(next.ticket, next.command, result, stateNow());
    }

    bool m_lossy = true;
    std::unique_ptr<FleetService> m_service;
    LocalClock m_stateClock;
    Duration m_stateDownUntil { 0 };
    std::deque<std::pair<Duration, ProposeCommand>> m_log;
    uint64_t m_incarnation = 1;

protected:
    Random m_random;
    Counts& m_counts;
    Duration m_time { 0 };
    std::unique_ptr<FleetState> m_state;
    std::vector<Instance> m_instances;
    std::map<std::string, DataCentre> m_dataCentres;
    std::vector<Message> m_messages;
    std::map<Revision, uint64_t> m_digests;
};

} // namespace teasel

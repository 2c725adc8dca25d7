// Distribution of configuration: the time until a change is in force, and its cost in messages, bytes and CPU time.
// Network and log latencies are simulated; CPU time is measured.
// Prints one line `config METRIC VALUE UNIT BOUND held|short` per metric.
#include "core/random.h"
#include "fleet/fleet_service.h"
#include "fleet/key_material.h"
#include "fleet/member_session.h"
#include "fleet/session.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace teasel {

namespace {

    using namespace std::chrono_literals;

    struct Sizes {
        std::vector<int> instances; // number of instances per data centre
        int teams = 6;
        int keys = 200;
        Duration link = 1'500us; // one-way network latency
        Duration commit = 6ms; // commit latency of the log, including the disk sync of a majority
        Duration tick = 10ms; // tick interval of the daemons' control threads
    };

    struct Traffic {
        uint64_t messages = 0;
        uint64_t bytes = 0;
    };

    struct Instance {
        std::string name;
        std::string dataCentre;
        bool leads = false;
        ConfigView view;
        std::unique_ptr<FleetSession> session;
        std::unique_ptr<MemberSession> member;
    };

    struct Change {
        Duration proposedAt { 0 };
        Revision revision = 0;
        std::string revokedKey; // id; empty if the change grants a key
        Duration inForce { 0 };
        Duration accepted { 0 };
    };

    class Cluster {
    public:
        explicit Cluster(const Sizes& sizes)
            : m_sizes(sizes)
        {
            schema::BootstrapSettings settings;
            settings.set_operator_key_id("root");
            m_state = std::make_unique<FleetState>(settings, FleetLimits {});
            FleetServiceOptions options;
            for (size_t i = 0; i < sizes.instances.size(); ++i) {
                options.dataCentres.push_back(fmt::format("dc{}", i));
                for (int n = 0; n < sizes.instances[i]; ++n)
                    addInstance(options.dataCentres.back(), n);
            }
            fill();
            m_service = std::make_unique<FleetService>(std::move(options), *m_state);
            m_service->onLeadership(true, now());
            for (auto& it : m_instances)
                start(*it);
        }

        // Runs for the given time with `rate` changes per second.
        void run(Duration length, int rate)
        {
            const Duration end = m_time + length;
            const Duration gap = rate == 0 ? Duration::max() : Duration(1s) / rate;
            Duration next = rate == 0 ? Duration::max() : m_time;
            while (m_time < end) {
                m_time += s_step;
                if (m_time >= next) {
                    next += gap;
                    proposeChange();
                }
                step();
            }
        }

        void clearTraffic() { m_traffic.clear(); }
        Traffic traffic(const std::string& role) { return m_traffic[role]; }
        const std::vector<Change>& changes() const { return m_changes; }
        uint64_t leaders() const { return m_sizes.instances.size(); }
        uint64_t members() const { return m_instances.size() - leaders(); }

    private:
        static constexpr Duration s_step = 250us;

        void addInstance(const std::string& dataCentre, int n)
        {
            auto it = std::make_unique<Instance>();
            it->name = fmt::format("{}-{}", dataCentre, n);
            it->dataCentre = dataCentre;
            it->leads = n == 0;
            m_leaders.try_emplace(dataCentre, it->name);
            m_instances.push_back(std::move(it));
        }

        void fill()
        {
            for (int i = 0; i < m_sizes.teams; ++i) {
                schema::ConfigEdit edit;
                edit.mutable_put_team()->set_name(fmt::format("team{}", i));
                edit.mutable_put_team()->set_share(1);
                edit.mutable_put_team()->set_request_limit(400);
                m_state->apply(commandOf(std::move(edit)));
            }
            for (int i = 0; i < m_sizes.keys; ++i)
                m_state->apply(commandOf(grantOf(fmt::format("key{}", m_lastKey++))));
        }

        static schema::ConfigEdit grantOf(const std::string& id)
        {
            schema::ConfigEdit edit;
            edit.mutable_grant_key()->set_id(id);
            edit.mutable_grant_key()->set_team_id(1);
            edit.mutable_grant_key()->set_role(schema::ROLE_SUBMITTER);
            edit.mutable_grant_key()->set_salt(std::string(16, 's'));
            edit.mutable_grant_key()->set_hash(std::string(32, 'h'));
            return edit;
        }

        schema::Command commandOf(schema::ConfigEdit edit)
        {
            schema::Command command;
            command.mutable_config_change()->set_change_id(fmt::format("c{}", ++m_lastChange));
            command.mutable_config_change()->set_made_by("root");
            *command.mutable_config_change()->add_edits() = std::move(edit);
            return command;
        }

        void start(Instance& it)
        {
            FleetSessionOptions options;
            options.dataCentre = it.dataCentre;
            for (const auto& other : m_instances)
                if (other->dataCentre == it.dataCentre && other->name != it.name)
                    options.members.push_back(other->name);
            it.session = std::make_unique<FleetSession>(std::move(options), it.view);
            it.member = std::make_unique<MemberSession>(MemberSessionOptions { it.dataCentre }, it.view);
            if (it.leads) {
                it.member->onBecameLeader();
                it.session->onBecameLeader(1, {}, now());
            } else {
                it.member->onLeaderChanged(now());
            }
        }

        Instant now() const { return Instant(std::chrono::seconds(1'000) + m_time); }

        // Grants and revokes keys alternately.
        void proposeChange()
        {
            Change change;
            change.proposedAt = m_time;
            schema::ConfigEdit edit;
            if (m_changes.size() % 2 == 0) {
                edit = grantOf(fmt::format("key{}", m_lastKey++));
            } else {
                change.revokedKey = fmt::format("key{}", m_lastKey - 1);
                edit.set_withdraw_key(change.revokedKey);
            }
            schema::Envelope envelope;
            auto& propose = *envelope.mutable_propose();
            propose.set_ticket(m_changes.size());
            *propose.mutable_command() = commandOf(std::move(edit));
            propose.set_wait_in_force(true);
            propose.set_wait_ms(10'000);
            m_changes.push_back(std::move(change));
            send("operator", "operator", "state", std::move(envelope));
        }

        void send(const std::string& role, const std::string& from, const std::string& to, schema::Envelope envelope)
        {
            envelope.set_from(from);
            envelope.set_incarnation(1'700'000'000'000);
            Traffic& traffic = m_traffic[role];
            ++traffic.messages;
            traffic.bytes += envelope.ByteSizeLong();
            m_messages.emplace_back(m_time + m_sizes.link, to, std::move(envelope));
        }

        void step()
        {
            while (!m_log.empty() && m_log.front().first <= m_time) {
                const ProposeCommand next = std::move(m_log.front().second);
                m_log.pop_front();
                const auto result = m_state->apply(next.command);
                if (next.command.has_config_change())
                    recordCommitted(next.command.config_change(), result.change().revision());
                m_service->onApplied(next.ticket, next.command, result, now());
            }
            while (!m_messages.empty() && std::get<0>(m_messages.front()) <= m_time) {
                const auto [at, to, envelope] = std::move(m_messages.front());
                m_messages.pop_front();
                receive(to, envelope);
            }
            if (m_time.count() % m_sizes.tick.count() == 0)
                tick();
            recordInForce();
        }

        void tick()
        {
            m_service->onTick(now());
            for (auto& it : m_instances) {
                if (it->leads)
                    it->session->onTick(now());
                else
                    it->member->onTick(now());
                executeActions(*it);
            }
            executeServiceActions();
        }

        void receive(const std::string& to, const schema::Envelope& envelope)
        {
            if (to == "state") {
                if (envelope.has_session_renew())
                    m_service->onRenew(envelope.from(), envelope.session_renew(), now());
                else
                    m_service->onPropose(envelope.from(), envelope.propose(), now());
                return executeServiceActions();
            }
            if (to == "operator") {
                const auto& answer = envelope.propose_answer();
                if (answer.result().change().state() == schema::CHANGE_STATE_ACCEPTED)
                    m_changes[answer.ticket()].accepted = m_time;
                return;
            }
            for (auto& it : m_instances) {
                if (it->name != to)
                    continue;
                if (envelope.has_session_grant())
                    it->session->onGrant(envelope.session_grant(), now());
                else if (envelope.has_member_renew())
                    it->session->onMemberRenew(envelope.from(), envelope.member_renew(), now());
                else if (envelope.has_member_update())
                    it->member->onUpdate(envelope.member_update(), now());
                executeActions(*it);
            }
        }

        void executeActions(Instance& it)
        {
            auto actions = it.leads ? it.session->takeActions() : it.member->takeActions();
            for (auto& action : actions) {
                schema::Envelope envelope;
                if (auto* renew = std::get_if<SendSessionRenew>(&action)) {
                    *envelope.mutable_session_renew() = std::move(renew->renew);
                    send("leader", it.name, "state", std::move(envelope));
                } else if (auto* update = std::get_if<SendMemberUpdate>(&action)) {
                    *envelope.mutable_member_update() = std::move(update->update);
                    send("leader", it.name, update->to, std::move(envelope));
                } else if (auto* memberRenew = std::get_if<SendMemberRenew>(&action)) {
                    *envelope.mutable_member_renew() = std::move(memberRenew->renew);
                    send("member", it.name, m_leaders[it.dataCentre], std::move(envelope));
                }
            }
        }

        void executeServiceActions()
        {
            for (auto& action : m_service->takeActions()) {
                schema::Envelope envelope;
                if (auto* grant = std::get_if<SendGrant>(&action)) {
                    *envelope.mutable_session_grant() = std::move(grant->grant);
                    send("state", "state", grant->to, std::move(envelope));
                } else if (auto* answer = std::get_if<SendAnswer>(&action)) {
                    *envelope.mutable_propose_answer() = std::move(answer->answer);
                    send("answer", "state", answer->to, std::move(envelope));
                } else if (auto* proposal = std::get_if<ProposeCommand>(&action)) {
                    Traffic& traffic = m_traffic["log"];
                    ++traffic.messages;
                    traffic.bytes += proposal->command.ByteSizeLong();
                    m_log.emplace_back(m_time + m_sizes.commit, std::move(*proposal));
                }
            }
        }

        void recordCommitted(const schema::ConfigChange& change, Revision revision)
        {
            const size_t first = m_lastChange - m_changes.size();
            const size_t number = std::stoul(change.change_id().substr(1)) - first - 1;
            m_changes[number].revision = revision;
        }

        void recordInForce()
        {
            Revision everywhere = m_state->revision();
            for (const auto& it : m_instances)
                everywhere = std::min(everywhere, it->view.revision());
            for (; m_firstNotInForce < m_changes.size(); ++m_firstNotInForce) {
                Change& it = m_changes[m_firstNotInForce];
                if (it.revision == 0 || it.revision > everywhere)
                    return;
                it.inForce = m_time;
            }
        }

        Sizes m_sizes;
        Duration m_time { 0 };
        std::unique_ptr<FleetState> m_state;
        std::unique_ptr<FleetService> m_service;
        std::vector<std::unique_ptr<Instance>> m_instances;
        std::map<std::string, std::string> m_leaders;
        std::deque<std::tuple<Duration, std::string, schema::Envelope>> m_messages;
        std::deque<std::pair<Duration, ProposeCommand>> m_log;
        std::map<std::string, Traffic> m_traffic; // sent traffic by role
        std::vector<Change> m_changes;
        size_t m_firstNotInForce = 0;
        uint64_t m_lastChange = 0;
        uint64_t m_lastKey = 0;
    };

    bool s_allBoundsHeld = true;

    void print(const std::string& metric, double value, const char* unit, double bound, bool atLeast = false)
    {
        const bool held = atLeast ? value >= bound : value <= bound;
        s_allBoundsHeld &= held;
        fmt::print("config {} {:.3f} {} {:g} {}\n", metric, value, unit, bound, held ? "held" : "short");
    }

    double milliseconds(Duration it) { return static_cast<double>(it.count()) / 1'000; }

    double percentile(std::vector<double> values, double fraction)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
    }

    void printTimes(const std::string& size, const std::vector<Change>& changes, Duration length)
    {
        std::vector<double> inForce;
        std::vector<double> refused;
        std::vector<double> accepted;
        for (const auto& it : changes) {
            if (it.inForce.count() > 0)
                inForce.push_back(milliseconds(it.inForce - it.proposedAt));
            if (it.inForce.count() > 0 && !it.revokedKey.empty())
                refused.push_back(milliseconds(it.inForce - it.proposedAt));
            if (it.accepted.count() > 0)
                accepted.push_back(milliseconds(it.accepted - it.proposedAt));
        }
        print(size + ".in_force_everywhere_p50", percentile(inForce, 0.5), "ms", 1'000);
        print(size + ".in_force_everywhere_p99", percentile(inForce, 0.99), "ms", 1'000);
        print(size + ".withdrawn_key_refused_p99", percentile(refused, 0.99), "ms", 2'000);
        print(size + ".accepted_answer_p99", percentile(accepted, 0.99), "ms", 1'000);
        const double seconds = milliseconds(length) / 1'000;
        print(size + ".changes_accepted", static_cast<double>(accepted.size()) / seconds, "1/s", 19.9, true);
    }

    struct Bounds {
        double idleStateBytes = 0; // per second and data centre
        double idleLeaderBytes = 0; // per second and leader
        double idleMemberBytes = 0; // per second and member
        double changeStateBytes = 0; // per change and data centre
        double changeLeaderBytes = 0; // per change and leader
        double changeMemberBytes = 0; // per change and member
        double changeLogBytes = 0;
        double changeMessages = 0; // per change and data centre, all roles
    };

    void measure(const std::string& size, const Sizes& sizes, const Bounds& bounds)
    {
        constexpr Duration length = 30s;
        constexpr int rate = 20;
        const double seconds = milliseconds(length) / 1'000;
        Cluster cluster(sizes);
        cluster.run(5s, 0);
        cluster.clearTraffic();
        cluster.run(length, 0);
        std::map<std::string, Traffic> idle;
        for (const char* role : { "state", "leader", "member", "log" })
            idle[role] = cluster.traffic(role);
        const auto leaders = static_cast<double>(cluster.leaders());
        const auto members = static_cast<double>(std::max<uint64_t>(1, cluster.members()));
        const auto idleBytes
            = [&](const char* role, double n) { return static_cast<double>(idle[role].bytes) / seconds / n; };
        print(size + ".idle_bytes_per_data_centre.state", idleBytes("state", leaders), "B/s", bounds.idleStateBytes);
        print(size + ".idle_bytes_per_leader", idleBytes("leader", leaders), "B/s", bounds.idleLeaderBytes);
        print(size + ".idle_bytes_per_member", idleBytes("member", members), "B/s", bounds.idleMemberBytes);
        print(size + ".idle_messages",
            static_cast<double>(idle["state"].messages + idle["leader"].messages + idle["member"].messages) / seconds
                / leaders,
            "1/s", 35);
        print(size + ".idle_log_bytes", idleBytes("log", 1), "B/s", 0);

        cluster.clearTraffic();
        const auto cpuBefore = std::clock();
        cluster.run(length, rate);
        const double cpu = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
        cluster.run(2s, 0);
        const double n = seconds * rate;
        const double busy = seconds + 2;
        const auto extra = [&](const char* role, auto field, double per) {
            const double quiet = static_cast<double>(idle[role].*field) / seconds * busy;
            return (static_cast<double>(cluster.traffic(role).*field) - quiet) / n / per;
        };
        printTimes(size, cluster.changes(), length);
        print(size + ".change_bytes_per_data_centre.state", extra("state", &Traffic::bytes, leaders), "B",
            bounds.changeStateBytes);
        print(size + ".change_bytes_per_leader", extra("leader", &Traffic::bytes, leaders), "B",
            bounds.changeLeaderBytes);
        print(size + ".change_bytes_per_member", extra("member", &Traffic::bytes, members), "B",
            bounds.changeMemberBytes);
        print(size + ".change_log_bytes", extra("log", &Traffic::bytes, 1), "B", bounds.changeLogBytes);
        const double messages = extra("state", &Traffic::messages, leaders)
            + extra("leader", &Traffic::messages, leaders) + extra("member", &Traffic::messages, leaders);
        print(size + ".change_messages_per_data_centre", messages, "messages", bounds.changeMessages);
        print(size + ".cpu_per_change_all_roles", cpu / n * 1e6, "us", 2'000);
    }

    // Measures the CPU time of edits and key lookups with a given number of keys.
    void measureState(int keys)
    {
        const auto keyMaterial = valueOrError([] { return makeKey("mine"); });
        schema::BootstrapSettings settings;
        settings.set_operator_key_id("root");
        FleetState state(settings, FleetLimits {});
        const auto change = [&](int i, schema::ConfigEdit edit) {
            schema::Command command;
            command.mutable_config_change()->set_change_id(std::to_string(i));
            command.mutable_config_change()->set_made_by("root");
            *command.mutable_config_change()->add_edits() = std::move(edit);
            state.apply(command);
        };
        const auto seconds = [](auto&& operation) {
            const auto before = std::clock();
            operation();
            return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        };
        const double grantSeconds = seconds([&] {
            for (int i = 0; i < keys; ++i) {
                schema::ConfigEdit edit;
                *edit.mutable_grant_key() = std::get<0>(keyMaterial).stored;
                edit.mutable_grant_key()->set_id(i == 0 ? "mine" : fmt::format("key{}", i));
                edit.mutable_grant_key()->set_role(schema::ROLE_VIEWER);
                change(i, std::move(edit));
            }
        });
        constexpr int revocations = 200;
        const double revokeSeconds = seconds([&] {
            for (int i = 1; i <= revocations; ++i) {
                schema::ConfigEdit edit;
                edit.set_withdraw_key(fmt::format("key{}", i));
                change(keys + i, std::move(edit));
            }
        });
        ConfigView view;
        const bool isApplied = valueOrError([&] { return view.apply(state.deltaSince(0)); }).index() == 0;
        constexpr int lookups = 20'000;
        int found = 0;
        const double lookupSeconds = seconds([&] {
            for (int i = 0; i < lookups; ++i)
                found
                    += valueOrError([&] { return view.identify(std::get<0>(keyMaterial).token); }).index() == 0 ? 1 : 0;
        });
        const std::string size = fmt::format("{}_keys", keys);
        print(size + ".grant_applied", grantSeconds / keys * 1e6, "us", 100);
        print(size + ".withdrawal_applied", revokeSeconds / revocations * 1e6, "us", 2'000);
        print(size + ".key_identified", lookupSeconds / lookups * 1e6, "us", 10);
        print(size + ".keys_found", isApplied ? static_cast<double>(found) / lookups : 0, "part", 1, true);
    }

    int runAll()
    {
        Sizes fourDataCentres;
        fourDataCentres.instances = { 3, 2, 2, 2 };
        Sizes thirteenDataCentres;
        thirteenDataCentres.instances.assign(13, 3);
        const Bounds bounds { 180, 750, 200, 160, 450, 45, 80, 10 };
        measure("4_data_centres", fourDataCentres, bounds);
        measure("13_data_centres", thirteenDataCentres, bounds);
        measureState(1'000);
        measureState(10'000);
        return s_allBoundsHeld ? 0 : 1;
    }

} // namespace

} // namespace teasel

int main() { return teasel::runAll(); }

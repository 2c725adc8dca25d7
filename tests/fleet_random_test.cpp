// Long seeded runs over a simulated fleet: concurrent and resent operator changes, requests that must begin only once,
// jobs that move between data centres, and use of the teams' limits. TEASEL_SEEDS and TEASEL_FIRST_SEED select the
// seeds.
#include "fleet_random_world.h"

#include <doctest/doctest.h>

#include <limits>

namespace teasel {

namespace {

    constexpr int s_requestIds = 40;
    constexpr uint64_t s_firstLimit = 100; // higher than the limit of any new team

    // A proposal that is resent until it is answered.
    struct Proposal {
        schema::Propose message;
        Duration nextSend { 0 };
        int resendsLeft = 0; // resends after the first answer, to compare the answers
        std::vector<schema::CommandResult> answers;
        bool done = false;
    };

    class World : public FakeFleet {
    public:
        World(uint64_t seed, Counts& counts)
            : FakeFleet(seed, counts)
        {
            for (int i = 0; i < 3; ++i)
                proposeTeam(fmt::format("team{}", i), 40 + m_random.below(s_firstLimit - 40));
        }

        void run()
        {
            while (m_time < s_faultyTime + s_quietTime) {
                step();
                proposeWork();
                check();
            }
            checkEnd();
        }

    private:
        // Work may end at any time, even without a leader. It starts only within the leader's cap.
        std::vector<TeamNeed> useLimits(const Instance& it, DataCentre& dataCentre) override
        {
            std::vector<TeamNeed> needs;
            for (const auto& team : m_state->config().teams()) {
                auto& [inUse, wanted] = dataCentre.use[team.id()];
                if (m_random.chance(0.01))
                    wanted = m_random.below(60);
                while (inUse > 0 && m_random.chance(0.1))
                    --inUse;
                const uint64_t cap = it.session->cap(team.id())[0];
                const uint64_t target = std::min(wanted, cap);
                if (inUse < target) {
                    m_counts["work started"] += target - inUse;
                    inUse = target;
                }
                needs.push_back({ team.id(), { { inUse, 0, 0, 0 } }, { { std::max(inUse, wanted), 0, 0, 0 } } });
            }
            return needs;
        }

        void proposeWork()
        {
            if (m_time < s_faultyTime && m_random.chance(0.03))
                proposeChange();
            if (m_time < s_faultyTime && m_random.chance(0.03))
                proposeBegin();
            if (m_time < s_faultyTime && m_random.chance(0.02))
                proposeJob();
            std::erase_if(m_open, [&](uint64_t ticket) { return m_proposals[ticket].done; });
            for (const uint64_t ticket : m_open) {
                Proposal& it = m_proposals[ticket];
                if (m_time < it.nextSend)
                    continue;
                m_counts["proposals sent again"] += it.nextSend.count() > 0 ? 1 : 0;
                it.nextSend = m_time + 500ms + Duration(m_random.below(1'000'000));
                send({ {}, "proposer", "state", it.message });
            }
        }

        Proposal& propose(schema::Command command)
        {
            Proposal& it = m_proposals[++m_lastTicket];
            it.message.set_ticket(m_lastTicket);
            m_open.insert(m_lastTicket);
            *it.message.mutable_command() = std::move(command);
            it.resendsLeft = static_cast<int>(m_random.below(3));
            return it;
        }

        void proposeEdit(schema::ConfigEdit edit, Revision base)
        {
            schema::Command command;
            auto& change = *command.mutable_config_change();
            change.set_change_id(fmt::format("change{}", m_lastTicket + 1));
            change.set_made_by("root");
            change.set_base_revision(base);
            *change.add_edits() = std::move(edit);
            Proposal& it = propose(std::move(command));
            it.message.set_wait_in_force(m_random.chance(0.7));
            it.message.set_wait_ms(m_random.below(3'000));
        }

        void proposeTeam(const std::string& name, uint64_t limit)
        {
            schema::ConfigEdit edit;
            edit.mutable_put_team()->set_name(name);
            edit.mutable_put_team()->set_share(1);
            edit.mutable_put_team()->set_request_limit(static_cast<uint32_t>(limit));
            proposeEdit(std::move(edit), 0);
        }

        schema::ConfigEdit randomEdit()
        {
            schema::ConfigEdit edit;
            const auto& config = m_state->config();
            const auto kind = m_random.below(3);
            if (kind == 0 && config.keys_size() > 1) {
                edit.set_withdraw_key(config.keys(1 + static_cast<int>(m_random.below(config.keys_size() - 1))).id());
            } else if (kind == 1 && config.teams_size() > 0) {
                *edit.mutable_put_team() = config.teams(static_cast<int>(m_random.below(config.teams_size())));
                edit.mutable_put_team()->set_request_limit(static_cast<uint32_t>(m_random.below(100)));
            } else {
                auto& key = *edit.mutable_grant_key();
                key.set_id(fmt::format("key{}", m_random.below(1'000'000)));
                key.set_role(schema::ROLE_VIEWER);
                key.set_salt("salt");
                key.set_hash(std::string(32, 'h'));
            }
            return edit;
        }

        // Proposes one change, or several concurrent changes based on the same revision.
        void proposeChange()
        {
            const auto n = 1 + m_random.below(3);
            const Revision base = n > 1 || m_random.chance(0.5) ? m_state->revision() : 0;
            for (uint64_t i = 0; i < n; ++i)
                proposeEdit(randomEdit(), base);
        }

        void proposeBegin()
        {
            schema::Command command;
            command.mutable_begin()->set_team_id(1);
            command.mutable_begin()->set_request_id(fmt::format("request{}", m_random.below(s_requestIds)));
            command.mutable_begin()->set_attempt(fmt::format("attempt{}", m_lastTicket + 1));
            propose(std::move(command));
        }

        void proposeJob()
        {
            schema::Command command;
            const std::string to = s_dataCentres[m_random.below(s_dataCentres.size())].first;
            const std::string id = fmt::format("job{}", m_random.below(200));
            if (m_state->jobs().find(id) == nullptr) {
                command.mutable_submit_job()->set_id(id);
                command.mutable_submit_job()->set_data_centre(to);
            } else {
                command.mutable_job_progress()->set_id(id);
                if (m_random.chance(0.5))
                    command.mutable_job_progress()->set_move_to_data_centre(to);
                else
                    command.mutable_job_progress()->set_phase(schema::JOB_PHASE_SUCCEEDED);
            }
            propose(std::move(command)).resendsLeft = 0;
        }

        void onAnswer(const schema::ProposeAnswer& answer) override
        {
            Proposal& it = m_proposals.at(answer.ticket());
            if (answer.not_leader() || (it.done && !it.message.command().has_config_change()))
                return;
            const schema::CommandResult& result = answer.result();
            it.answers.push_back(result);
            const schema::Command& command = it.message.command();
            if (command.has_config_change())
                return handleChangeAnswer(it, result.change());
            if (command.has_begin())
                handleBeginAnswer(command.begin(), result.begin());
            it.done = true;
        }

        // An accepted change stays accepted, and a resend gets the first answer.
        void handleChangeAnswer(Proposal& it, const schema::ChangeAnswer& answer)
        {
            const schema::ChangeAnswer& first = it.answers.front().change();
            require((first.state() == schema::CHANGE_STATE_REFUSED) == (answer.state() == schema::CHANGE_STATE_REFUSED)
                    && first.revision() == answer.revision() && first.winning_change_id() == answer.winning_change_id()
                    && std::equal(first.team_ids().begin(), first.team_ids().end(), answer.team_ids().begin(),
                        answer.team_ids().end()),
                fmt::format("resends of {} get equal answers", answer.change_id()));
            const Revision base = it.message.command().config_change().base_revision();
            if (base != 0 && answer.state() != schema::CHANGE_STATE_REFUSED)
                require(m_winners.emplace(base, answer.change_id()).first->second == answer.change_id(),
                    fmt::format("one winner based on revision {}", base));
            const bool raced = answer.failure().kind() == static_cast<uint32_t>(ErrorKind::RevisionConflict);
            if (raced) {
                require(!answer.winning_change_id().empty(), "a losing change names the winner");
                ++m_counts["races lost"];
            }
            if (answer.state() == schema::CHANGE_STATE_PENDING) {
                ++m_counts["answers pending"];
                require(!answer.data_centres_not_reached().empty(), "a pending answer names data centres");
            }
            it.done |= answer.state() != schema::CHANGE_STATE_PENDING && it.resendsLeft-- <= 0;
        }

        // A change counts as accepted when the state's leader sends the answer, not before.
        void recordAccepted(const schema::ChangeAnswer& answer)
        {
            if (answer.state() == schema::CHANGE_STATE_PENDING)
                require(
                    !m_accepted.contains(answer.change_id()), answer.change_id() + " is pending after it was accepted");
            if (answer.state() != schema::CHANGE_STATE_ACCEPTED || !m_accepted.insert(answer.change_id()).second)
                return;
            require(
                m_changeByRevision.emplace(answer.revision(), answer.change_id()).second, "one change per revision");
            m_acceptedRevision = std::max(m_acceptedRevision, answer.revision());
            ++m_counts["changes accepted"];
        }

        void handleBeginAnswer(const schema::BeginRequest& begin, const schema::BeginAnswer& answer)
        {
            auto& active = m_active[begin.request_id()];
            if (answer.verdict() == schema::BEGIN_VERDICT_FINISHED)
                require(m_outcomes[begin.request_id()] == answer.outcome().body(), "a resend gets the first outcome");
            if (answer.verdict() != schema::BEGIN_VERDICT_BEGUN)
                return;
            require(active.empty(), fmt::format("{} begins only once", begin.request_id()));
            ++m_counts["requests begun"];
            schema::Command command;
            auto& finish = *command.mutable_finish();
            finish.set_team_id(begin.team_id());
            finish.set_request_id(begin.request_id());
            finish.set_attempt(begin.attempt());
            finish.set_did_not_run(m_random.chance(0.5));
            if (!finish.did_not_run()) {
                active.insert(begin.attempt());
                finish.set_body("by " + begin.attempt());
                m_outcomes[begin.request_id()] = finish.body();
            }
            propose(std::move(command)).resendsLeft = 0;
        }

        void onAnswerSent(const schema::ProposeAnswer& answer) override { recordAccepted(answer.result().change()); }

        // ---- Checks

        void check()
        {
            for (const auto& it : m_instances) {
                if (!serves(it))
                    continue;
                ++m_counts["instances serving"];
                require(it.view->revision() >= m_acceptedRevision,
                    fmt::format(
                        "{} serves on {} after {} was accepted", it.name, it.view->revision(), m_acceptedRevision));
                require(it.view->digest() == m_digests[it.view->revision()],
                    it.name + " serves the committed configuration");
            }
            for (const auto& team : m_state->config().teams())
                checkUse(team);
        }

        void onCommitted(const schema::Command& command, const schema::CommandResult& result) override
        {
            if (result.change().state() != schema::CHANGE_STATE_PENDING
                || result.change().revision() != m_state->revision())
                return;
            for (const auto& it : command.config_change().edits())
                if (const auto* team = m_state->table().team(it.put_team().id()))
                    m_limits[team->id()][m_state->revision()] = team->request_limit();
        }

        // The highest of the last accepted limit and the limits committed after it.
        uint64_t allowedUse(TeamId team)
        {
            uint64_t allowed = 0;
            auto& limits = m_limits[team];
            for (auto it = limits.end(); it != limits.begin();) {
                --it;
                allowed = std::max(allowed, it->second);
                if (m_changeByRevision.contains(it->first))
                    return allowed;
            }
            return limits.empty() ? std::numeric_limits<uint64_t>::max() : std::max(allowed, s_firstLimit);
        }

        void checkUse(const schema::Team& team)
        {
            m_counts["limits lowered below use"] += m_state->changes().waitingTeams().contains(team.id()) ? 1 : 0;
            const uint64_t allowed = allowedUse(team.id());
            uint64_t total = 0;
            for (const auto& [name, it] : m_dataCentres)
                if (const auto use = it.use.find(team.id()); use != it.use.end())
                    total += use->second.first;
            require(total <= allowed, fmt::format("team {} uses {} of {}", team.id(), total, allowed));
        }

        // After all faults are healed, every instance serves the current state and every proposal is answered.
        void checkEnd()
        {
            for (const auto& it : m_instances) {
                require(serves(it), it.name + " serves after healing");
                require(it.view->revision() == m_state->revision(), it.name + " is up to date");
                if (it.leads == 0)
                    continue;
                for (const auto& [id, job] : m_state->jobs().jobs())
                    require((job.data_centre() == it.dataCentre) == it.jobs.contains(id)
                            && (job.data_centre() != it.dataCentre || it.jobs.at(id).phase() == job.phase()),
                        it.name + " knows its jobs");
            }
            for (const auto& [ticket, it] : m_proposals)
                require(it.done,
                    fmt::format("proposal {} is answered: {}", ticket,
                        it.message.ShortDebugString()
                            + (it.answers.empty() ? "" : it.answers.back().ShortDebugString())));
        }

        std::map<uint64_t, Proposal> m_proposals;
        std::set<uint64_t> m_open; // tickets of unanswered proposals
        uint64_t m_lastTicket = 0;
        std::map<TeamId, std::map<Revision, uint64_t>> m_limits; // committed limits by revision
        std::map<std::string, std::set<std::string>> m_active;
        std::map<std::string, std::string> m_outcomes;
        std::map<Revision, std::string> m_winners; // winning change ids by base revision
        std::set<std::string> m_accepted;
        std::map<Revision, std::string> m_changeByRevision;
        Revision m_acceptedRevision = 0;
    };

    uint64_t fromEnvironment(const char* name, uint64_t fallback)
    {
        const char* text = std::getenv(name);
        return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
    }

} // namespace

TEST_CASE("under faults, accepted changes stay in force, limits are kept and requests begin only once")
{
    const uint64_t first = fromEnvironment("TEASEL_FIRST_SEED", 1);
    const uint64_t n = fromEnvironment("TEASEL_SEEDS", 200);
    auto previous = setInvariantHandler([](std::string_view name, std::string_view seen) {
        throw std::runtime_error(fmt::format("{}: {}", name, seen));
    });
    Counts counts;
    for (const char* it : { "state leaders lost", "pauses", "instances isolated", "restarts", "data centres cut off",
             "leaderships handed over", "leaders elected", "authority inherited", "messages cut off",
             "messages dropped", "messages delayed", "messages repeated", "proposals sent again", "portion updates",
             "work started", "races lost", "answers pending", "changes accepted", "requests begun",
             "limits lowered below use", "instances serving" })
        counts[it] = 0;
    uint64_t failures = 0;
    for (uint64_t seed = first; seed < first + n; ++seed) {
        std::string seen;
        try {
            World(seed, counts).run();
        } catch (const std::runtime_error& it) {
            seen = it.what();
        }
        failures += seen.empty() ? 0 : 1;
        if (!seen.empty() && failures <= 5)
            FAIL_CHECK("TEASEL_SEEDS=1 TEASEL_FIRST_SEED=" << seed << " setarch -R build/fleet_random_test: " << seen);
    }
    setInvariantHandler(std::move(previous));
    CHECK(failures == 0);
    for (const auto& it : counts) {
        MESSAGE(it.first << ": " << it.second);
        CHECK_MESSAGE((it.second > 0 || n < 20), it.first);
    }
}

} // namespace teasel

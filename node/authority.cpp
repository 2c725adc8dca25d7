#include "node/authority.h"

#include <utility>

namespace teasel {

namespace {

    // Outlasts a change of the data centre's leaders, so that the next one inherits what the members hold.
    constexpr Duration memberLease = std::chrono::seconds(3);

    ElectionOptions electionOptions(const AuthorityOptions& options)
    {
        ElectionOptions out;
        out.self = options.instance;
        out.dataCentre = options.dataCentre;
        out.members = options.members;
        out.seed = options.seed;
        return out;
    }

    FleetSessionOptions sessionOptions(const AuthorityOptions& options)
    {
        FleetSessionOptions out;
        out.dataCentre = options.dataCentre;
        for (const auto& it : options.members) {
            if (it != options.instance)
                out.members.push_back(it);
        }
        out.memberLease = memberLease;
        return out;
    }

    MemberSessionOptions memberOptions(const AuthorityOptions& options)
    {
        MemberSessionOptions out;
        out.dataCentre = options.dataCentre;
        out.firstSequence = options.incarnation;
        return out;
    }

} // namespace

Authority::Authority(
    AuthorityOptions options, const Clock& clock, Send send, SendToState sendToState, AuthorityEvents events)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_send(std::move(send))
    , m_sendToState(std::move(sendToState))
    , m_events(std::move(events))
    , m_election(electionOptions(m_options), clock.now())
    , m_session(sessionOptions(m_options), m_config)
    , m_member(memberOptions(m_options), m_config)
{
}

bool Authority::onEnvelope(const schema::Envelope& envelope, bool fromState, Instant now)
{
    switch (envelope.body_case()) {
    case schema::Envelope::kLeadership:
        m_election.onMessage(fromState ? std::string_view {} : envelope.from(), envelope.leadership(), now);
        break;
    case schema::Envelope::kSessionGrant:
        if (m_election.leads(now))
            m_session.onGrant(envelope.session_grant(), now);
        break;
    case schema::Envelope::kMemberUpdate:
        m_member.onUpdate(envelope.member_update(), now);
        break;
    case schema::Envelope::kMemberRenew:
        if (m_election.leads(now))
            m_session.onMemberRenew(envelope.from(), envelope.member_renew(), now);
        break;
    default:
        return false;
    }
    carryOut(now);
    return true;
}

void Authority::onTick(Instant now)
{
    m_election.onTick(now, m_clock.wallNow());
    carryOut(now);
    followLeader(now);
    if (m_election.leads(now))
        m_session.onTick(now);
    else
        m_member.onTick(now);
    carryOut(now);
    noteFirstGrant();
}

// From the first grant on a portion of nothing is known to be nothing.
void Authority::noteFirstGrant()
{
    const bool has = m_session.hasGrant();
    if (has && !m_hadGrant)
        m_events.onPortionsChanged();
    m_hadGrant = has;
}

void Authority::followLeader(Instant now)
{
    auto current = leader(now);
    if (current == m_followed)
        return;
    m_followed = std::move(current);
    if (!m_followed.empty() && m_followed != m_options.instance)
        m_member.onLeaderChanged(now);
}

void Authority::resign(Instant now)
{
    m_election.resign(now);
    carryOut(now);
}

void Authority::leave(Instant now)
{
    if (m_election.leads(now))
        m_session.onLeaving(now);
    else
        m_member.onLeaving(now);
    carryOut(now);
}

bool Authority::mayServe(Instant now) const
{
    return m_election.leads(now) ? m_session.mayServe(now) : m_member.mayServe(now);
}

bool Authority::cutOff(Instant now) const { return m_election.leads(now) ? m_session.cutOff(now) : m_member.cutOff(); }

std::vector<schema::Portion> Authority::portions() const
{
    std::vector<schema::Portion> out;
    if (!m_session.leads())
        return out;
    for (const auto& team : m_config.config().teams()) {
        const auto cap = m_session.cap(team.id());
        if (m_session.hasGrant() || !cap.isZero())
            out.push_back(toPortion(m_options.dataCentre, team.id(), cap));
    }
    return out;
}

void Authority::setNeeds(std::span<const schema::PortionNeed> needs, Instant now)
{
    std::vector<TeamNeed> out;
    for (const auto& it : needs) {
        out.push_back({ it.team_id(), toAmounts(it.requests_in_use(), it.tasks_in_use()),
            toAmounts(it.requests_wanted(), it.tasks_wanted()) });
    }
    m_session.setNeeds(out, now);
    carryOut(now);
}

void Authority::carryOut(Instant now)
{
    for (auto& it : m_election.takeActions())
        std::visit([&](auto& action) { perform(action, now); }, it);
    for (auto& it : m_session.takeActions())
        std::visit([&](auto& action) { perform(action, now); }, it);
    for (auto& it : m_member.takeActions())
        std::visit([&](auto& action) { perform(action, now); }, it);
}

void Authority::perform(SendLeadership& action, Instant)
{
    schema::Envelope out;
    *out.mutable_leadership() = std::move(action.message);
    if (action.to.empty())
        m_sendToState(std::move(out));
    else
        m_send(action.to, std::move(out));
}

void Authority::perform(LeadershipGained& action, Instant now)
{
    const auto inherited = m_member.inheritableAuthority(now);
    m_member.onBecameLeader();
    m_session.onBecameLeader(action.epoch, inherited, now);
    m_events.onGained(action.epoch);
}

void Authority::perform(LeadershipLost&, Instant now)
{
    m_session.onLostLeadership();
    m_events.onLost();
    m_followed.clear();
    followLeader(now);
}

void Authority::perform(SendRenew& action, Instant now)
{
    if (!m_election.leads(now))
        return;
    schema::Envelope out;
    *out.mutable_session_renew() = std::move(action.renew);
    m_sendToState(std::move(out));
}

void Authority::perform(SendMemberUpdate& action, Instant now)
{
    if (!m_election.leads(now))
        return;
    schema::Envelope out;
    *out.mutable_member_update() = std::move(action.update);
    m_send(action.to, std::move(out));
}

void Authority::perform(SendMemberRenew& action, Instant now)
{
    const auto to = leader(now);
    if (to.empty() || to == m_options.instance)
        return;
    schema::Envelope out;
    *out.mutable_member_renew() = std::move(action.renew);
    m_send(to, std::move(out));
}

void Authority::perform(ConfigChanged&, Instant) { m_events.onConfigChanged(); }

void Authority::perform(PortionsChanged&, Instant) { m_events.onPortionsChanged(); }

void Authority::perform(JobsChanged& action, Instant) { m_events.onJobsChanged(action); }

} // namespace teasel

#include "node/authority.h"

#include <utility>

namespace teasel {

namespace {

    // Longer than a leader change in the data centre, so that the next leader inherits the authority of its members.
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
    , m_fleetSession(sessionOptions(m_options), m_config)
    , m_memberSession(memberOptions(m_options), m_config)
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
            m_fleetSession.onGrant(envelope.session_grant(), now);
        break;
    case schema::Envelope::kMemberUpdate:
        m_memberSession.onUpdate(envelope.member_update(), now);
        break;
    case schema::Envelope::kMemberRenew:
        if (m_election.leads(now))
            m_fleetSession.onMemberRenew(envelope.from(), envelope.member_renew(), now);
        break;
    default:
        return false;
    }
    executeActions(now);
    return true;
}

void Authority::onTick(Instant now)
{
    m_election.onTick(now, m_clock.wallNow());
    executeActions(now);
    updateLeader(now);
    if (m_election.leads(now))
        m_fleetSession.onTick(now);
    else
        m_memberSession.onTick(now);
    executeActions(now);
    notifyFirstGrant();
}

// Before the first grant, the portion of a team without one is unknown; after it, that portion is known to be empty. So
// the first grant is a change of the portions even if it changes no amount.
void Authority::notifyFirstGrant()
{
    const bool has = m_fleetSession.hasGrant();
    if (has && !m_hadGrant)
        m_events.onPortionsChanged();
    m_hadGrant = has;
}

void Authority::updateLeader(Instant now)
{
    auto current = leader(now);
    if (current == m_lastLeader)
        return;
    m_lastLeader = std::move(current);
    if (!m_lastLeader.empty() && m_lastLeader != m_options.instance)
        m_memberSession.onLeaderChanged(now);
}

void Authority::resign(Instant now)
{
    m_election.resign(now);
    executeActions(now);
}

void Authority::leave(Instant now)
{
    if (m_election.leads(now))
        m_fleetSession.onLeaving(now);
    else
        m_memberSession.onLeaving(now);
    executeActions(now);
}

bool Authority::mayServe(Instant now) const
{
    return m_election.leads(now) ? m_fleetSession.mayServe(now) : m_memberSession.mayServe(now);
}

bool Authority::isCutOff(Instant now) const
{
    return m_election.leads(now) ? m_fleetSession.cutOff(now) : m_memberSession.cutOff();
}

std::vector<schema::Portion> Authority::portions() const
{
    std::vector<schema::Portion> out;
    if (!m_fleetSession.leads())
        return out;
    for (const auto& team : m_config.config().teams()) {
        const auto cap = m_fleetSession.cap(team.id());
        if (m_fleetSession.hasGrant() || !cap.isZero())
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
    m_fleetSession.setNeeds(out, now);
    executeActions(now);
}

void Authority::executeActions(Instant now)
{
    for (auto& it : m_election.takeActions())
        std::visit([&](auto& action) { execute(action, now); }, it);
    for (auto& it : m_fleetSession.takeActions())
        std::visit([&](auto& action) { execute(action, now); }, it);
    for (auto& it : m_memberSession.takeActions())
        std::visit([&](auto& action) { execute(action, now); }, it);
}

void Authority::execute(SendLeadership& action, Instant)
{
    schema::Envelope out;
    *out.mutable_leadership() = std::move(action.message);
    if (action.to.empty())
        m_sendToState(std::move(out));
    else
        m_send(action.to, std::move(out));
}

void Authority::execute(LeadershipGained& action, Instant now)
{
    const auto inherited = m_memberSession.inheritableAuthority(now);
    m_memberSession.onBecameLeader();
    m_fleetSession.onBecameLeader(action.epoch, inherited, now);
    m_events.onLeadershipGained(action.epoch);
}

void Authority::execute(LeadershipLost&, Instant now)
{
    m_fleetSession.onLostLeadership();
    m_events.onLeadershipLost();
    m_lastLeader.clear();
    updateLeader(now);
}

void Authority::execute(SendSessionRenew& action, Instant now)
{
    if (!m_election.leads(now))
        return;
    schema::Envelope out;
    *out.mutable_session_renew() = std::move(action.renew);
    m_sendToState(std::move(out));
}

void Authority::execute(SendMemberUpdate& action, Instant now)
{
    if (!m_election.leads(now))
        return;
    schema::Envelope out;
    *out.mutable_member_update() = std::move(action.update);
    m_send(action.to, std::move(out));
}

void Authority::execute(SendMemberRenew& action, Instant now)
{
    const auto to = leader(now);
    if (to.empty() || to == m_options.instance)
        return;
    schema::Envelope out;
    *out.mutable_member_renew() = std::move(action.renew);
    m_send(to, std::move(out));
}

void Authority::execute(ConfigChanged&, Instant) { m_events.onConfigChanged(); }

void Authority::execute(PortionsChanged&, Instant) { m_events.onPortionsChanged(); }

void Authority::execute(JobsChanged& action, Instant) { m_events.onJobsChanged(action); }

} // namespace teasel

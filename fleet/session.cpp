#include "fleet/session.h"

#include "fleet/lease_time.h"

#include <algorithm>

namespace teasel {

namespace {
    constexpr size_t s_maxSentRenews = 64;
}

FleetSession::FleetSession(FleetSessionOptions options, ConfigView& view)
    : m_options(std::move(options))
    , m_view(view)
{
}

void FleetSession::onBecameLeader(Epoch epoch, const std::optional<InheritedAuthority>& inherited, Instant now)
{
    m_epoch = epoch;
    m_authorityEnd = inherited ? inherited->end : Instant();
    m_lastContactAt = now;
    m_sent.clear();
    m_jobsVersion = 0;
    m_awaitsFirstGrant = true;
    m_reportedRevision = 0;
    m_leaving = false;
    m_portionsPushDue = false;
    m_holder.reset(inherited ? inherited->portions : std::vector<schema::Portion>());
    m_members.clear();
    // The previous leader may have granted any member a lease just before this call.
    for (const auto& it : m_options.members)
        m_members[it].leaseEnd = now + withClockMargin(m_options.memberLease);
    m_actions.emplace_back(PortionsChanged {});
    sendRenew(now);
}

void FleetSession::onLostLeadership()
{
    m_epoch = 0;
    m_authorityEnd = Instant();
    m_holder.reset({});
    m_members.clear();
    m_actions.emplace_back(PortionsChanged {});
}

void FleetSession::onLeaving(Instant now)
{
    if (!leads())
        return;
    m_leaving = true;
    m_authorityEnd = Instant();
    sendRenew(now);
}

std::optional<Instant> FleetSession::sentAt(uint64_t sequence) const
{
    for (const auto& it : m_sent)
        if (it.sequence == sequence)
            return it.at;
    return std::nullopt;
}

void FleetSession::onGrant(const schema::SessionGrant& grant, Instant now)
{
    if (!leads() || grant.epoch() != m_epoch || grant.data_centre() != m_options.dataCentre)
        return;
    const std::optional<Instant> sent = sentAt(grant.sequence());
    if (!sent)
        return;
    m_lastContactAt = std::max(m_lastContactAt, *sent);
    m_holder.onRenewAcknowledged(grant.sequence());
    if (grant.send_all_needs())
        m_holder.resendAllNeeds();
    const Revision before = m_view.revision();
    // The lease is valid only for the configuration that was sent with it.
    if (applyDelta(grant) && !m_leaving)
        m_authorityEnd = std::max(m_authorityEnd, *sent + Milliseconds(grant.authority_ms()));
    if (m_holder.onGrant(grant))
        m_actions.emplace_back(PortionsChanged {});
    handleJobs(grant);
    if (m_view.revision() != before) {
        m_actions.emplace_back(ConfigChanged { m_view.revision() });
        fanOut(now);
    }
    renewIfDue(now);
}

bool FleetSession::applyDelta(const schema::SessionGrant& grant)
{
    if (!grant.has_delta())
        return !m_view.isInconsistent();
    const auto outcome = valueOrError([&] { return m_view.apply(grant.delta()); });
    if (outcome.index() == 0)
        return !m_view.isInconsistent();
    m_renewSoon = true;
    return false;
}

void FleetSession::handleJobs(const schema::SessionGrant& grant)
{
    const bool isFirstGrant = std::exchange(m_awaitsFirstGrant, false);
    if (!isFirstGrant && grant.jobs_version() <= m_jobsVersion)
        return;
    m_jobsVersion = grant.jobs_version();
    m_renewSoon |= grant.jobs_more();
    m_actions.emplace_back(
        JobsChanged { { grant.jobs().begin(), grant.jobs().end() }, grant.jobs_whole(), grant.jobs_more() });
}

void FleetSession::onMemberRenew(std::string_view from, const schema::MemberRenew& renew, Instant now)
{
    const auto it = m_members.find(std::string(from));
    if (!leads() || it == m_members.end() || renew.data_centre() != m_options.dataCentre)
        return;
    if (renew.leaving() && renew.sequence() < it->second.sequence)
        return;
    answerMember(it->first, it->second, renew, now);
    renewIfDue(now);
}

void FleetSession::answerMember(const std::string& name, Member& member, const schema::MemberRenew& renew, Instant now)
{
    member.hasReported = true;
    member.sequence = renew.sequence();
    member.revision = std::max(member.revision, renew.applied_revision());
    member.portionsSerial = renew.portions_epoch() == m_epoch ? renew.portions_serial() : 0;
    const bool grantsLease = mayServe(now) && !renew.leaving();
    const Duration lease = grantsLease ? std::min(m_options.memberLease, m_authorityEnd - now) : Duration(0);
    member.leaseMs = static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(lease).count());
    if (grantsLease)
        member.leaseEnd = std::max(member.leaseEnd, now + withClockMargin(lease));
    else if (renew.leaving())
        member.leaseEnd = now;
    sendUpdate(name, member, m_view.deltaFor(renew.applied_revision(), renew.config_digest()), now);
}

void FleetSession::sendUpdate(const std::string& name, Member& member, schema::ConfigDelta delta, Instant now)
{
    schema::MemberUpdate update;
    update.set_data_centre(m_options.dataCentre);
    update.set_epoch(m_epoch);
    update.set_sequence(member.sequence);
    update.set_lease_ms(member.leaseMs);
    update.set_cut_off(cutOff(now));
    update.set_revision(m_view.revision());
    update.set_authority_left_ms(millisecondsLeft(m_authorityEnd, now));
    if (delta.has_whole() || delta.to_revision() != delta.from_revision())
        *update.mutable_delta() = std::move(delta);
    m_holder.writePortions(update, m_options.dataCentre, member.portionsSerial);
    member.sentRevision = m_view.revision();
    member.sentDigest = m_view.digest();
    m_actions.emplace_back(SendMemberUpdate { name, std::move(update) });
}

void FleetSession::fanOut(Instant now)
{
    for (auto& [name, member] : m_members)
        if (member.hasReported && member.leaseEnd > now)
            sendUpdate(name, member, m_view.deltaFor(member.sentRevision, member.sentDigest), now);
}

void FleetSession::setNeeds(std::span<const TeamNeed> needs, Instant now)
{
    m_holder.setNeeds(needs);
    renewIfDue(now);
}

void FleetSession::onTick(Instant now) { renewIfDue(now); }

Revision FleetSession::inForceRevision(Instant now) const
{
    Revision revision = m_view.isInconsistent() ? 0 : m_view.revision();
    for (const auto& [name, member] : m_members)
        if (member.leaseEnd > now)
            revision = std::min(revision, member.revision);
    return revision;
}

void FleetSession::renewIfDue(Instant now)
{
    if (!leads())
        return;
    pushPortions(now);
    const bool early = m_renewSoon || m_holder.hasUnreported() || inForceRevision(now) > m_reportedRevision;
    if (now >= m_nextRenew || (early && now - m_lastRenew >= m_options.minEarlyRenewInterval))
        sendRenew(now);
}

// A reduction must reach every member that may become leader before it is reported to the fleet state. Otherwise a new
// leader could inherit and use an amount that the fleet state has already granted to another data centre.
void FleetSession::pushPortions(Instant now)
{
    uint64_t known = m_holder.serial();
    for (const auto& [name, member] : m_members)
        if (member.leaseEnd > now)
            known = std::min(known, member.portionsSerial);
    m_holder.onMembersAcknowledged(known);
    m_portionsPushDue |= m_holder.consumeShrunk();
    if (!m_portionsPushDue || now < m_nextPortionsPush)
        return;
    m_portionsPushDue = false;
    m_nextPortionsPush = now + m_options.minPortionsPushInterval;
    fanOut(now);
}

void FleetSession::sendRenew(Instant now)
{
    m_lastRenew = now;
    m_nextRenew = now + m_options.renewInterval;
    m_renewSoon = false;
    m_sent.push_back({ ++m_sequence, now });
    if (m_sent.size() > s_maxSentRenews)
        m_sent.pop_front();
    schema::SessionRenew renew;
    renew.set_data_centre(m_options.dataCentre);
    renew.set_epoch(m_epoch);
    renew.set_sequence(m_sequence);
    renew.set_applied_revision(m_view.revision());
    renew.set_config_digest(m_view.digest());
    renew.set_jobs_version(m_jobsVersion);
    renew.set_leaving(m_leaving);
    writeMembers(renew, now);
    m_holder.writeNeeds(renew);
    m_reportedRevision = inForceRevision(now);
    m_actions.emplace_back(SendSessionRenew { std::move(renew) });
}

void FleetSession::writeMembers(schema::SessionRenew& renew, Instant now) const
{
    for (const auto& [name, member] : m_members) {
        auto& row = *renew.add_members();
        row.set_instance(name);
        row.set_revision(member.revision);
        row.set_lease_left_ms(millisecondsLeftRoundedUp(member.leaseEnd, now));
    }
}

bool FleetSession::mayServe(Instant now) const { return leads() && now < m_authorityEnd && !m_view.isInconsistent(); }

bool FleetSession::cutOff(Instant now) const { return leads() && now - m_lastContactAt > m_options.cutOffTimeout; }

} // namespace teasel

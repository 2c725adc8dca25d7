#include "fleet/member_session.h"

#include <algorithm>

namespace teasel {

namespace {
    constexpr size_t s_maxSentRenews = 64;
}

MemberSession::MemberSession(MemberSessionOptions options, ConfigView& view)
    : m_options(std::move(options))
    , m_view(view)
    , m_sequence(m_options.firstSequence)
{
}

void MemberSession::onLeaderChanged(Instant now)
{
    m_active = true;
    sendRenew(now);
}

void MemberSession::onBecameLeader()
{
    m_active = false;
    m_leaseEnd = Instant();
    m_authorityEnd = Instant();
}

void MemberSession::onLeaving(Instant now)
{
    m_leaving = true;
    m_leaseEnd = Instant();
    m_authorityEnd = Instant();
    if (m_active)
        sendRenew(now);
}

void MemberSession::onTick(Instant now)
{
    if (m_active && now >= m_nextRenew)
        sendRenew(now);
}

void MemberSession::sendRenew(Instant now)
{
    m_nextRenew = now + m_options.renewInterval;
    m_sent.push_back({ ++m_sequence, now });
    if (m_sent.size() > s_maxSentRenews)
        m_sent.pop_front();
    schema::MemberRenew renew;
    renew.set_data_centre(m_options.dataCentre);
    renew.set_sequence(m_sequence);
    renew.set_applied_revision(m_view.revision());
    renew.set_config_digest(m_view.digest());
    renew.set_leaving(m_leaving);
    renew.set_portions_epoch(m_portionsEpoch);
    renew.set_portions_serial(m_portionsSerial);
    m_actions.emplace_back(SendMemberRenew { std::move(renew) });
}

std::optional<Instant> MemberSession::sentAt(uint64_t sequence) const
{
    for (const auto& it : m_sent)
        if (it.sequence == sequence)
            return it.at;
    return std::nullopt;
}

void MemberSession::onUpdate(const schema::MemberUpdate& update, Instant now)
{
    if (!m_active || update.data_centre() != m_options.dataCentre || update.epoch() < m_epoch)
        return;
    m_epoch = update.epoch();
    const std::optional<Instant> sent = sentAt(update.sequence());
    if (!sent)
        return;
    m_cutOff = update.cut_off();
    const bool newPortions = takePortions(update);
    const Revision before = m_view.revision();
    // The lease is valid only for the configuration that was sent with it.
    if (applyDelta(update) && !m_leaving) {
        m_leaseEnd = std::max(m_leaseEnd, *sent + Milliseconds(update.lease_ms()));
        m_authorityEnd = std::max(m_authorityEnd, *sent + Milliseconds(update.authority_left_ms()));
    }
    if (m_view.revision() != before)
        m_actions.emplace_back(ConfigChanged { m_view.revision() });
    if (m_view.revision() != before || newPortions)
        sendRenew(now);
}

// An update without portions carries a serial that this member has reported as known.
bool MemberSession::takePortions(const schema::MemberUpdate& update)
{
    const bool older = update.epoch() == m_portionsEpoch && update.portions_serial() <= m_portionsSerial;
    if (update.portions_serial() == 0 || older)
        return false;
    m_portions.assign(update.portions().begin(), update.portions().end());
    m_portionsEpoch = update.epoch();
    m_portionsSerial = update.portions_serial();
    return true;
}

bool MemberSession::applyDelta(const schema::MemberUpdate& update)
{
    const auto outcome = valueOrError([&]() -> Result<void> {
        if (update.has_delta())
            return m_view.apply(update.delta());
        return {};
    });
    return outcome.index() == 0 && !m_view.isInconsistent() && m_view.revision() >= update.revision();
}

bool MemberSession::mayServe(Instant now) const { return m_active && now < m_leaseEnd && !m_view.isInconsistent(); }

std::optional<InheritedAuthority> MemberSession::inheritableAuthority(Instant now) const
{
    if (!mayServe(now))
        return std::nullopt;
    return InheritedAuthority { m_authorityEnd, m_portions };
}

} // namespace teasel

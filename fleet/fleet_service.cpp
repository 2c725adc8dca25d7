#include "fleet/fleet_service.h"

#include "fleet/lease_time.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    constexpr Duration s_minAuthority = std::chrono::seconds(2); // the lease survives the loss of several renewals

    bool isFromEntry(const schema::Command& command)
    {
        switch (command.body_case()) {
        case schema::Command::kConfigChange:
        case schema::Command::kBegin:
        case schema::Command::kFinish:
        case schema::Command::kSubmitJob:
        case schema::Command::kJobProgress:
            return true;
        default:
            return false;
        }
    }

    schema::CommandResult failureResult(ErrorKind kind, std::string message)
    {
        schema::CommandResult result;
        result.mutable_failure()->set_kind(static_cast<uint32_t>(kind));
        result.mutable_failure()->set_message(std::move(message));
        result.mutable_failure()->set_retry_after_ms(errorInfo(kind).retryAfterMs);
        return result;
    }

} // namespace

FleetService::FleetService(FleetServiceOptions options, const FleetState& state)
    : m_options(std::move(options))
    , m_state(state)
    , m_portionAllocator(state, m_ledger, m_options.contactTimeout)
    , m_lastTicket(m_options.firstTicket)
{
    m_options.authority = std::max(m_options.authority, s_minAuthority);
}

void FleetService::onLeadership(bool serving, Instant now)
{
    if (serving == m_serving)
        return;
    m_serving = serving;
    for (const auto& [ticket, pending] : m_pending)
        if (pending.origin == Origin::Entry)
            answerNotLeader(pending.from, pending.proposerTicket);
    for (const auto& it : m_waiting)
        answerNotLeader(it.pending.from, it.pending.proposerTicket);
    m_pending.clear();
    m_waiting.clear();
    m_inForceTicket = 0;
    m_portionsTicket = 0;
    m_nextPlan = now;
    // The previous leader of the state may have granted any of them a lease just before this call.
    m_ledger.reset(m_state.sessions(), now + withClockMargin(m_options.authority));
}

uint64_t FleetService::propose(schema::Command command, PendingProposal pending)
{
    const uint64_t ticket = ++m_lastTicket;
    m_pending.emplace(ticket, std::move(pending));
    m_actions.emplace_back(ProposeCommand { ticket, std::move(command) });
    return ticket;
}

// ---- Sessions

void FleetService::onRenew(std::string_view from, const schema::SessionRenew& renew, Instant now)
{
    const auto& known = m_options.dataCentres;
    if (!m_serving || std::find(known.begin(), known.end(), renew.data_centre()) == known.end())
        return;
    handleRenew(std::string(from), renew, now);
}

bool FleetService::isOpen(const std::string& dataCentre, Epoch epoch) const
{
    const auto it = m_state.sessions().find(dataCentre);
    return it != m_state.sessions().end() && it->second.open() && it->second.epoch() == epoch;
}

void FleetService::handleRenew(const std::string& from, const schema::SessionRenew& renew, Instant now)
{
    const auto recorded = m_state.sessions().find(renew.data_centre());
    if (recorded != m_state.sessions().end() && recorded->second.epoch() > renew.epoch())
        return;
    SessionEntry& entry = m_ledger.entry(renew.data_centre());
    if (entry.recordTicket != 0 || !isOpen(renew.data_centre(), renew.epoch())) {
        const bool newer = !entry.deferredRenew || entry.deferredRenew->epoch() <= renew.epoch();
        if (newer) {
            entry.deferredRenew = renew;
            entry.address = from;
        }
        if (entry.recordTicket == 0 && !renew.leaving())
            recordSession(renew.data_centre(), entry, renew.epoch(), true);
        return;
    }
    if (entry.hasReported && renew.sequence() <= entry.sequence)
        return;
    m_ledger.handleReport(entry, from, renew, now);
    grant(renew.data_centre(), entry, renew, now);
    advanceInForce(now);
}

void FleetService::recordSession(const std::string& dataCentre, SessionEntry& entry, Epoch epoch, bool open)
{
    // Reports of the data centre's previous leader must not cause a reduction of portions any more.
    if (open)
        SessionLedger::clearReports(entry);
    schema::Command command;
    command.mutable_session()->set_data_centre(dataCentre);
    command.mutable_session()->set_epoch(epoch);
    command.mutable_session()->set_open(open);
    PendingProposal pending;
    pending.origin = Origin::Session;
    pending.from = dataCentre;
    entry.recordTicket = propose(std::move(command), std::move(pending));
}

void FleetService::onSessionRecorded(const std::string& dataCentre, uint64_t ticket, Instant now)
{
    SessionEntry& entry = m_ledger.entry(dataCentre);
    if (entry.recordTicket != ticket)
        return;
    entry.recordTicket = 0;
    if (!entry.deferredRenew)
        return;
    const schema::SessionRenew renew = std::move(*entry.deferredRenew);
    const std::string from = entry.address;
    entry.deferredRenew.reset();
    handleRenew(from, renew, now);
}

// The next renewal proposes the record again. Proposing it again at once would loop while the log accepts no commands.
void FleetService::onSessionRecordDropped(const std::string& dataCentre, uint64_t ticket)
{
    SessionEntry& entry = m_ledger.entry(dataCentre);
    if (entry.recordTicket != ticket)
        return;
    entry.recordTicket = 0;
    entry.deferredRenew.reset();
}

// Closes the session of a data centre that has released its lease, so that no change waits for it, not even under the
// next leader of the state.
void FleetService::onLeaving(const std::string& dataCentre, SessionEntry& entry, const schema::SessionRenew& renew)
{
    const auto& members = renew.members();
    const bool noMemberHasLease
        = std::all_of(members.begin(), members.end(), [](const auto& it) { return it.lease_left_ms() == 0; });
    if (!noMemberHasLease)
        return;
    entry.authorityEnd = Instant();
    recordSession(dataCentre, entry, renew.epoch(), false);
}

// Closes the sessions whose lease has expired, for the same reason.
void FleetService::closeExpiredSessions(Instant now)
{
    for (const auto& [name, session] : m_state.sessions()) {
        if (!session.open())
            continue;
        SessionEntry& entry = m_ledger.entry(name);
        if (entry.recordTicket == 0 && entry.authorityEnd <= now)
            recordSession(name, entry, session.epoch(), false);
    }
}

void FleetService::grant(
    const std::string& dataCentre, SessionEntry& entry, const schema::SessionRenew& renew, Instant now)
{
    if (renew.leaving())
        return onLeaving(dataCentre, entry, renew);
    schema::SessionGrant grant = grantFor(dataCentre, entry);
    grant.set_send_all_needs(!entry.needsComplete);
    entry.authorityEnd = std::max(entry.authorityEnd, now + withClockMargin(m_options.authority));
    entry.pushDue = false;
    m_actions.emplace_back(SendGrant { entry.address, std::move(grant) });
}

schema::SessionGrant FleetService::grantFor(const std::string& dataCentre, const SessionEntry& entry) const
{
    schema::SessionGrant grant;
    grant.set_data_centre(dataCentre);
    grant.set_epoch(entry.epoch);
    grant.set_sequence(entry.sequence);
    grant.set_authority_ms(
        static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(m_options.authority).count()));
    if (entry.appliedRevision != m_state.revision() || entry.digest != m_state.digest())
        *grant.mutable_delta() = m_state.deltaFor(entry.appliedRevision, entry.digest);
    grant.set_portions_version(m_state.portions().versionOf(dataCentre));
    for (auto& it : m_state.portions().changedSince(dataCentre, entry.portionsVersion))
        *grant.add_portions() = std::move(it);
    for (const auto& [team, target] : entry.targets)
        *grant.add_targets() = toPortion(dataCentre, team, target);
    const auto maxJobBytes
        = grant.delta().ByteSizeLong() > m_options.maxJobBytesPerGrant ? 0 : m_options.maxJobBytesPerGrant;
    const JobChanges changes
        = m_state.jobs().changedSince(dataCentre, entry.jobsVersion, m_options.maxJobsPerGrant, maxJobBytes);
    for (const auto& it : changes.jobs)
        *grant.add_jobs() = it;
    grant.set_jobs_version(changes.version);
    grant.set_jobs_whole(changes.replacesAll);
    grant.set_jobs_more(changes.more);
    return grant;
}

// A pushed grant does not extend the lease: the lease still counts from the renewal whose sequence the grant carries.
void FleetService::pushDueGrants()
{
    for (auto& [name, entry] : m_ledger.entries()) {
        if (!entry.pushDue || !entry.hasReported)
            continue;
        entry.pushDue = false;
        m_actions.emplace_back(SendGrant { entry.address, grantFor(name, entry) });
    }
}

// ---- Proposals

void FleetService::onPropose(std::string_view from, const schema::Propose& proposal, Instant now)
{
    if (!m_serving)
        return answerNotLeader(std::string(from), proposal.ticket());
    PendingProposal pending;
    pending.from = std::string(from);
    pending.proposerTicket = proposal.ticket();
    pending.waitInForce = proposal.wait_in_force();
    pending.deadline = now + std::min<Duration>(m_options.maxInForceWait, Milliseconds(proposal.wait_ms()));
    if (!isFromEntry(proposal.command()))
        return answer(pending, failureResult(ErrorKind::Forbidden, "an entry instance may not propose this command"));
    if (const auto bytes = proposal.command().ByteSizeLong(); bytes > m_options.maxCommandBytes)
        return answer(pending,
            failureResult(ErrorKind::TooLarge,
                fmt::format("the change has {} bytes, of at most {}", bytes, m_options.maxCommandBytes)));
    if (m_pending.size() + m_waiting.size() >= m_options.maxPendingProposals)
        return answer(pending, failureResult(ErrorKind::StateUnavailable, "too many pending proposals"));
    propose(proposal.command(), std::move(pending));
}

void FleetService::answer(const PendingProposal& pending, schema::CommandResult result)
{
    SendAnswer action;
    action.to = pending.from;
    action.answer.set_ticket(pending.proposerTicket);
    *action.answer.mutable_result() = std::move(result);
    m_actions.emplace_back(std::move(action));
}

void FleetService::answerNotLeader(const std::string& to, uint64_t proposerTicket)
{
    SendAnswer action;
    action.to = to;
    action.answer.set_ticket(proposerTicket);
    action.answer.set_not_leader(true);
    m_actions.emplace_back(std::move(action));
}

void FleetService::onApplied(
    uint64_t ticket, const schema::Command& command, const schema::CommandResult& result, Instant now)
{
    if (!m_serving)
        return;
    markPushesDue(command, result, now);
    const auto it = m_pending.find(ticket);
    if (it != m_pending.end()) {
        PendingProposal pending = std::move(it->second);
        m_pending.erase(it);
        if (pending.origin == Origin::Session)
            onSessionRecorded(pending.from, ticket, now);
        else if (pending.origin == Origin::Entry && command.has_config_change())
            answerChange(std::move(pending), command.config_change(), result, now);
        else if (pending.origin == Origin::Entry)
            answer(pending, result);
    }
    if (ticket == m_inForceTicket)
        m_inForceTicket = 0;
    if (ticket == m_portionsTicket)
        m_portionsTicket = 0;
    advanceInForce(now);
    answerWaitingChanges(now);
}

void FleetService::onOutcomeUnknown(uint64_t ticket, Instant)
{
    const auto it = m_pending.find(ticket);
    if (it == m_pending.end())
        return;
    const PendingProposal pending = std::move(it->second);
    m_pending.erase(it);
    if (pending.origin == Origin::Entry)
        answerNotLeader(pending.from, pending.proposerTicket);
    if (pending.origin == Origin::Session)
        onSessionRecordDropped(pending.from, ticket);
    if (ticket == m_inForceTicket)
        m_inForceTicket = 0;
    if (ticket == m_portionsTicket)
        m_portionsTicket = 0;
}

// A data centre without recent contact is not pushed to; it receives the changes with its next renewal.
void FleetService::markPushesDue(const schema::Command& command, const schema::CommandResult& result, Instant now)
{
    const auto mark
        = [&](SessionEntry& entry) { entry.pushDue |= now - entry.lastContactAt <= m_options.contactTimeout; };
    if (command.has_portions() && !result.has_failure())
        for (const auto& it : command.portions().portions())
            mark(m_ledger.entry(it.data_centre()));
    if (result.has_job())
        mark(m_ledger.entry(result.job().data_centre()));
    if (command.has_job_progress() && !command.job_progress().move_to_data_centre().empty())
        for (auto& [name, entry] : m_ledger.entries())
            mark(entry);
    if (command.has_config_change())
        for (auto& [name, entry] : m_ledger.entries())
            if (entry.appliedRevision < m_state.revision())
                mark(entry);
}

void FleetService::answerChange(
    PendingProposal pending, const schema::ConfigChange& change, schema::CommandResult result, Instant now)
{
    WaitingChange waiting { std::move(pending), change.made_by(), change.change_id(), std::move(result) };
    if (waiting.result.change().state() == schema::CHANGE_STATE_REFUSED)
        return answer(waiting.pending, std::move(waiting.result));
    if (!waiting.pending.waitInForce)
        waiting.pending.deadline = now;
    if (!answerIfResolved(waiting, now))
        m_waiting.push_back(std::move(waiting));
}

// Answers a change that is accepted or whose deadline has passed. Returns whether it was answered.
bool FleetService::answerIfResolved(const WaitingChange& waiting, Instant now)
{
    const auto* record = m_state.changes().find(waiting.madeBy, waiting.changeId);
    const bool accepted = record != nullptr && m_state.isAccepted(*record);
    if (!accepted && now < waiting.pending.deadline)
        return false;
    std::vector<std::string> missing;
    if (!accepted && record != nullptr)
        missing = dataCentresWithout(*record, now);
    // If no data centre is missing, the InForceMark for the revision is about to be committed: wait for it.
    if (!accepted && record != nullptr && missing.empty())
        return false;
    schema::CommandResult result = waiting.result;
    schema::ChangeAnswer& change = *result.mutable_change();
    change.set_state(accepted ? schema::CHANGE_STATE_ACCEPTED : schema::CHANGE_STATE_PENDING);
    for (auto& it : missing)
        change.add_data_centres_not_reached(std::move(it));
    answer(waiting.pending, std::move(result));
    return true;
}

void FleetService::answerWaitingChanges(Instant now)
{
    std::vector<WaitingChange> waiting = std::exchange(m_waiting, {});
    for (auto& it : waiting)
        if (!answerIfResolved(it, now))
            m_waiting.push_back(std::move(it));
}

// The data centres that the change still waits for: those where its revision may not be in force, and those that hold
// a portion of a team whose portions exceed its lowered limit.
std::vector<std::string> FleetService::dataCentresWithout(const schema::ChangeRecord& record, Instant now) const
{
    std::vector<std::string> names = m_ledger.dataCentresNotReached(record.answer().revision(), now);
    for (const auto& it : m_state.portions().all()) {
        const auto& teams = record.waiting_team_ids();
        const bool isAffected = std::find(teams.begin(), teams.end(), it.team_id()) != teams.end();
        if (isAffected && !amountsOf(it).isZero()
            && std::find(names.begin(), names.end(), it.data_centre()) == names.end())
            names.push_back(it.data_centre());
    }
    return names;
}

void FleetService::advanceInForce(Instant now)
{
    if (!m_serving || m_inForceTicket != 0)
        return;
    const Revision revision = m_ledger.inForceRevision(m_state.revision(), now);
    if (revision <= m_state.inForceRevision())
        return;
    schema::Command command;
    command.mutable_in_force()->set_revision(revision);
    PendingProposal pending;
    pending.origin = Origin::InForce;
    m_inForceTicket = propose(std::move(command), std::move(pending));
}

void FleetService::planPortions(Instant now)
{
    if (m_portionsTicket != 0 || now < m_nextPlan)
        return;
    m_nextPlan = now + m_options.planInterval;
    auto update = m_portionAllocator.plan(now);
    if (!update)
        return;
    schema::Command command;
    *command.mutable_portions() = std::move(*update);
    PendingProposal pending;
    pending.origin = Origin::Portions;
    m_portionsTicket = propose(std::move(command), std::move(pending));
}

void FleetService::onTick(Instant now)
{
    if (!m_serving)
        return;
    closeExpiredSessions(now);
    planPortions(now);
    advanceInForce(now);
    answerWaitingChanges(now);
}

std::vector<FleetAction> FleetService::takeActions()
{
    pushDueGrants();
    return std::exchange(m_actions, {});
}

} // namespace teasel

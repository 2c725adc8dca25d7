#include "requests/dispatch_leader.h"

#include "requests/attempt_key.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

DispatchLeader::DispatchLeader(DispatchOptions options, NameTable& names)
    : m_options(std::move(options))
    , m_takeover(m_options.grantLifetime, m_options.grantExpiryMargin, m_options.maxRequestDuration)
    , m_pool(m_options.seed)
    , m_labels(names)
    , m_groups(names, m_labels.index())
{
}

void DispatchLeader::onBecameLeader(Epoch epoch, Instant now)
{
    onLostLeadership(now);
    m_leading = true;
    m_epoch = epoch;
    m_takeover.begin(now);
    m_lastTickAt = now;
    m_links.reset(epoch);
    for (const auto& it : m_options.members)
        m_links.requestFullBatch(m_links.idOf(it));
}

void DispatchLeader::onLostLeadership(Instant)
{
    m_leading = false;
    m_takeover.end();
    m_queue.clear();
    m_queue.setReservedSlots(0);
    m_tickets.clear();
    m_ledger.clear();
    m_labels.clear(m_pool.size());
    m_pool.clear();
    m_groups.clear();
    m_remote.clear();
}

void DispatchLeader::onTeams(std::span<const TeamPolicy> teams, Instant now)
{
    for (const auto& it : teams)
        m_queue.setTeam(it.id, it.share, it.portion, now);
}

void DispatchLeader::onClasses(std::span<const ClassPolicy> classes, Instant) { m_classes.configure(classes); }

void DispatchLeader::onDrains(std::span<const std::string> selectors, Instant)
{
    m_labels.setDrains(selectors);
    m_pool.setDrained(m_labels.drained());
}

void DispatchLeader::onKeysRevoked(std::span<const std::string> keyIds, Instant now)
{
    for (const auto& it : keyIds)
        m_revokedKeys[it] = now;
    for (const auto id : m_tickets.ofKeys({ keyIds.begin(), keyIds.end() }))
        refuse(id, ErrorKind::Unauthenticated, "the key was revoked", Milliseconds(0));
}

// ---- Executors -------------------------------------------------------------

schema::AnnounceReply DispatchLeader::onAnnounce(const schema::ExecutorAnnounce& announce, Instant now)
{
    schema::AnnounceReply reply;
    reply.set_known(m_leading);
    reply.set_next_ms(static_cast<uint64_t>(announcePeriod.count()));
    if (!m_leading)
        return reply;
    const auto n = m_pool.ordinalOf(announce.name());
    if (announce.incarnation() < m_pool.at(n).incarnation)
        return reply;
    const auto labelsBefore = m_labels.version();
    if (!m_labels.put(n, announce, m_options.dataCentre)) {
        reply.set_known(false);
        return reply;
    }
    m_pool.onAnnounce(announce, now);
    if (m_labels.version() != labelsBefore) {
        m_groups.refresh();
        m_pool.setDrained(m_labels.drained());
    }
    // After this process was suspended, the announcement may have waited in a buffer and be out of date.
    if (now < m_lastTickAt + stallThreshold)
        endClosedAttempts(m_ledger.closedAttemptsEndedBy(n, announce, listedAttempts(announce), now), now);
    if (const auto unattributed
        = m_takeover.estimateUnattributed(n, announce, m_ledger, m_pool.at(n).unattributedInFlight, now)) {
        m_pool.setUnattributedInFlight(n, *unattributed);
        m_queue.setReservedSlots(m_pool.unattributedInFlight());
    }
    return reply;
}

absl::flat_hash_set<AttemptId> DispatchLeader::listedAttempts(const schema::ExecutorAnnounce& announce)
{
    absl::flat_hash_set<AttemptId> listed;
    for (const auto& it : announce.attempts()) {
        if (const auto key = parseAttemptKey(it))
            listed.insert({ m_links.idOf(key->instance), key->incarnation, key->sequence, key->attempt });
    }
    return listed;
}

void DispatchLeader::endClosedAttempts(const std::vector<AttemptId>& ids, Instant now)
{
    for (const auto& it : ids)
        endAttempt(it, EndedAttempt { .neverSent = true }, now);
}

// ---- Holders ---------------------------------------------------------------

void DispatchLeader::onTickets(std::string_view holder, const schema::TicketBatch& batch, Instant now)
{
    if (!m_leading)
        return;
    const auto id = m_links.idOf(holder);
    const auto previousIncarnation = m_links.at(id).incarnation;
    const auto status = m_links.receive(id, batch, now);
    if (m_links.at(id).incarnation != previousIncarnation)
        closePreviousIncarnations(id, now);
    if (status == BatchStatus::Stale || status == BatchStatus::Gap)
        return;
    for (const auto& it : batch.ends())
        handleEnd(id, it, now);
    for (const auto it : batch.cancelled())
        handleCancellation(id, it);
    if (status == BatchStatus::Full)
        reconcile(id, batch, now);
    for (const auto& it : batch.tickets())
        handleTicket(id, it, now);
}

// Closes the attempts of the holder's previous incarnations and removes its tickets. The attempts keep their slots,
// because executors may still run them.
void DispatchLeader::closePreviousIncarnations(HolderId id, Instant now)
{
    for (const auto& it : m_ledger.attemptsBefore(id, m_links.at(id).incarnation))
        m_ledger.close(it, now);
    for (const auto it : m_tickets.ofHolder(id))
        removeTicket(it);
}

void DispatchLeader::reconcile(HolderId id, const schema::TicketBatch& batch, Instant now)
{
    absl::flat_hash_set<AttemptId> outstandingIds;
    for (const auto& it : batch.outstanding())
        outstandingIds.insert({ id, batch.holder_incarnation(), it.sequence(), it.attempt() });
    for (const auto& it : m_ledger.openAttemptsOf(id, batch.holder_incarnation())) {
        const auto grantBatch = m_ledger.find(it)->grantBatch;
        if (grantBatch <= m_links.at(id).acknowledgedGrants && !outstandingIds.contains(it))
            endAttempt(it, EndedAttempt { .neverSent = true }, now);
    }
    for (const auto& it : batch.outstanding())
        handleOutstanding(id, it, now);
    for (const auto it : m_tickets.ofHolder(id))
        removeTicket(it);
}

void DispatchLeader::handleOutstanding(HolderId holder, const schema::Outstanding& it, Instant now)
{
    const AttemptId id { holder, m_links.at(holder).incarnation, it.sequence(), it.attempt() };
    if (m_ledger.find(id)) {
        if (it.closed())
            m_ledger.close(id, now);
        else
            m_ledger.reopen(id);
        return;
    }
    GrantedAttempt attempt;
    attempt.team = it.team_id();
    attempt.executor = m_pool.ordinalOf(it.executor());
    attempt.knownSince = now;
    attempt.deadline = now + Milliseconds(it.deadline_left_ms());
    attempt.closed = it.closed();
    attempt.closedAt = now;
    m_ledger.add(id, attempt);
    m_pool.acquireSlot(attempt.executor);
    m_queue.onDiscoveredRunning(attempt.team, now);
    const auto unattributed = m_pool.at(attempt.executor).unattributedInFlight;
    if (unattributed > 0)
        m_pool.setUnattributedInFlight(attempt.executor, unattributed - 1);
}

void DispatchLeader::handleTicket(HolderId holder, const schema::Ticket& it, Instant now)
{
    const AttemptId id { holder, m_links.at(holder).incarnation, it.sequence(), it.attempt() };
    if (m_ledger.find(id) || m_tickets.find(holder, it.sequence()))
        return;
    WaitingTicket ticket;
    ticket.holder = holder;
    ticket.sequence = it.sequence();
    ticket.attempt = it.attempt();
    ticket.classId = m_classes.idOf(it.class_name());
    ticket.keyId = it.key_id();
    ticket.queued.team = it.team_id();
    ticket.queued.rank = m_classes.at(ticket.classId).rank;
    ticket.queued.deadline = now + Milliseconds(it.deadline_left_ms());
    if (!m_revokedKeys.empty() && m_revokedKeys.contains(it.key_id()))
        return refuseArrival(holder, it, Error { ErrorKind::Unauthenticated, "the key was revoked", {} });
    const auto maxWaiting = m_classes.at(ticket.classId).maxWaitingPerTeam;
    const Arrival arrival { it.team_id(), ticket.queued.rank, ticket.queued.deadline,
        m_tickets.waitingInClass(it.team_id(), ticket.classId),
        maxWaiting > 0 ? maxWaiting : m_options.defaultMaxWaitingPerTeam };
    const bool predictable = m_takeover.mayGrant(now) && m_pool.totalSlots() > 0;
    if (predictable) {
        if (const auto error = checkAdmission(m_queue, arrival, m_pool.totalSlots(), now))
            return refuseArrival(holder, it, *error);
    }
    std::vector<InstanceOrdinal> avoid;
    for (const auto& name : it.avoid()) {
        if (const auto n = m_pool.find(name))
            avoid.push_back(*n);
    }
    const auto group = valueOrError([&] { return m_groups.acquire(it.selector(), avoid); });
    if (const auto* error = std::get_if<Error>(&group))
        return refuseArrival(holder, it, *error);
    ticket.queued.group = std::get<0>(group);
    if (m_takeover.executorsRegistered(now) && !m_groups.allowed(ticket.queued.group).intersects(m_pool.live())) {
        m_groups.release(ticket.queued.group);
        return refuseArrival(holder, it, Error { ErrorKind::NoEndpoint, "no executor matches the selector", {} });
    }
    ticket.queued.id = m_tickets.add(ticket);
    m_queue.push(ticket.queued, now);
}

void DispatchLeader::handleEnd(HolderId holder, const schema::AttemptEnd& it, Instant now)
{
    const AttemptId id { holder, m_links.at(holder).incarnation, it.sequence(), it.attempt() };
    const auto* attempt = m_ledger.find(id);
    if (!attempt || attempt->closed)
        return;
    ++m_stats.endsHandled;
    const EndedAttempt end { it.failed() || it.connect_failed(), it.never_sent(), it.may_still_run(),
        Duration(it.service_us()) };
    if (!it.may_still_run())
        return endAttempt(id, end, now);
    m_pool.onEnded(attempt->executor, end, now);
    m_ledger.close(id, now);
}

void DispatchLeader::handleCancellation(HolderId holder, uint64_t sequence)
{
    if (const auto* it = m_tickets.find(holder, sequence))
        removeTicket(it->queued.id);
}

void DispatchLeader::onHolderLost(std::string_view holder, Instant now)
{
    const auto id = m_links.idOf(holder);
    for (const auto it : m_tickets.ofHolder(id))
        removeTicket(it);
    for (const auto& it : m_ledger.openAttemptsOf(id, m_links.at(id).incarnation))
        m_ledger.close(it, now);
    m_links.at(id).inSync = false;
}

void DispatchLeader::refuseArrival(HolderId holder, const schema::Ticket& ticket, const Error& error)
{
    schema::Refusal refusal;
    refusal.set_sequence(ticket.sequence());
    refusal.set_attempt(ticket.attempt());
    refusal.mutable_failure()->set_kind(static_cast<uint32_t>(error.kind));
    refusal.mutable_failure()->set_message(error.message);
    refusal.mutable_failure()->set_retry_after_ms(static_cast<uint64_t>(error.retryAfter.count()));
    m_links.addRefusal(holder, std::move(refusal));
    ++m_stats.refused;
}

void DispatchLeader::refuse(TicketId id, ErrorKind kind, std::string message, Milliseconds retryAfter)
{
    const auto* ticket = m_tickets.find(id);
    if (!ticket)
        return;
    schema::Ticket ticketMessage;
    ticketMessage.set_sequence(ticket->sequence);
    ticketMessage.set_attempt(ticket->attempt);
    refuseArrival(ticket->holder, ticketMessage, Error { kind, std::move(message), retryAfter });
    removeTicket(id);
}

void DispatchLeader::removeTicket(TicketId id)
{
    const auto* ticket = m_tickets.find(id);
    if (!ticket)
        return;
    m_queue.remove(ticket->queued);
    m_groups.release(ticket->queued.group);
    m_tickets.erase(id);
}

void DispatchLeader::endAttempt(const AttemptId& id, const EndedAttempt& end, Instant now)
{
    const auto* it = m_ledger.find(id);
    if (!it)
        return;
    const auto executor = it->executor;
    const auto team = it->team;
    m_ledger.erase(id);
    m_pool.releaseSlot(executor);
    m_pool.onEnded(executor, end, now);
    const bool ran = !end.neverSent && !end.failed;
    m_queue.onEnded(team, ran ? std::optional(end.service) : std::nullopt, now);
}

// ---- Decisions -------------------------------------------------------------

// Every attempt is known now, so no slots need to be reserved for unattributed ones.
void DispatchLeader::onTakeoverComplete()
{
    for (InstanceOrdinal n = 0; n < m_pool.size(); ++n)
        m_pool.setUnattributedInFlight(n, 0);
    m_queue.setReservedSlots(0);
}

void DispatchLeader::decide(Instant now)
{
    if (m_takeover.tryComplete(m_options.members, m_links, now))
        onTakeoverComplete();
    if (!m_takeover.mayGrant(now))
        return;
    const auto isAvailable = [&](GroupId group) { return m_pool.available().intersects(m_groups.allowed(group)); };
    while (const auto ticket = m_queue.next(isAvailable)) {
        const auto executor = m_pool.choose(m_groups.allowed(ticket->group));
        if (!executor)
            break;
        grant(*ticket, *executor, now);
    }
}

void DispatchLeader::grant(const QueuedTicket& queued, InstanceOrdinal n, Instant now)
{
    const auto& ticket = *m_tickets.find(queued.id);
    const auto holder = ticket.holder;
    const auto& link = m_links.at(holder);
    const auto& executor = m_pool.at(n);
    schema::Grant grant;
    grant.set_sequence(ticket.sequence);
    grant.set_attempt(ticket.attempt);
    grant.set_executor(executor.name);
    grant.set_address(executor.address);
    grant.set_grant_ms(static_cast<uint64_t>(m_options.grantLifetime.count()));
    GrantedAttempt attempt;
    attempt.team = queued.team;
    attempt.executor = n;
    attempt.executorIncarnation = executor.incarnation;
    attempt.grantBatch = link.nextBatch;
    attempt.knownSince = now;
    attempt.deadline = queued.deadline;
    m_ledger.add({ holder, link.incarnation, ticket.sequence, ticket.attempt }, attempt);
    removeTicket(queued.id);
    m_queue.onStarted(queued.team, now);
    m_pool.acquireSlot(n);
    m_links.addGrant(holder, std::move(grant));
    ++m_stats.granted;
}

void DispatchLeader::onTick(Instant now)
{
    if (!m_leading)
        return;
    m_lastTickAt = now;
    m_pool.onTick(now);
    m_links.onTick(now);
    endClosedAttempts(m_ledger.expired(now), now);
    for (const auto it : m_tickets.pastDeadline(now))
        refuse(it, ErrorKind::DeadlinePassed, "the deadline passed while the request was waiting", Milliseconds(0));
    refuseWithoutExecutors(now);
    if (now >= m_lastSweepAt + sweepPeriod) {
        m_lastSweepAt = now;
        refuseInfeasible(now);
    }
    if (now >= m_lastRefreshAt + refreshPeriod) {
        m_lastRefreshAt = now;
        m_queue.refresh(m_remote.fleetSize(m_pool.totalSlots(), now), now);
    }
    std::erase_if(m_revokedKeys, [&](const auto& it) { return it.second + revokedKeyRetention <= now; });
}

std::vector<DispatchAction> DispatchLeader::takeActions(Instant now)
{
    std::vector<DispatchAction> actions;
    if (!m_leading)
        return actions;
    decide(now);
    for (auto& it : m_links.takeBatches(now))
        actions.emplace_back(SendGrants { std::move(it.holder), std::move(it.batch) });
    return actions;
}

void DispatchLeader::refuseWithoutExecutors(Instant now)
{
    if (!m_takeover.executorsRegistered(now))
        return;
    const auto groups = m_groups.disjointFrom(m_pool.live());
    if (groups.empty())
        return;
    for (const auto it : m_tickets.ofGroups(groups))
        refuse(it, ErrorKind::NoEndpoint, "no executor matches the selector", Milliseconds(0));
}

// Refuses waiting requests that can no longer start before their deadlines,
// because their team's slots or service times have changed. A request is assumed
// to wait for all requests of its team with earlier deadlines. It is refused only
// if the predicted wait exceeds the time left by half and predictionSlack.
void DispatchLeader::refuseInfeasible(Instant now)
{
    if (!m_takeover.mayGrant(now) || m_pool.totalSlots() == 0)
        return;
    std::vector<std::pair<TicketId, Duration>> infeasible;
    if (m_sweepPosition == TicketTable::DeadlinePosition {})
        m_requestsAhead.clear();
    m_sweepPosition = m_tickets.visitByDeadline(m_sweepPosition, ticketsPerSweep, [&](const WaitingTicket& it) {
        auto& ahead = m_requestsAhead[it.queued.team];
        const auto wait = predictedWait(m_queue, it.queued.team, ahead, m_pool.totalSlots());
        const auto left = it.queued.deadline - now;
        if (wait > left + left / 2 + predictionSlack)
            infeasible.emplace_back(it.queued.id, wait - left);
        else
            ++ahead;
    });
    for (const auto& it : infeasible)
        refuse(it.first, ErrorKind::DeadlineUnreachable, "the request cannot start before its deadline",
            clampRetryAfter(it.second));
}

// ---- Fleet -----------------------------------------------------------------

void DispatchLeader::onLoadSummary(const schema::LoadSummary& summary, Instant now)
{
    if (!m_leading || summary.data_centre() == m_options.dataCentre)
        return;
    m_remote.onSummary(summary, m_queue, now);
}

std::vector<RequestNeed> DispatchLeader::needs() const
{
    std::vector<RequestNeed> needs;
    m_queue.forEachTeam([&](TeamId team, uint32_t running, size_t waiting) {
        needs.push_back({ team, running, running + static_cast<uint32_t>(waiting) });
    });
    return needs;
}

schema::LoadSummary DispatchLeader::loadSummary() const
{
    schema::LoadSummary summary;
    summary.set_data_centre(m_options.dataCentre);
    summary.set_epoch(m_epoch);
    summary.set_free_slots(m_pool.freeSlots());
    summary.set_total_slots(m_pool.totalSlots());
    summary.set_waiting(static_cast<uint32_t>(m_queue.waiting()));
    m_queue.forEachTeam([&](TeamId team, uint32_t running, size_t waiting) {
        const auto slotTime = std::chrono::duration_cast<Milliseconds>(m_queue.slotTime(team));
        if (running == 0 && waiting == 0 && slotTime.count() == 0)
            return;
        auto* load = summary.add_teams();
        load->set_slot_ms(static_cast<uint64_t>(slotTime.count()));
        load->set_team_id(team);
        load->set_running(running);
        load->set_waiting(static_cast<uint32_t>(waiting));
    });
    return summary;
}

DispatchStats DispatchLeader::stats() const
{
    auto stats = m_stats;
    stats.executorsQuarantined = m_pool.quarantineCount();
    stats.waiting = m_queue.waiting();
    stats.inFlight = m_ledger.size();
    stats.executors = m_pool.size();
    stats.unattributedInFlight = m_pool.unattributedInFlight();
    stats.takeoverComplete = m_takeover.complete();
    return stats;
}

} // namespace teasel

// JobLeader: announcements and departures of executors. What another writer or a delayed message says is no evidence
// that an incarnation has ended: only an answer from its address or the end of its lease is.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds retryWhenUnavailable { 1'000 };
    constexpr Milliseconds claimLifetime { 4'000 }; // after its last announcement; two of these were missed
    // An announcement with a sequence number this far behind is not late: the one before it was false.
    constexpr uint64_t maxAnnouncementsBehind = 100;
    // An executor that is still in touch this long after its departure has not left.
    constexpr Milliseconds departureTimeout { 5'000 };

    bool isLate(uint64_t sequence, uint64_t last)
    {
        return sequence <= last && last - sequence < maxAnnouncementsBehind;
    }

    bool isSameLife(const schema::ExecutorRecord& a, const schema::ExecutorRecord& b)
    {
        return a.id() == b.id() && a.born_ms() == b.born_ms();
    }

} // namespace

void JobLeader::handleCall(uint64_t handle, ExecutorAnnouncement& call)
{
    auto& record = call.record;
    const auto coldUntil = m_now + Milliseconds(static_cast<int64_t>(call.coldRemainingMs));
    const auto registered = m_directory.withIdOrAddress(record.id(), record.address());
    for (const auto number : registered) {
        const auto* state = executorState(number);
        if (state == nullptr || !isSameLife(state->record, record) || state->record.address() != record.address())
            continue;
        auto& executor = m_executors.at(number);
        // A drain holds whatever the number of the announcement.
        const bool isIgnored = isLate(call.sequence, executor.lastSequence) && !record.draining();
        if (executor.isReplaced || isIgnored)
            return answer(handle, {});
        return updateExecutor(handle, executor, call);
    }
    if (const auto it = m_pendingRegistrations.find(record.id()); it != m_pendingRegistrations.end()) {
        if (it->second == record.born_ms())
            return answer(handle, {});
        // What moves to the previous incarnation must be committed before it can move on.
        return answer(
            handle, { CallStatus::Unavailable, "the previous incarnation is being registered", retryWhenUnavailable });
    }
    if (registered.empty() && !m_goneIncarnations.contains({ record.id(), record.born_ms() })) {
        raiseFence(record, m_lastExecutor + 1);
        registerExecutor(std::move(record), { 0, coldUntil, call.sequence });
        m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
        return;
    }
    ExecutorClaim claim { std::move(record), call.sequence, coldUntil, m_now };
    const auto number = m_claims.add(std::move(claim));
    if (m_claims.find(number)->probedAt == Instant())
        probeClaim(number);
    answer(handle, {});
}

void JobLeader::updateExecutor(uint64_t handle, LiveExecutor& executor, ExecutorAnnouncement& call)
{
    auto& record = call.record;
    const auto coldUntil = m_now + Milliseconds(static_cast<int64_t>(call.coldRemainingMs));
    if (!isLate(call.sequence, executor.lastSequence))
        executor.lastSequence = call.sequence;
    const bool hasStayed
        = executor.hasLeft() && !record.draining() && executor.answeredOrderSentAt > executor.leftAt + departureTimeout;
    if (hasStayed) {
        log("executor_departure_refuted", { { "executor", record.id() } });
        executor.leftAt = Instant();
    }
    executor.lastAnnouncedAt = m_now;
    // An announcement that was delayed shows an earlier reading of its clock.
    if (executor.lostAt != Instant() && executor.clock.isKnown() && call.clockMs > executor.clock.leaseUntilMs())
        refuteLoss(executor, "it announces itself after its lease");
    executor.coldUntil = coldUntil;
    if (record.draining())
        executor.drainedBy = m_now + Milliseconds(static_cast<int64_t>(call.drainRemainingMs));
    const auto& committed = executorState(executor.number)->record;
    if (!record.has_capacity())
        *record.mutable_capacity() = committed.capacity();
    const bool isDrainChange = record.draining() != committed.draining();
    const bool isCapacityChange = toVector(record.capacity()) != toVector(committed.capacity());
    executor.capacity = toVector(record.capacity());
    const bool isOtherChange = record.service() != committed.service() || record.zone() != committed.zone()
        || !std::equal(
            record.labels().begin(), record.labels().end(), committed.labels().begin(), committed.labels().end());
    if (!isDrainChange && !isCapacityChange && !isOtherChange)
        return answer(handle, {});
    executor.isDraining = executor.isDraining || record.draining();
    record.set_number(executor.number);
    if (isDrainChange)
        log("executor_draining",
            { { "executor", record.id() }, { "leaves_in_ms", std::to_string(call.drainRemainingMs) },
                { "runs", std::to_string(executor.runs.size()) } });
    if (isCapacityChange)
        log("executor_capacity_changed",
            { { "executor", record.id() }, { "capacity", describe(executor.capacity) },
                { "committed", describe(executor.committed) } });
    m_mustPlan = true;
    *change().mutable_executor() = std::move(record);
    m_batch.continuations.emplace_back(ExecutorWhenCommitted { executor.number, coldUntil });
    m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
}

uint32_t JobLeader::registerExecutor(schema::ExecutorRecord record, ExecutorWhenCommitted announced)
{
    record.set_number(++m_lastExecutor);
    m_pendingRegistrations[record.id()] = record.born_ms();
    log("executor_registered",
        { { "executor", record.id() }, { "number", std::to_string(record.number()) },
            { "born", std::to_string(record.born_ms()) }, { "address", record.address() },
            { "capacity", describe(toVector(record.capacity())) } });
    announced.number = m_lastExecutor;
    *change().mutable_executor() = std::move(record);
    m_batch.continuations.emplace_back(announced);
    return m_lastExecutor;
}

// ---- Claims ----------------------------------------------------------------

void JobLeader::logClaim(std::string_view event, const ExecutorClaim& claim, std::string_view reason)
{
    log(event,
        { { "executor", claim.record.id() }, { "born", std::to_string(claim.record.born_ms()) },
            { "address", claim.record.address() }, { "sequence", std::to_string(claim.sequence) },
            { "reason", std::string(reason) } });
}

void JobLeader::probeClaim(uint32_t number)
{
    const auto& claim = *m_claims.find(number);
    if (claim.probedAt == Instant())
        logClaim("executor_claimed", claim, "it contradicts what is known");
    const auto fence = nextFence();
    // If the claim is false, the registered incarnation answers and refuses orders with its previous fence.
    for (const auto registered : m_directory.withId(claim.record.id())) {
        const auto* state = executorState(registered);
        if (state != nullptr && state->record.address() == claim.record.address())
            m_executors.at(registered).fence = fence;
    }
    ++m_counters.renewals;
    const auto order = ++m_lastOrder;
    m_actions.emplace_back(SendOrder { order, claim.record.address(), claim.record.id(), fence, m_options.renewalSlack,
        RenewLease {}, number, claim.record.zone() });
    m_claims.recordProbe(number, order, m_now, m_now + m_options.renewalSlack + m_options.renewalRetry);
}

void JobLeader::checkClaims()
{
    for (const auto& it : m_claims.takeOlderThan(m_now - claimLifetime))
        logClaim("executor_claim_dropped", it, "neither confirmed nor announced again");
    for (const auto number : m_claims.dueForProbe(m_now))
        probeClaim(number);
}

void JobLeader::onClaimProbed(uint32_t number, const OrderResult& result)
{
    auto& claim = *m_claims.find(number);
    if (result.outcome == OrderOutcome::OtherIncarnation)
        return refuteClaim(number, "another executor answers at the address");
    // A list without a start time does not tell which incarnation answers.
    if (result.outcome != OrderOutcome::Done || (result.bornMs == 0 && claim.record.born_ms() != 0)) {
        claim.nextProbeAt = m_now + m_options.renewalRetry;
        return;
    }
    if (result.bornMs != claim.record.born_ms())
        return refuteClaim(number, "another incarnation answers");
    confirmClaim(number, claim.probedAt);
}

void JobLeader::refuteClaim(uint32_t number, std::string_view reason)
{
    logClaim("executor_claim_refuted", *m_claims.find(number), reason);
    m_claims.remove(number);
}

void JobLeader::confirmClaim(uint32_t number, Instant askedAt)
{
    auto& known = *m_claims.find(number);
    const auto contradicted = m_directory.withIdOrAddress(known.record.id(), known.record.address());
    // The one that was asked later and answered is the later one.
    const bool isOutdated = std::any_of(contradicted.begin(), contradicted.end(),
        [&](const auto it) { return m_executors.at(it).answeredOrderSentAt >= askedAt; });
    if (isOutdated || m_pendingRegistrations.contains(known.record.id())) {
        known.nextProbeAt = m_now + m_options.renewalRetry;
        return;
    }
    logClaim("executor_claim_confirmed", known, "it answers");
    const auto claim = m_claims.take(number);
    const auto& record = claim.record;
    m_goneIncarnations.erase({ record.id(), record.born_ms() });
    const auto moved = std::find_if(contradicted.begin(), contradicted.end(), [&](const auto it) {
        const auto* state = executorState(it);
        return state != nullptr && isSameLife(state->record, record) && !m_executors.at(it).isReplaced;
    });
    uint32_t successor = 0;
    if (moved == contradicted.end()) {
        successor = registerExecutor(record, { 0, claim.coldUntil, claim.sequence, askedAt });
    } else {
        successor = *moved;
        moveExecutor(successor, record.address());
    }
    for (const auto it : contradicted) {
        const auto* previous = executorState(it);
        if (it == successor || previous == nullptr)
            continue;
        // Orders name an id, so those in flight to an incarnation with another id are refused.
        const bool isSameId = previous->record.id() == record.id();
        const auto evidence = isSameId ? RunEvidence::IncarnationEnded : RunEvidence::AddressTaken;
        if (!m_executors.at(it).isReplaced)
            recordCrash(m_executors.at(it), evidence);
        rememberGone(it);
        removeIncarnation(it, "another incarnation has answered", evidence, isSameId ? successor : 0);
    }
}

void JobLeader::moveExecutor(uint32_t number, const std::string& address)
{
    auto record = executorState(number)->record;
    if (record.address() == address) // It was registered meanwhile.
        return;
    log("executor_moved", { { "executor", record.id() }, { "from", record.address() }, { "to", address } });
    record.set_address(address);
    *change().mutable_executor() = std::move(record);
    ExecutorWhenCommitted moved { number, m_executors.at(number).coldUntil };
    moved.hasMoved = true;
    m_batch.continuations.emplace_back(moved);
}

// ---- Departures ------------------------------------------------------------

void JobLeader::handleCall(uint64_t handle, ExecutorDeparture& call)
{
    for (const auto number : m_directory.withId(call.id)) {
        const auto* state = executorState(number);
        if (state == nullptr)
            continue;
        auto& executor = m_executors.at(number);
        // Without a start time it may be the delayed departure of a previous incarnation. Executors drain before they
        // leave.
        const bool isMeant = call.bornMs == 0 ? executor.isDraining : call.bornMs == state->record.born_ms();
        if (!isMeant)
            continue;
        if (!executor.hasLeft()) {
            log("executor_leaves", { { "executor", call.id }, { "runs", std::to_string(executor.runs.size()) } });
            executor.leftAt = m_now;
        }
        if (state->record.draining())
            break;
        // It gets no further work from the next leader either.
        auto record = state->record;
        record.set_draining(true);
        *change().mutable_executor() = std::move(record);
        m_batch.continuations.emplace_back(ExecutorWhenCommitted { number, executor.coldUntil });
        m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
        return;
    }
    answer(handle, {});
}

} // namespace teasel

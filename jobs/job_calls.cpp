// JobLeader: calls of callers, operators and executors.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds retryWhenUnavailable { 1'000 };
    const std::string backlogReason = "too many changes wait to be committed; the call had no effect";

    const std::string gangBeyondCapReason = "the team's cap never lets a gang of this size start; the job never runs";

    CallAnswer makeRefusal(CallStatus status, std::string reason) { return { status, std::move(reason) }; }

    std::string millis(double it) { return std::to_string(static_cast<int64_t>(it)); }

    bool isKnownRegion(const JobLeaderOptions& options, std::string_view region)
    {
        return std::any_of(
            options.regions.begin(), options.regions.end(), [&](const auto& it) { return it.second == region; });
    }

} // namespace

void JobLeader::onCall(uint64_t handle, JobCall call, Instant now, WallTime wall)
{
    m_now = now;
    m_wall = wall;
    if (!isLeading()) {
        answer(handle, { CallStatus::Unavailable, "this instance is not the leader", retryWhenUnavailable });
        return;
    }
    std::visit([&](auto& it) { handleCall(handle, it); }, call);
}

// ---- Authorization -------------------------------------------------------

std::variant<std::string, CallAnswer> JobLeader::teamForKey(const schema::JobQueue& queue, std::string_view key) const
{
    if (const auto* team = m_state.configurationIndex().teamOfKey(key))
        return team->name();
    if (queue.open())
        return std::string();
    return makeRefusal(CallStatus::Unauthenticated, "unknown key");
}

std::variant<const schema::JobQueue*, CallAnswer> JobLeader::authorizeCall(
    std::string_view host, std::string_view path, std::string_view key, std::string* team) const
{
    if (m_state.configuration().version() == 0)
        return CallAnswer { CallStatus::Unavailable, "there is no configuration yet", retryWhenUnavailable };
    const auto* queue = m_state.configurationIndex().findQueue(host, path);
    if (queue == nullptr)
        return makeRefusal(CallStatus::NoQueue, "no queue has this host and path");
    auto allowed = teamForKey(*queue, key);
    if (auto* refusal = std::get_if<CallAnswer>(&allowed))
        return std::move(*refusal);
    if (team != nullptr)
        *team = std::get<std::string>(allowed);
    return queue;
}

// ---- Jobs ----------------------------------------------------------------

std::optional<CallAnswer> JobLeader::checkRequest(const schema::JobRequest& request) const
{
    const auto bad = [](std::string reason) { return CallAnswer { CallStatus::BadRequest, std::move(reason) }; };
    if (request.steps().empty() || static_cast<size_t>(request.steps_size()) > m_options.maxSteps)
        return bad("a job has 1 to " + std::to_string(m_options.maxSteps) + " steps");
    if (request.payload().size() > m_options.maxPayloadBytes)
        return bad("the payload is longer than " + std::to_string(m_options.maxPayloadBytes) + " bytes");
    if (request.ByteSizeLong() > m_options.maxChangeBytes)
        return CallAnswer { CallStatus::TooLarge,
            "a job has at most " + std::to_string(m_options.maxChangeBytes) + " bytes in the log" };
    uint64_t tasks = 0;
    for (int n = 0; n < request.steps_size(); ++n) {
        const auto& step = request.steps(n);
        tasks += step.count();
        if (step.count() == 0 || tasks > m_options.maxTasks)
            return bad("a job has 1 to " + std::to_string(m_options.maxTasks) + " tasks, and each step at least one");
        for (const auto before : step.depends_on()) {
            if (before >= static_cast<uint32_t>(n))
                return bad("step " + std::to_string(n) + " depends on itself or a later step");
        }
    }
    return std::nullopt;
}

bool JobLeader::isFeasible(const schema::JobRequest& request, const schema::JobQueue& queue) const
{
    const auto& executors = m_state.executors();
    const bool hasExecutors = std::any_of(executors.begin(), executors.end(),
        [&](const auto& it) { return it.second.record.service() == queue.service(); });
    return !hasExecutors || std::all_of(request.steps().begin(), request.steps().end(), [&](const auto& step) {
        const auto need = needOf(step);
        return std::any_of(executors.begin(), executors.end(), [&](const auto& executor) {
            const auto& it = executor.second;
            const auto& labels = it.record.labels();
            const auto& regions = queue.allowed_regions();
            return it.record.service() == queue.service() && need.fitsIn(it.largestCapacity)
                && (regions.empty() || std::find(regions.begin(), regions.end(), regionOf(it)) != regions.end())
                && (step.required_label().empty()
                    || std::find(labels.begin(), labels.end(), step.required_label()) != labels.end());
        });
    });
}

bool JobLeader::hasGangBeyondCap(const schema::JobRequest& request, std::string_view team) const
{
    const auto cap = capOf(team);
    return std::any_of(request.steps().begin(), request.steps().end(), [&](const auto& step) {
        return step.gang() && cap.gangTasksThatMayStart(needOf(step), step.count(), {}) == 0;
    });
}

std::optional<JobLeader::Submission> JobLeader::acceptedSubmission(uint64_t id) const
{
    if (const auto* job = m_state.find(id))
        return Submission { job->request.team(), job->request.submitted_by() };
    if (const auto pending = m_pendingSubmissions.find(id); pending != m_pendingSubmissions.end())
        return pending->second;
    return std::nullopt;
}

void JobLeader::answerAccepted(uint64_t handle, uint64_t id)
{
    if (m_pendingSubmissions.contains(id))
        m_resubmissions[id].push_back(handle);
    else
        answer(handle, { CallStatus::Accepted, {} });
}

void JobLeader::handleCall(uint64_t handle, SubmitJob& call)
{
    // A copy of a call that was accepted is not judged again, since its key or queue may have been removed meanwhile.
    const auto* submitted = std::get_if<schema::JobRequest>(&call.request);
    const auto earlier = submitted == nullptr ? std::nullopt : acceptedSubmission(submitted->id());
    if (earlier && isSameCall(earlier->origin, call.origin)) {
        log("submission_resent", { { "job", jobIdText(submitted->id()) }, { "from", call.origin.instance() } });
        return answerAccepted(handle, submitted->id());
    }
    std::string team;
    auto authorized = authorizeCall(call.host, call.path, call.key, &team);
    if (auto* refusal = std::get_if<CallAnswer>(&authorized))
        return answer(handle, std::move(*refusal));
    const auto& queue = *std::get<const schema::JobQueue*>(authorized);
    if (const auto* error = std::get_if<Error>(&call.request))
        return answer(handle, { CallStatus::BadRequest, error->message });
    auto& request = std::get<schema::JobRequest>(call.request);
    const auto id = request.id();
    if (earlier && earlier->team != team && !queue.open()) {
        // The answer must not tell that there is such a job.
        log("job_refused", { { "job", jobIdText(id) }, { "team", team }, { "reason", "its id is another team's" } });
        return answer(handle, makeRefusal(CallStatus::Refused, "the job has not been accepted; it never runs"));
    }
    if (earlier) // The caller has repeated its submission.
        return answerAccepted(handle, id);
    if (m_state.wasCancelledUnseen(id) || m_pendingCancellations.contains(id)) {
        log("job_refused", { { "job", jobIdText(id) }, { "reason", "cancelled before it arrived" } });
        return answer(handle, { CallStatus::Refused, "the job was cancelled before it arrived; it never runs" });
    }
    if (auto refusal = checkRequest(request))
        return answer(handle, std::move(*refusal));
    if (isBacklogged()) {
        log("job_refused", { { "job", jobIdText(id) }, { "reason", backlogReason } });
        return answer(handle, { CallStatus::Refused, backlogReason, retryWhenUnavailable });
    }
    if (!isFeasible(request, queue)) {
        log("job_rejected",
            { { "job", jobIdText(id) }, { "reason", "no executor with the required label is large enough" } });
        return answer(handle, { CallStatus::BadRequest, "no executor with the required label is large enough" });
    }
    if (hasGangBeyondCap(request, team)) {
        log("job_refused", { { "job", jobIdText(id) }, { "team", team }, { "reason", gangBeyondCapReason } });
        return answer(handle, makeRefusal(CallStatus::Refused, gangBeyondCapReason));
    }
    request.set_queue(JobState::queueKey(queue));
    request.set_team(team);
    request.set_accepted_at_ms(static_cast<uint64_t>(m_wall.time_since_epoch().count()));
    request.set_occurrences(std::max(1U, request.occurrences()));
    const auto demand = demandOf(request, queue);
    const auto latestStart = m_now + Duration(static_cast<int64_t>(demand.slackMs * 1'000));
    auto& summary = summaryFor(queue.service());
    const auto load = summary.aheadOf(latestStart);
    const auto verdict
        = m_options.isContentionControlled ? decideByForecast(demand) : m_admission.decide(demand, load, m_now);
    log(verdict.isAccepted ? "job_accepted" : "job_refused",
        { { "job", jobIdText(id) }, { "queue", request.queue() }, { "team", team },
            { "configuration", std::to_string(m_state.configuration().version()) },
            { "expected_wait_ms", millis(verdict.waitMs) }, { "slack_ms", millis(demand.slackMs) },
            { "ahead_mcpu", std::to_string(load.ahead.amounts[0]) },
            { "free_mcpu", std::to_string(load.free.amounts[0]) }, { "free_mib", std::to_string(load.free.amounts[1]) },
            { "total_mcpu", std::to_string(load.total.amounts[0]) }, { "reason", std::string(nameOf(verdict.reason)) },
            { "borrowed", verdict.isBorrowed ? "true" : "false" },
            { "retry_after_ms", std::to_string(verdict.retryAfter.count()) } });
    if (!verdict.isAccepted) {
        ++m_counters.refused;
        return answer(handle,
            { CallStatus::Refused, "the job could not end in time; it has not been accepted", verdict.retryAfter });
    }
    ++m_counters.accepted;
    if (request.first_at_ms() == 0)
        m_latencies.onSubmitted(id, m_now);
    summary.add({ latestStart, demand.initialNeed });
    m_forecastAdmission.recordAccepted(demand, request.queue(), verdict.isBorrowed, m_now);
    request.set_borrowed(verdict.isBorrowed);
    *request.mutable_submitted_by() = call.origin;
    m_pendingSubmissions[id] = { team, call.origin };
    *change().mutable_accepted() = std::move(request);
    m_batch.continuations.emplace_back(JobAcceptedWhenCommitted { id });
    m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, { CallStatus::Accepted, {} } });
}

void JobLeader::handleCall(uint64_t handle, QueryJob& call)
{
    auto authorized = authorizeCall(call.host, call.path, call.key, nullptr);
    if (auto* refusal = std::get_if<CallAnswer>(&authorized))
        return answer(handle, std::move(*refusal));
    const auto* job = m_state.find(call.job);
    if (job == nullptr)
        return answer(handle, { CallStatus::NoJob, "no such job" });
    if (job->phase == JobPhase::Running) {
        m_stateQueries[call.job].push_back({ handle, m_now + m_options.stateQueryWait });
        return;
    }
    CallAnswer reply;
    reply.phase = job->phase;
    answer(handle, std::move(reply));
}

void JobLeader::answerStateQueries(uint64_t id, bool all)
{
    const auto found = m_stateQueries.find(id);
    if (found == m_stateQueries.end())
        return;
    const auto* job = m_state.find(id);
    std::erase_if(found->second, [&](const StateQuery& it) {
        if (!all && it.answerBy > m_now)
            return false;
        CallAnswer reply;
        if (job == nullptr)
            reply = { CallStatus::NoJob, "no such job" };
        else
            reply.phase = job->phase;
        answer(it.handle, std::move(reply));
        return true;
    });
    if (found->second.empty())
        m_stateQueries.erase(found);
}

void JobLeader::answerTimedOutStateQueries()
{
    std::vector<uint64_t> late;
    for (const auto& [job, queries] : m_stateQueries) {
        if (queries.front().answerBy <= m_now)
            late.push_back(job);
    }
    for (const auto job : late)
        answerStateQueries(job, false);
}

bool JobLeader::hasCancelled(const CancelJob& call) const
{
    if (const auto pending = m_pendingCancellers.find(call.job); pending != m_pendingCancellers.end())
        return isSameCall(pending->second, call.origin);
    const auto* job = m_state.find(call.job);
    return job != nullptr && isSameCall(job->cancelledBy, call.origin);
}

void JobLeader::handleCall(uint64_t handle, CancelJob& call)
{
    if (hasCancelled(call)) { // Like a copy of an accepted submission, it is not judged again.
        log("cancellation_resent", { { "job", jobIdText(call.job) }, { "from", call.origin.instance() } });
        m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
        return;
    }
    auto authorized = authorizeCall(call.host, call.path, call.key, nullptr);
    if (auto* refusal = std::get_if<CallAnswer>(&authorized))
        return answer(handle, std::move(*refusal));
    const auto* job = m_state.find(call.job);
    if (job == nullptr && !m_pendingSubmissions.contains(call.job))
        return cancelUnseenJob(handle, call.job);
    if (job != nullptr && job->hasEnded())
        return answer(handle, {});
    log("job_cancelled", { { "job", jobIdText(call.job) } });
    auto& cancellation = change();
    cancellation.set_cancelled(call.job);
    *cancellation.mutable_cancelled_by() = call.origin;
    m_pendingCancellers.try_emplace(call.job, call.origin);
    m_batch.continuations.emplace_back(JobEndedWhenCommitted { call.job });
    m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
}

// The submission of an unknown job may still be on its way.
void JobLeader::cancelUnseenJob(uint64_t handle, uint64_t job)
{
    if (m_state.wasCancelledUnseen(job))
        return answer(handle, { CallStatus::NoJob, "no such job" });
    if (m_state.cancelledUnseen() + m_pendingCancellations.size() >= m_options.maxCancelledUnseen) {
        log("cancellation_refused",
            { { "job", jobIdText(job) }, { "reason", "too many unknown jobs were cancelled" } });
        return answer(
            handle, { CallStatus::Unavailable, "too many unknown jobs were cancelled", retryWhenUnavailable });
    }
    log("unseen_job_cancelled", { { "job", jobIdText(job) } });
    m_pendingCancellations.insert(job);
    change().set_cancelled(job);
    m_batch.continuations.emplace_back(UnseenJobCancelledWhenCommitted { handle, job });
}

void JobLeader::execute(UnseenJobCancelledWhenCommitted& it)
{
    m_pendingCancellations.erase(it.job);
    answer(it.handle, { CallStatus::NoJob, "no such job" });
}

void JobLeader::handleCall(uint64_t handle, QueryQueue& call)
{
    auto authorized = authorizeCall(call.host, call.path, call.key, nullptr);
    if (auto* refusal = std::get_if<CallAnswer>(&authorized))
        return answer(handle, std::move(*refusal));
    const auto key = JobState::queueKey(*std::get<const schema::JobQueue*>(authorized));
    CallAnswer reply;
    reply.pending = m_state.queuedJobs(key) + jobsWithoutKnownStart(key);
    answer(handle, std::move(reply));
}

// ---- Configuration -------------------------------------------------------

void JobLeader::handleCall(uint64_t handle, PutConfiguration& call)
{
    auto& next = call.configuration;
    const auto& current = m_proposedConfiguration;
    if (next.version() == current.version() && next.document() != current.document()) {
        log("configuration_refused",
            { { "version", std::to_string(next.version()) }, { "reason", "the version in force has other content" } });
        return answer(handle, { CallStatus::Conflict, "the version in force has other content" });
    }
    if (next.version() <= current.version()) {
        log("configuration_repeated",
            { { "version", std::to_string(next.version()) }, { "in_force", std::to_string(current.version()) } });
        m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
        return;
    }
    for (const auto& queue : next.queues()) {
        for (const auto& region : queue.allowed_regions()) {
            if (isKnownRegion(m_options, region))
                continue;
            auto reason = "route " + queue.name() + ": allowedRegions: region " + region + " is not known";
            log("configuration_refused", { { "version", std::to_string(next.version()) }, { "reason", reason } });
            return answer(handle, makeRefusal(CallStatus::BadRequest, std::move(reason)));
        }
    }
    if (const auto bytes = next.ByteSizeLong(); bytes > m_options.maxChangeBytes) {
        auto reason = "the configuration has " + std::to_string(bytes) + " bytes in the log, of at most "
            + std::to_string(m_options.maxChangeBytes);
        log("configuration_refused", { { "version", std::to_string(next.version()) }, { "reason", reason } });
        return answer(handle, makeRefusal(CallStatus::TooLarge, std::move(reason)));
    }
    if (isBacklogged()) {
        log("configuration_refused", { { "version", std::to_string(next.version()) }, { "reason", backlogReason } });
        return answer(handle, { CallStatus::Unavailable, backlogReason, retryWhenUnavailable });
    }
    log("configuration_proposed",
        { { "version", std::to_string(next.version()) }, { "in_force", std::to_string(current.version()) },
            { "queues", std::to_string(next.queues_size()) }, { "teams", std::to_string(next.teams_size()) } });
    m_proposedConfiguration = next;
    *change().mutable_configuration() = std::move(next);
    m_batch.continuations.emplace_back(ConfigurationWhenCommitted { handle });
}

void JobLeader::execute(ConfigurationWhenCommitted& it)
{
    absl::btree_map<std::string, double> weights;
    for (const auto& team : m_state.configuration().teams())
        weights[team.name()] = team.weight();
    m_admission.setWeights(weights);
    m_forecastAdmission.setWeights(weights);
    deriveStepsFromQueues();
    log("configuration_in_force", { { "version", std::to_string(m_state.configuration().version()) } });
    answer(it.handle, {});
}

void JobLeader::handleCall(uint64_t handle, GetConfiguration&)
{
    if (m_state.configuration().version() == 0)
        return answer(handle, { CallStatus::Unavailable, "there is no configuration yet", retryWhenUnavailable });
    CallAnswer reply;
    reply.document = m_state.configuration().document();
    answer(handle, std::move(reply));
}

} // namespace teasel

#include "node/endpoint_gateway.h"

#include "node/http_responses.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <utility>

namespace teasel {

namespace {

    constexpr Duration proposalTimeout = std::chrono::milliseconds(1'200);
    constexpr std::string_view jobsPath = "/v1/jobs";

    uint64_t wallMs(const Clock& clock) { return static_cast<uint64_t>(clock.wallNow().time_since_epoch().count()); }

    HttpResponse responseFrom(const schema::ForwardedReply& reply)
    {
        switch (reply.body_case()) {
        case schema::ForwardedReply::kExecutor:
            return messageResponse(reply.executor());
        case schema::ForwardedReply::kWorker:
            return messageResponse(reply.worker());
        case schema::ForwardedReply::kJobStatus:
            return messageResponse(reply.job_status());
        case schema::ForwardedReply::kJobAccepted:
            return messageResponse(reply.job_accepted());
        case schema::ForwardedReply::kFailure:
            return errorResponse(errorFrom(reply.failure()), {});
        case schema::ForwardedReply::BODY_NOT_SET:
            break;
        }
        return errorResponse({ ErrorKind::Internal, "the forwarded reply has no body", {} }, {});
    }

} // namespace

std::string dataCentreOfJob(std::string_view jobId) { return std::string(jobId.substr(0, jobId.rfind('.'))); }

EndpointGateway::EndpointGateway(std::string dataCentre, const Clock& clock, HttpServer& server, Forwarder& forwarder,
    LeaderPlanes& leaderPlanes, StateClient& stateClient, const ConfigView& config)
    : m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
    , m_server(server)
    , m_forwarder(forwarder)
    , m_leaderPlanes(leaderPlanes)
    , m_stateClient(stateClient)
    , m_config(config)
{
}

bool EndpointGateway::onHttp(const HttpRequest& request, bool mayServe, Instant now)
{
    const std::string_view path = request.path;
    if (path == "/v1/executors/announce") {
        handleExecutorAnnouncement(request, now);
        return true;
    }
    if (path == "/v1/workers/report") {
        handleWorkerReport(request, now);
        return true;
    }
    if (!path.starts_with(jobsPath))
        return false;
    if (!mayServe) {
        sendError(request, { ErrorKind::CutOff, "this instance has no authority to serve yet", {} });
        return true;
    }
    const auto id = path.size() > jobsPath.size() + 1 ? path.substr(jobsPath.size() + 1) : std::string_view {};
    if (request.method == "POST" && id.empty())
        submitJob(request, now);
    else if (request.method == "DELETE" && !id.empty())
        cancelJob(request, id, now);
    else if (request.method == "GET")
        showJobs(request, id, now);
    else
        sendError(
            request, { ErrorKind::BadRequest, fmt::format("{} is not supported at {}", request.method, path), {} });
    return true;
}

void EndpointGateway::sendError(const HttpRequest& request, const Error& error)
{
    m_server.answer(request.handle, errorResponse(error, request.header("teasel-request-id")));
}

void EndpointGateway::route(const HttpRequest& request, schema::Forwarded message, Instant now)
{
    if (!message.data_centre().empty() && !m_forwarder.knowsDataCentre(message.data_centre())) {
        sendError(
            request, { ErrorKind::NotFound, fmt::format("there is no data centre '{}'", message.data_centre()), {} });
        return;
    }
    m_forwarder.route(std::move(message), now, [this, handle = request.handle](const schema::ForwardedReply& reply) {
        m_server.answer(handle, responseFrom(reply));
    });
}

void EndpointGateway::handleExecutorAnnouncement(const HttpRequest& request, Instant now)
{
    schema::Forwarded message;
    const auto parsed = valueOrError([&] { return parseJson(request.body, *message.mutable_executor()); });
    if (const auto* error = std::get_if<Error>(&parsed)) {
        sendError(request, *error);
        return;
    }
    if (message.executor().data_centre().empty())
        message.mutable_executor()->set_data_centre(m_dataCentre);
    message.set_data_centre(message.executor().data_centre());
    route(request, std::move(message), now);
}

void EndpointGateway::handleWorkerReport(const HttpRequest& request, Instant now)
{
    schema::Forwarded message;
    const auto parsed = valueOrError([&] { return parseJson(request.body, *message.mutable_worker()); });
    if (const auto* error = std::get_if<Error>(&parsed)) {
        sendError(request, *error);
        return;
    }
    if (message.worker().data_centre().empty())
        message.mutable_worker()->set_data_centre(m_dataCentre);
    message.set_data_centre(message.worker().data_centre());
    route(request, std::move(message), now);
}

Result<KeyIdentity> EndpointGateway::identify(const HttpRequest& request) const
{
    return m_config.identify(bearerToken(request));
}

std::string EndpointGateway::makeJobId(const HttpRequest& request, const std::string& dataCentre, TeamId team)
{
    const auto requestId = request.header("teasel-request-id");
    const auto seed = requestId.empty() ? fmt::format("{}/{}/{}", m_jobIdCounter++, request.handle, wallMs(m_clock))
                                        : std::string(requestId);
    return fmt::format("{}.{:016x}", dataCentre, XXH64(seed.data(), seed.size(), team));
}

void EndpointGateway::submitJob(const HttpRequest& request, Instant now)
{
    schema::Forwarded message;
    auto& record = *message.mutable_job_submission()->mutable_record();
    const auto parsed = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_AUTO(identity, identify(request));
        if (identity.role != schema::ROLE_SUBMITTER)
            return fail(ErrorKind::Forbidden, "only a submitter's key may submit work");
        record.set_team_id(identity.team);
        return parseJson(request.body, *record.mutable_spec());
    });
    if (const auto* error = std::get_if<Error>(&parsed)) {
        sendError(request, *error);
        return;
    }
    const auto& requestedDataCentre = record.spec().data_centre();
    record.set_data_centre(requestedDataCentre.empty() ? m_dataCentre : requestedDataCentre);
    record.set_id(makeJobId(request, record.data_centre(), record.team_id()));
    record.set_submitted_wall_ms(wallMs(m_clock));
    record.set_phase(schema::JOB_PHASE_PENDING);
    message.set_data_centre(record.data_centre());
    route(request, std::move(message), now);
}

void EndpointGateway::showJobs(const HttpRequest& request, std::string_view id, Instant now)
{
    const auto identity = valueOrError([&] { return identify(request); });
    if (const auto* error = std::get_if<Error>(&identity)) {
        sendError(request, *error);
        return;
    }
    const auto& caller = std::get<KeyIdentity>(identity);
    schema::Forwarded message;
    message.mutable_job_status()->set_job_id(std::string(id));
    message.mutable_job_status()->set_team_id(caller.role == schema::ROLE_SUBMITTER ? caller.team : 0);
    const auto requestedDataCentre = request.queryValue("data_centre");
    message.set_data_centre(id.empty() ? std::string(requestedDataCentre) : dataCentreOfJob(id));
    route(request, std::move(message), now);
}

void EndpointGateway::cancelJob(const HttpRequest& request, std::string_view id, Instant now)
{
    const auto identity = valueOrError([&] { return identify(request); });
    if (const auto* error = std::get_if<Error>(&identity)) {
        sendError(request, *error);
        return;
    }
    const auto& caller = std::get<KeyIdentity>(identity);
    if (caller.role == schema::ROLE_VIEWER) {
        sendError(request, { ErrorKind::Forbidden, "a viewer's key may not cancel jobs", {} });
        return;
    }
    schema::Forwarded message;
    message.mutable_job_cancellation()->set_job_id(std::string(id));
    message.mutable_job_cancellation()->set_team_id(caller.team);
    message.set_data_centre(dataCentreOfJob(id));
    route(request, std::move(message), now);
}

void EndpointGateway::handleLocally(const schema::Forwarded& message, const Forwarder::Reply& reply)
{
    const auto now = m_clock.now();
    schema::ForwardedReply out;
    switch (message.body_case()) {
    case schema::Forwarded::kExecutor:
        *out.mutable_executor() = m_leaderPlanes.dispatch().onAnnounce(message.executor(), now);
        reply(std::move(out));
        return;
    case schema::Forwarded::kWorker:
        *out.mutable_worker() = m_leaderPlanes.placement().onReport(message.worker(), now);
        reply(std::move(out));
        return;
    case schema::Forwarded::kJobStatus:
        reply(viewJobs(message.job_status()));
        return;
    case schema::Forwarded::kJobSubmission:
        acceptJob(message.job_submission().record(), reply);
        return;
    case schema::Forwarded::kJobCancellation:
        cancelLocally(message.job_cancellation(), reply);
        return;
    case schema::Forwarded::BODY_NOT_SET:
        break;
    }
    reply(failedReply({ ErrorKind::BadRequest, "the forwarded message has no body", {} }));
}

schema::ForwardedReply EndpointGateway::viewJobs(const schema::JobStatusRequest& request) const
{
    schema::ForwardedReply out;
    auto& status = *out.mutable_job_status();
    if (request.job_id().empty()) {
        for (auto& it : m_leaderPlanes.placement().jobViews(request.team_id()))
            *status.add_jobs() = std::move(it);
        return out;
    }
    auto view = m_leaderPlanes.placement().jobView(request.job_id());
    const bool visible = request.team_id() == 0 || view.team_id() == request.team_id();
    if (view.job_id().empty() || !visible)
        return failedReply({ ErrorKind::NotFound, fmt::format("there is no job '{}'", request.job_id()), {} });
    *status.add_jobs() = std::move(view);
    return out;
}

void EndpointGateway::acceptJob(const schema::JobRecord& record, const Forwarder::Reply& reply)
{
    const auto placeable = valueOrError([&] { return m_leaderPlanes.placement().checkFeasibility(record.spec()); });
    if (const auto* error = std::get_if<Error>(&placeable)) {
        reply(failedReply(*error));
        return;
    }
    schema::Command command;
    *command.mutable_submit_job() = record;
    m_stateClient.propose(std::move(command), false, proposalTimeout, m_clock.now(),
        [reply, id = record.id()](const schema::CommandResult* result, const Error* error) {
            schema::ForwardedReply out;
            if (error != nullptr)
                out = failedReply(*error);
            else if (result->has_failure())
                *out.mutable_failure() = result->failure();
            else
                out.mutable_job_accepted()->set_job_id(id);
            reply(std::move(out));
        });
}

void EndpointGateway::cancelLocally(const schema::JobCancellation& cancellation, const Forwarder::Reply& reply)
{
    const auto view = m_leaderPlanes.placement().jobView(cancellation.job_id());
    const bool visible = cancellation.team_id() == 0 || view.team_id() == cancellation.team_id();
    if (view.job_id().empty() || !visible) {
        reply(failedReply({ ErrorKind::NotFound, fmt::format("there is no job '{}'", cancellation.job_id()), {} }));
        return;
    }
    schema::Command command;
    auto& progress = *command.mutable_job_progress();
    progress.set_id(cancellation.job_id());
    progress.set_phase(schema::JOB_PHASE_CANCELLED);
    progress.set_reason("cancelled on request");
    m_stateClient.propose(std::move(command), false, proposalTimeout, m_clock.now(),
        [reply, id = cancellation.job_id()](const schema::CommandResult*, const Error* error) {
            schema::ForwardedReply out;
            if (error != nullptr)
                out = failedReply(*error);
            else
                out.mutable_job_accepted()->set_job_id(id);
            reply(std::move(out));
        });
}

} // namespace teasel

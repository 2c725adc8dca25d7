#include "main/teasel_commands.h"
#include "main/teasel_json.h"
#include "naming/selector.h"
#include "peer.pb.h"
#include "settings/settings_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>

namespace teasel {

namespace {

    constexpr uint64_t defaultResponseTimeoutMs = 60'000;
    constexpr std::chrono::milliseconds responseTimeoutMargin { 5'000 };

    struct JobOptions {
        std::string id;
        std::string file;
        std::string requestId;
        std::string dataCentre;
    };

    struct RequestOptions {
        std::string className;
        std::string body;
        std::string bodyFile;
        std::string contentType = "application/octet-stream";
        std::string requestId;
        std::string selector;
        std::optional<uint64_t> deadlineMs;
    };

    Result<std::string> idOrRandom(const std::string& given)
    {
        if (!given.empty())
            return given;
        return randomId();
    }

    // Turns `JOB_PHASE_RUNNING` into `running`.
    std::string shortName(std::string name, std::string_view prefix)
    {
        name.erase(0, std::min(prefix.size(), name.size()));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return name;
    }

    Result<ApiRequest> makeSubmission(const JobOptions& options)
    {
        schema::JobSpec spec;
        BOOST_LEAF_CHECK(readSettings(options.file, spec));
        BOOST_LEAF_CHECK(parseSelector(spec.selector()));
        BOOST_LEAF_AUTO(id, idOrRandom(options.requestId));
        return ApiRequest { "POST", "/v1/jobs", { { "Content-Type", "application/json" }, { "Teasel-Request-Id", id } },
            toJson(spec) };
    }

    ExitCode submitJob(Session& session, const JobOptions& options)
    {
        const auto prepared = valueOrError([&] { return makeSubmission(options); });
        if (const auto* error = std::get_if<Error>(&prepared))
            return session.out.reportRefusal(*error);
        const auto& apiRequest = std::get<0>(prepared);
        const auto outcome = session.client.send(apiRequest, RetryPolicy::Always);
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return session.out.reportUnreachable(*failure,
                fmt::format(
                    "the job may have been accepted: submit it again with --request-id {}; it is accepted at most once",
                    apiRequest.headers[1].value));
        const auto& response = std::get<ApiResponse>(outcome);
        if (response.status >= 300)
            return session.out.reportRefusal(response);
        schema::JobAccepted accepted;
        const auto parsed = valueOrError([&] { return fromJson(response.body, accepted); });
        if (const auto* error = std::get_if<Error>(&parsed))
            return session.out.reportRefusal(*error);
        session.out.print(
            session.out.isJson() ? toJson(accepted) : fmt::format("accepted: job {}\n", accepted.job_id()));
        return ExitCode::Accepted;
    }

    void showJobs(Output& out, const schema::JobStatus& status, bool showTasks)
    {
        Table table({ "job", "name", "phase", "tasks", "running", "waiting", "finished", "reason" });
        for (const auto& it : status.jobs())
            table.add({ it.job_id(), it.name(), shortName(schema::JobPhase_Name(it.phase()), "JOB_PHASE_"),
                fmt::format("{}", it.tasks()), fmt::format("{}", it.running()), fmt::format("{}", it.waiting()),
                fmt::format("{}", it.finished()), it.reason() });
        out.show(status, table);
        if (!showTasks || out.isJson())
            return;
        Table tasks({ "task", "attempt", "worker", "state" });
        for (const auto& job : status.jobs()) {
            for (const auto& it : job.placed())
                tasks.add({ fmt::format("{}", it.index()), fmt::format("{}", it.attempt()), it.worker(),
                    shortName(schema::TaskState_Name(it.state()), "TASK_STATE_") });
        }
        out.print("\n" + tasks.text());
    }

    ExitCode queryJobs(Session& session, const std::string& path, bool showTasks)
    {
        const auto outcome = session.client.send({ "GET", path, {}, {} }, RetryPolicy::Always);
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return session.out.reportUnreachable(*failure, "check --server and try again");
        const auto& response = std::get<ApiResponse>(outcome);
        if (response.status != 200)
            return session.out.reportRefusal(response);
        schema::JobStatus status;
        const auto parsed = valueOrError([&] { return fromJson(response.body, status); });
        if (const auto* error = std::get_if<Error>(&parsed))
            return session.out.reportRefusal(*error);
        showJobs(session.out, status, showTasks);
        return ExitCode::Accepted;
    }

    ExitCode showJob(Session& session, const JobOptions& options)
    {
        return queryJobs(session, fmt::format("/v1/jobs/{}", options.id), true);
    }

    ExitCode listJobs(Session& session, const JobOptions& options)
    {
        const auto query = options.dataCentre.empty() ? "" : fmt::format("?data_centre={}", options.dataCentre);
        return queryJobs(session, "/v1/jobs" + query, false);
    }

    ExitCode cancelJob(Session& session, const JobOptions& options)
    {
        ApiRequest apiRequest;
        apiRequest.method = "DELETE";
        apiRequest.path = fmt::format("/v1/jobs/{}", options.id);
        const auto outcome = session.client.send(std::move(apiRequest), RetryPolicy::Always);
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return session.out.reportUnreachable(*failure, "cancel it again; cancelling twice is harmless");
        const auto& response = std::get<ApiResponse>(outcome);
        if (response.status >= 300)
            return session.out.reportRefusal(response);
        session.out.print(
            session.out.isJson() ? response.body + "\n" : fmt::format("accepted: cancellation of {}\n", options.id));
        return ExitCode::Accepted;
    }

    Result<std::string> bodyOf(const RequestOptions& options)
    {
        if (options.bodyFile.empty())
            return options.body;
        std::ifstream file(options.bodyFile, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        if (!file)
            return fail(ErrorKind::NotFound, fmt::format("{}: cannot be read", options.bodyFile));
        return text.str();
    }

    Result<ApiRequest> makeApiRequest(const RequestOptions& options)
    {
        BOOST_LEAF_AUTO(body, bodyOf(options));
        BOOST_LEAF_AUTO(id, idOrRandom(options.requestId));
        ApiRequest apiRequest { "POST", fmt::format("/v1/requests/{}", options.className),
            { { "Teasel-Request-Id", id }, { "Content-Type", options.contentType } }, body };
        const auto responseTimeoutMs = options.deadlineMs.value_or(defaultResponseTimeoutMs);
        apiRequest.timeout = responseTimeoutMargin + std::chrono::milliseconds(responseTimeoutMs);
        if (options.deadlineMs)
            apiRequest.headers.push_back({ "Teasel-Deadline-Ms", fmt::format("{}", *options.deadlineMs) });
        if (!options.selector.empty())
            apiRequest.headers.push_back({ "Teasel-Selector", options.selector });
        return apiRequest;
    }

    ExitCode sendRequest(Session& session, const RequestOptions& options)
    {
        const auto prepared = valueOrError([&] { return makeApiRequest(options); });
        if (const auto* error = std::get_if<Error>(&prepared))
            return session.out.reportRefusal(*error);
        const auto& apiRequest = std::get<0>(prepared);
        const auto& id = apiRequest.headers.front().value;
        const auto outcome = session.client.send(apiRequest, RetryPolicy::IfNotSent);
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return session.out.reportUnreachable(*failure,
                failure->maybeSent ? fmt::format(
                    "it may have run: get its outcome by sending it again with --request-id {}; unless its class "
                    "is idempotent, it does not run twice",
                    id)
                                   : "it did not run: check --server and send it again");
        const auto& response = std::get<ApiResponse>(outcome);
        if (!readErrorBody(response.body).run.empty() && response.status >= 400)
            return session.out.reportRefusal(response);
        session.out.print(response.body);
        session.out.printError(fmt::format("request id: {}, HTTP status {}", id, response.status));
        return response.status < 400 ? ExitCode::Accepted : ExitCode::Refused;
    }

} // namespace

void addJobCommands(CLI::App& app, Command& selected)
{
    auto& jobs = addGroup(app, "job", "Services, batch jobs and gangs");
    auto options = std::make_shared<JobOptions>();
    auto& submit = *jobs.add_subcommand("submit", "Submit a job");
    submit.add_option("file", options->file, "YAML with the fields of a JobSpec")->required();
    submit.add_option("--request-id", options->requestId, "Id of the submission; use the same id to send it again");
    setHandler(submit, selected, options, submitJob);
    auto& status = *jobs.add_subcommand("status", "Show a job and its tasks");
    status.add_option("id", options->id, "Id of the job")->required();
    setHandler(status, selected, options, showJob);
    auto& list = *jobs.add_subcommand("list", "List jobs");
    list.add_option("--data-centre", options->dataCentre,
        "Data centre whose jobs are listed; default: that of the instance that answers");
    setHandler(list, selected, options, listJobs);
    auto& cancel = *jobs.add_subcommand("cancel", "Cancel a job");
    cancel.add_option("id", options->id, "Id of the job")->required();
    setHandler(cancel, selected, options, cancelJob);

    auto& requests = addGroup(app, "request", "Requests to executors");
    auto request = std::make_shared<RequestOptions>();
    auto& send = *requests.add_subcommand("send", "Send a request and print its answer");
    send.add_option("class", request->className, "Class of the request")->required();
    auto* body = send.add_option("--body", request->body, "The body");
    send.add_option("--body-file", request->bodyFile, "File that holds the body")->excludes(body);
    send.add_option("--content-type", request->contentType, "Content type of the body")->capture_default_str();
    send.add_option("--request-id", request->requestId, "Id of the request; use the same id to send it again");
    send.add_option("--deadline-ms", request->deadlineMs, "Time until the caller gives up, in milliseconds");
    send.add_option("--selector", request->selector, "Selector of the executors on which it may run");
    setHandler(send, selected, request, sendRequest);
}

} // namespace teasel

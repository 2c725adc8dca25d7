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

    constexpr uint64_t defaultAnswerMs = 60'000;
    constexpr std::chrono::milliseconds answerMargin { 5'000 };

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

    Result<std::string> idOr(const std::string& given)
    {
        if (!given.empty())
            return given;
        return randomId();
    }

    // `JOB_PHASE_RUNNING` as `running`.
    std::string shortName(std::string name, std::string_view prefix)
    {
        name.erase(0, std::min(prefix.size(), name.size()));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return name;
    }

    Result<HttpCall> submission(const JobOptions& options)
    {
        schema::JobSpec spec;
        BOOST_LEAF_CHECK(readSettings(options.file, spec));
        BOOST_LEAF_CHECK(parseSelector(spec.selector()));
        BOOST_LEAF_AUTO(id, idOr(options.requestId));
        return HttpCall { "POST", "/v1/jobs", { { "Content-Type", "application/json" }, { "Teasel-Request-Id", id } },
            toJson(spec) };
    }

    ExitCode submitJob(Session& session, const JobOptions& options)
    {
        const auto made = valueOrError([&] { return submission(options); });
        if (const auto* error = std::get_if<Error>(&made))
            return session.out.refused(*error);
        const auto& call = std::get<0>(made);
        const auto outcome = session.client.send(call, Resend::Always);
        if (const auto* failure = std::get_if<HttpFailure>(&outcome))
            return session.out.unreachable(*failure,
                fmt::format(
                    "the job may have been taken: submit it again with --request-id {}; it is taken once at most",
                    call.headers[1].value));
        const auto& reply = std::get<HttpReply>(outcome);
        if (reply.status >= 300)
            return session.out.refused(reply);
        schema::JobAccepted accepted;
        const auto parsed = valueOrError([&] { return fromJson(reply.body, accepted); });
        if (const auto* error = std::get_if<Error>(&parsed))
            return session.out.refused(*error);
        session.out.raw(session.out.json() ? toJson(accepted) : fmt::format("accepted: job {}\n", accepted.job_id()));
        return ExitCode::Accepted;
    }

    void showJobs(Output& out, const schema::JobStatus& status, bool withTasks)
    {
        Table table({ "job", "name", "phase", "tasks", "running", "waiting", "finished", "reason" });
        for (const auto& it : status.jobs())
            table.add({ it.job_id(), it.name(), shortName(schema::JobPhase_Name(it.phase()), "JOB_PHASE_"),
                fmt::format("{}", it.tasks()), fmt::format("{}", it.running()), fmt::format("{}", it.waiting()),
                fmt::format("{}", it.finished()), it.reason() });
        out.show(status, table);
        if (!withTasks || out.json())
            return;
        Table tasks({ "task", "attempt", "worker", "state" });
        for (const auto& job : status.jobs()) {
            for (const auto& it : job.placed())
                tasks.add({ fmt::format("{}", it.index()), fmt::format("{}", it.attempt()), it.worker(),
                    shortName(schema::TaskState_Name(it.state()), "TASK_STATE_") });
        }
        out.raw("\n" + tasks.text());
    }

    ExitCode askJobs(Session& session, const std::string& path, bool withTasks)
    {
        const auto outcome = session.client.send({ "GET", path, {}, {} }, Resend::Always);
        if (const auto* failure = std::get_if<HttpFailure>(&outcome))
            return session.out.unreachable(*failure, "check --server and ask again");
        const auto& reply = std::get<HttpReply>(outcome);
        if (reply.status != 200)
            return session.out.refused(reply);
        schema::JobStatus status;
        const auto parsed = valueOrError([&] { return fromJson(reply.body, status); });
        if (const auto* error = std::get_if<Error>(&parsed))
            return session.out.refused(*error);
        showJobs(session.out, status, withTasks);
        return ExitCode::Accepted;
    }

    ExitCode showJob(Session& session, const JobOptions& options)
    {
        return askJobs(session, fmt::format("/v1/jobs/{}", options.id), true);
    }

    ExitCode listJobs(Session& session, const JobOptions& options)
    {
        const auto query = options.dataCentre.empty() ? "" : fmt::format("?data_centre={}", options.dataCentre);
        return askJobs(session, "/v1/jobs" + query, false);
    }

    ExitCode cancelJob(Session& session, const JobOptions& options)
    {
        HttpCall call;
        call.method = "DELETE";
        call.path = fmt::format("/v1/jobs/{}", options.id);
        const auto outcome = session.client.send(std::move(call), Resend::Always);
        if (const auto* failure = std::get_if<HttpFailure>(&outcome))
            return session.out.unreachable(*failure, "cancel it again; a second cancellation does no harm");
        const auto& reply = std::get<HttpReply>(outcome);
        if (reply.status >= 300)
            return session.out.refused(reply);
        session.out.raw(
            session.out.json() ? reply.body + "\n" : fmt::format("accepted: cancellation of {}\n", options.id));
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

    Result<HttpCall> requestCall(const RequestOptions& options)
    {
        BOOST_LEAF_AUTO(body, bodyOf(options));
        BOOST_LEAF_AUTO(id, idOr(options.requestId));
        HttpCall call { "POST", fmt::format("/v1/requests/{}", options.className),
            { { "Teasel-Request-Id", id }, { "Content-Type", options.contentType } }, body };
        const auto answerMs = options.deadlineMs.value_or(defaultAnswerMs);
        call.timeout = answerMargin + std::chrono::milliseconds(answerMs);
        if (options.deadlineMs)
            call.headers.push_back({ "Teasel-Deadline-Ms", fmt::format("{}", *options.deadlineMs) });
        if (!options.selector.empty())
            call.headers.push_back({ "Teasel-Selector", options.selector });
        return call;
    }

    ExitCode sendRequest(Session& session, const RequestOptions& options)
    {
        const auto made = valueOrError([&] { return requestCall(options); });
        if (const auto* error = std::get_if<Error>(&made))
            return session.out.refused(*error);
        const auto& call = std::get<0>(made);
        const auto& id = call.headers.front().value;
        const auto outcome = session.client.send(call, Resend::IfNeverSent);
        if (const auto* failure = std::get_if<HttpFailure>(&outcome))
            return session.out.unreachable(*failure,
                failure->maybeSent
                    ? fmt::format("it may have run: ask for its outcome with --request-id {}; unless its class is "
                                  "idempotent it does not run twice",
                        id)
                    : "it did not run: check --server and send it again");
        const auto& reply = std::get<HttpReply>(outcome);
        if (!readErrorBody(reply.body).run.empty() && reply.status >= 400)
            return session.out.refused(reply);
        session.out.raw(reply.body);
        session.out.note(fmt::format("request id: {}, HTTP status {}", id, reply.status));
        return reply.status < 400 ? ExitCode::Accepted : ExitCode::Refused;
    }

} // namespace

void addJobCommands(CLI::App& app, Command& chosen)
{
    auto& jobs = addGroup(app, "job", "Services, batch jobs and gangs");
    auto options = std::make_shared<JobOptions>();
    auto& submit = *jobs.add_subcommand("submit", "Submit a job");
    submit.add_option("file", options->file, "YAML with the fields of a JobSpec")->required();
    submit.add_option("--request-id", options->requestId, "Id of the submission; the same one for a resend");
    onChosen(submit, chosen, options, submitJob);
    auto& status = *jobs.add_subcommand("status", "Show a job and its tasks");
    status.add_option("id", options->id, "Id of the job")->required();
    onChosen(status, chosen, options, showJob);
    auto& list = *jobs.add_subcommand("list", "List jobs");
    list.add_option(
        "--data-centre", options->dataCentre, "Whose jobs; those of the instance that is asked if not given");
    onChosen(list, chosen, options, listJobs);
    auto& cancel = *jobs.add_subcommand("cancel", "Cancel a job");
    cancel.add_option("id", options->id, "Id of the job")->required();
    onChosen(cancel, chosen, options, cancelJob);

    auto& requests = addGroup(app, "request", "Requests to executors");
    auto request = std::make_shared<RequestOptions>();
    auto& send = *requests.add_subcommand("send", "Send a request and print its answer");
    send.add_option("class", request->className, "Class of the request")->required();
    auto* body = send.add_option("--body", request->body, "The body");
    send.add_option("--body-file", request->bodyFile, "File that holds the body")->excludes(body);
    send.add_option("--content-type", request->contentType, "Content type of the body")->capture_default_str();
    send.add_option("--request-id", request->requestId, "Id of the request; the same one for a resend");
    send.add_option("--deadline-ms", request->deadlineMs, "How long it may take");
    send.add_option("--selector", request->selector, "Where it may run");
    onChosen(send, chosen, request, sendRequest);
}

} // namespace teasel

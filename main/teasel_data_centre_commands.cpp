// Orders to evacuate data centres, sent to the control address of core instances.
#include "main/teasel_commands.h"
#include "main/teasel_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <thread>

namespace teasel {

namespace {

    // An order is acknowledged after two disk syncs; an instance that takes longer is passed over.
    constexpr std::chrono::milliseconds attemptTimeout { 1'000 };
    constexpr unsigned rounds = 3; // through all servers
    constexpr std::chrono::milliseconds pauseBetweenRounds { 200 };
    constexpr double msPerSecond = 1'000;

    struct DataCentreOptions {
        std::string name;
        bool wait = false;
        uint64_t intervalMs = 1'000;
    };

    bool isTemporary(const ApiResult& outcome)
    {
        const auto* response = std::get_if<ApiResponse>(&outcome);
        return response == nullptr || response->status >= 500 || response->status == 408 || response->status == 429;
    }

    // Orders and lists may be repeated, so every failure that another instance may not share is tried again.
    ApiResult sendUntilAnswered(Session& session, const ApiRequest& request)
    {
        auto outcome = session.client.send(request, RetryPolicy::AlwaysAtOthers);
        for (unsigned n = 1; n < rounds && isTemporary(outcome); ++n) {
            std::this_thread::sleep_for(pauseBetweenRounds);
            outcome = session.client.send(request, RetryPolicy::AlwaysAtOthers);
        }
        return outcome;
    }

    ExitCode reportFailure(Session& session, const ApiResult& outcome)
    {
        constexpr auto advice = "send the order again, also at other core instances; repeating it is safe";
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return session.out.reportUnreachable(*failure, advice);
        const auto& response = std::get<ApiResponse>(outcome);
        google::protobuf::Struct object;
        const auto parsed = valueOrError([&] { return fromJson(response.body, object); });
        const auto reason = parsed.index() == 0 ? object.fields().find("error") : object.fields().end();
        const auto text = reason == object.fields().end() ? std::string("the server returned no reason")
                                                          : reason->second.string_value();
        if (isTemporary(outcome)) {
            session.out.printError(fmt::format("no answer: HTTP {}: {}\nnext: {}", response.status, text, advice));
            return ExitCode::Unreachable;
        }
        session.out.printError(fmt::format("refused (HTTP {}): {}", response.status, text));
        return ExitCode::Refused;
    }

    bool isValidName(const std::string& name)
    {
        return !name.empty() && std::none_of(name.begin(), name.end(), [](char it) {
            return static_cast<unsigned char>(it) <= ' ' || std::string_view("/?#%").find(it) != std::string_view::npos;
        });
    }

    ExitCode order(Session& session, const std::string& name, std::string_view verb)
    {
        if (!isValidName(name)) {
            session.out.printError("the name of a data centre can't contain spaces or any of / ? # %");
            return ExitCode::Usage;
        }
        const auto outcome = sendUntilAnswered(
            session, { "POST", fmt::format("/evacuation/{}/{}", name, verb), {}, {}, attemptTimeout });
        const auto* response = std::get_if<ApiResponse>(&outcome);
        if (response == nullptr || response->status != 200)
            return reportFailure(session, outcome);
        if (session.out.isJson())
            session.out.printLine("{}");
        else
            session.out.printLine(
                verb == "start" ? "accepted: no further work is started there" : "accepted: work is started there");
        return ExitCode::Accepted;
    }

    ExitCode evacuate(Session& session, const DataCentreOptions& options)
    {
        return order(session, options.name, "start");
    }

    ExitCode restore(Session& session, const DataCentreOptions& options)
    {
        return order(session, options.name, "finish");
    }

    double numberOf(const google::protobuf::Struct& object, const std::string& name)
    {
        const auto it = object.fields().find(name);
        return it == object.fields().end() ? 0 : it->second.number_value();
    }

    // Prints the evacuations and returns the number of runs left in evacuated data centres.
    double show(Session& session, const google::protobuf::Struct& list)
    {
        Table table({ "data_centre", "state", "runs", "oldest_s", "expected_end_s" });
        double runsLeft = 0;
        const auto found = list.fields().find("evacuations");
        if (found != list.fields().end()) {
            for (const auto& value : found->second.list_value().values()) {
                const auto& it = value.struct_value();
                const auto name = it.fields().find("dataCentre");
                const auto active = it.fields().find("active");
                const bool isActive = active != it.fields().end() && active->second.bool_value();
                const auto runs = numberOf(it, "runs");
                runsLeft += isActive ? runs : 0;
                table.add(
                    { name == it.fields().end() ? "" : name->second.string_value(), isActive ? "evacuated" : "in use",
                        fmt::format("{:.0f}", runs), fmt::format("{:.1f}", numberOf(it, "oldestRunMs") / msPerSecond),
                        fmt::format("{:.1f}", numberOf(it, "expectedEndMs") / msPerSecond) });
            }
        }
        session.out.show(list, table);
        return runsLeft;
    }

    ExitCode listEvacuations(Session& session, const DataCentreOptions& options)
    {
        while (true) {
            const auto outcome = sendUntilAnswered(session, { "GET", "/evacuation", {}, {}, attemptTimeout });
            const auto* response = std::get_if<ApiResponse>(&outcome);
            if (response == nullptr || response->status != 200)
                return reportFailure(session, outcome);
            google::protobuf::Struct list;
            const auto parsed = valueOrError([&] { return fromJson(response->body, list); });
            if (const auto* error = std::get_if<Error>(&parsed))
                return session.out.reportRefusal(*error);
            if (show(session, list) == 0 || !options.wait)
                return ExitCode::Accepted;
            std::this_thread::sleep_for(std::chrono::milliseconds(options.intervalMs));
        }
    }

} // namespace

void addDataCentreCommands(CLI::App& app, Command& selected)
{
    auto& group
        = addGroup(app, "data-centre", "Evacuation of data centres; --server names core instances' control URLs");
    auto options = std::make_shared<DataCentreOptions>();
    auto& start = *group.add_subcommand("evacuate", "Start no further work in a data centre");
    start.add_option("name", options->name, "Name of the data centre")->required();
    setHandler(start, selected, options, evacuate);
    auto& finish = *group.add_subcommand("restore", "Withdraw the evacuation of a data centre");
    finish.add_option("name", options->name, "Name of the data centre")->required();
    setHandler(finish, selected, options, restore);
    auto& list = *group.add_subcommand("list", "List the orders, the runs left, the oldest and the expected end");
    list.add_flag("--wait", options->wait, "Repeat until no run is left in an evacuated data centre");
    list.add_option("--interval-ms", options->intervalMs, "Between two repetitions")->capture_default_str();
    setHandler(list, selected, options, listEvacuations);
}

} // namespace teasel

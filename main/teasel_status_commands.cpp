#include "main/teasel_commands.h"
#include "main/teasel_config_check_command.h"
#include "main/teasel_json.h"
#include "settings/settings_reader.h"

#include <fmt/format.h>

#include <array>
#include <memory>

namespace teasel {

namespace {

    struct StatusOptions {
        std::string changeId;
    };

    // Reads /v1/status. On failure, prints the reason and returns the exit code.
    std::variant<google::protobuf::Struct, ExitCode> readStatus(Session& session)
    {
        const auto outcome = session.client.send({ "GET", "/v1/status", {}, {} }, RetryPolicy::Always);
        if (const auto* failure = std::get_if<ApiFailure>(&outcome))
            return session.out.reportUnreachable(*failure, "check --server and whether the instances are running");
        const auto& response = std::get<ApiResponse>(outcome);
        if (response.status != 200)
            return session.out.reportRefusal(response);
        google::protobuf::Struct object;
        const auto parsed = valueOrError([&] { return fromJson(response.body, object); });
        if (const auto* error = std::get_if<Error>(&parsed))
            return session.out.reportRefusal(*error);
        return object;
    }

    ExitCode showStatus(Session& session, const StatusOptions&)
    {
        const auto status = readStatus(session);
        if (const auto* code = std::get_if<ExitCode>(&status))
            return *code;
        session.out.showObject(std::get<google::protobuf::Struct>(status));
        return ExitCode::Accepted;
    }

    ExitCode listInstances(Session& session, const StatusOptions&)
    {
        const auto status = readStatus(session);
        if (const auto* code = std::get_if<ExitCode>(&status))
            return *code;
        constexpr std::array<const char*, 5> shownFields { "instance", "data_centre", "leader", "executors",
            "workers" };
        const auto& fullStatus = std::get<google::protobuf::Struct>(status);
        google::protobuf::Struct shown;
        for (const auto* name : shownFields) {
            const auto it = fullStatus.fields().find(name);
            if (it != fullStatus.fields().end())
                (*shown.mutable_fields())[name] = it->second;
        }
        session.out.showObject(shown);
        return ExitCode::Accepted;
    }

    ExitCode showConfig(Session& session, const StatusOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            session.out.print(session.out.isJson() ? toJson(config) : printSettings(config));
            return ExitCode::Accepted;
        });
    }

    ExitCode showChange(Session& session, const StatusOptions& options)
    {
        return session.config.showStatus(options.changeId);
    }

} // namespace

void addStatusCommands(CLI::App& app, Command& selected)
{
    auto options = std::make_shared<StatusOptions>();
    setHandler(*app.add_subcommand("status", "Show the status of an instance and its data centre"), selected, options,
        showStatus);
    auto& instances = addGroup(app, "instance", "Executors and workers");
    setHandler(*instances.add_subcommand("list", "List the executors and workers that the data centre knows"), selected,
        options, listInstances);
    auto& config = addGroup(app, "config", "The configuration");
    setHandler(*config.add_subcommand("show", "Show the whole configuration"), selected, options, showConfig);
    auto& change = *config.add_subcommand("change-status", "Show the outcome of a change");
    change.add_option("change_id", options->changeId, "Id of the change")->required();
    setHandler(change, selected, options, showChange);
    addConfigCheckCommand(config, selected);
}

} // namespace teasel

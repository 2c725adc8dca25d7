#include "main/teasel_commands.h"
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

    // What /v1/status says; failures are printed.
    std::variant<google::protobuf::Struct, ExitCode> readStatus(Session& session)
    {
        const auto outcome = session.client.send({ "GET", "/v1/status", {}, {} }, Resend::Always);
        if (const auto* failure = std::get_if<HttpFailure>(&outcome))
            return session.out.unreachable(*failure, "check --server and that the instances run");
        const auto& reply = std::get<HttpReply>(outcome);
        if (reply.status != 200)
            return session.out.refused(reply);
        google::protobuf::Struct object;
        const auto parsed = valueOrError([&] { return fromJson(reply.body, object); });
        if (const auto* error = std::get_if<Error>(&parsed))
            return session.out.refused(*error);
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
        constexpr std::array<const char*, 5> wanted { "instance", "data_centre", "leader", "executors", "workers" };
        const auto& all = std::get<google::protobuf::Struct>(status);
        google::protobuf::Struct shown;
        for (const auto* name : wanted) {
            const auto it = all.fields().find(name);
            if (it != all.fields().end())
                (*shown.mutable_fields())[name] = it->second;
        }
        session.out.showObject(shown);
        return ExitCode::Accepted;
    }

    ExitCode showConfig(Session& session, const StatusOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            session.out.raw(session.out.json() ? toJson(config) : printSettings(config));
            return ExitCode::Accepted;
        });
    }

    ExitCode showChange(Session& session, const StatusOptions& options)
    {
        return session.changes.showStatus(options.changeId);
    }

} // namespace

void addStatusCommands(CLI::App& app, Command& chosen)
{
    auto options = std::make_shared<StatusOptions>();
    onChosen(*app.add_subcommand("status", "What an instance and its data centre do"), chosen, options, showStatus);
    auto& instances = addGroup(app, "instance", "Executors and workers");
    onChosen(*instances.add_subcommand("list", "What the data centre knows of"), chosen, options, listInstances);
    auto& config = addGroup(app, "config", "The configuration");
    onChosen(*config.add_subcommand("show", "Show all of it"), chosen, options, showConfig);
    auto& change = *config.add_subcommand("change-status", "What became of a change");
    change.add_option("change_id", options->changeId, "Id of the change")->required();
    onChosen(change, chosen, options, showChange);
}

} // namespace teasel

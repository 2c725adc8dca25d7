#include "main/teasel_commands.h"

#include <fmt/format.h>

#include <memory>
#include <optional>

namespace teasel {

namespace {

    struct ClassOptions {
        std::string name;
        std::optional<uint32_t> rank;
        std::optional<bool> idempotent;
        std::optional<uint64_t> deadlineMs;
        std::string openTeam;
        bool closed = false;
        std::optional<uint32_t> maxWaiting;
    };

    void applyTo(schema::RequestClass& requestClass, const ClassOptions& options)
    {
        requestClass.set_name(options.name);
        if (options.rank)
            requestClass.set_rank(*options.rank);
        if (options.idempotent)
            requestClass.set_idempotent(*options.idempotent);
        if (options.deadlineMs)
            requestClass.set_default_deadline_ms(*options.deadlineMs);
        if (options.maxWaiting)
            requestClass.set_max_waiting_per_team(*options.maxWaiting);
        if (options.closed)
            requestClass.set_open_team_id(0);
    }

    ExitCode putClass(Session& session, const ClassOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            Edits edits(1);
            auto& requestClass = *edits[0].mutable_put_class();
            for (const auto& it : config.classes()) {
                if (it.name() == options.name)
                    requestClass = it;
            }
            applyTo(requestClass, options);
            if (options.openTeam.empty())
                return edits;
            BOOST_LEAF_AUTO(team, findTeam(config, options.openTeam));
            requestClass.set_open_team_id(team.id());
            return edits;
        });
    }

    ExitCode removeClass(Session& session, const ClassOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig&) -> Result<Edits> {
            Edits edits(1);
            edits[0].set_remove_class(options.name);
            return edits;
        });
    }

    ExitCode listClasses(Session& session, const ClassOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            schema::FleetConfig shown;
            *shown.mutable_classes() = config.classes();
            Table table({ "name", "rank", "idempotent", "deadline_ms", "open_team", "max_waiting" });
            for (const auto& it : config.classes())
                table.add({ it.name(), fmt::format("{}", it.rank()), it.idempotent() ? "yes" : "no",
                    fmt::format("{}", it.default_deadline_ms()), teamName(config, it.open_team_id()),
                    fmt::format("{}", it.max_waiting_per_team()) });
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

} // namespace

void addClassCommands(CLI::App& app, Command& selected)
{
    auto& classes = addGroup(app, "class", "Classes of requests, each with its queue");
    auto options = std::make_shared<ClassOptions>();
    auto& put = *classes.add_subcommand("put", "Create a class, or change the given options of an existing one");
    put.add_option("name", options->name, "Name of the class")->required();
    put.add_option("--rank", options->rank, "Lower is more urgent");
    put.add_option(
        "--idempotent", options->idempotent, "true if requests may safely run more than once; default: false");
    put.add_option("--deadline-ms", options->deadlineMs, "Deadline of requests that do not set one");
    put.add_option("--max-waiting", options->maxWaiting, "Maximum number of waiting requests per team; 0: the default");
    auto* openOption
        = put.add_option("--open-team", options->openTeam, "Open to all: requests without a key run under this team");
    put.add_flag("--closed", options->closed, "Not open to all")->excludes(openOption);
    setHandler(put, selected, options, putClass);
    auto& remove = *classes.add_subcommand("remove", "Remove a class");
    remove.add_option("name", options->name, "Name of the class")->required();
    setHandler(remove, selected, options, removeClass);
    setHandler(*classes.add_subcommand("list", "List classes"), selected, options, listClasses);
}

} // namespace teasel

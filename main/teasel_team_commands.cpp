#include "main/teasel_commands.h"

#include <fmt/format.h>

#include <memory>
#include <optional>

namespace teasel {

namespace {

    struct LimitOptions {
        std::optional<uint32_t> requests;
        std::optional<uint64_t> milliCpus;
        std::optional<uint64_t> memoryMib;
        std::optional<uint64_t> accelerators;
    };

    struct TeamOptions {
        std::string name;
        std::string newName;
        std::optional<double> share;
        LimitOptions limit;
    };

    void addLimitOptions(CLI::App& app, LimitOptions& limit)
    {
        app.add_option("--requests", limit.requests, "Maximum number of concurrently running requests, fleet-wide");
        app.add_option("--milli-cpus", limit.milliCpus,
            "Maximum processor use of running tasks in thousandths of a core, fleet-wide");
        app.add_option("--memory-mib", limit.memoryMib, "Maximum memory of running tasks in MiB, fleet-wide");
        app.add_option(
            "--accelerators", limit.accelerators, "Maximum number of accelerators of running tasks, fleet-wide");
    }

    void applyTo(schema::Team& team, const TeamOptions& options)
    {
        if (!options.newName.empty())
            team.set_name(options.newName);
        if (options.share)
            team.set_share(*options.share);
        if (options.limit.requests)
            team.set_request_limit(*options.limit.requests);
        auto& tasks = *team.mutable_task_limit();
        if (options.limit.milliCpus)
            tasks.set_milli_cpus(*options.limit.milliCpus);
        if (options.limit.memoryMib)
            tasks.set_memory_mib(*options.limit.memoryMib);
        if (options.limit.accelerators)
            tasks.set_accelerators(*options.limit.accelerators);
    }

    ExitCode createTeam(Session& session, const TeamOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig&) -> Result<Edits> {
            Edits edits(1);
            auto& team = *edits[0].mutable_put_team();
            team.set_name(options.name);
            team.set_share(1);
            applyTo(team, options);
            return edits;
        });
    }

    ExitCode setTeam(Session& session, const TeamOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            BOOST_LEAF_AUTO(team, findTeam(config, options.name));
            applyTo(team, options);
            Edits edits(1);
            *edits[0].mutable_put_team() = team;
            return edits;
        });
    }

    ExitCode removeTeam(Session& session, const TeamOptions& options)
    {
        return session.config.submit(session.changeOptions, [&](const schema::FleetConfig& config) -> Result<Edits> {
            BOOST_LEAF_AUTO(team, findTeam(config, options.name));
            Edits edits(1);
            edits[0].set_remove_team(team.id());
            return edits;
        });
    }

    ExitCode listTeams(Session& session, const TeamOptions&)
    {
        return withConfig(session, [&](const schema::FleetConfig& config) {
            schema::FleetConfig shown;
            *shown.mutable_teams() = config.teams();
            Table table({ "id", "name", "share", "requests", "milli_cpus", "memory_mib", "accelerators" });
            for (const auto& it : config.teams()) {
                const auto& tasks = it.task_limit();
                table.add({ fmt::format("{}", it.id()), it.name(), fmt::format("{}", it.share()),
                    fmt::format("{}", it.request_limit()), fmt::format("{}", tasks.milli_cpus()),
                    fmt::format("{}", tasks.memory_mib()), fmt::format("{}", tasks.accelerators()) });
            }
            session.out.show(shown, table);
            return ExitCode::Accepted;
        });
    }

    CLI::App& addTeamCommand(CLI::App& group, const std::string& name, const std::string& description,
        const std::shared_ptr<TeamOptions>& options)
    {
        auto& command = *group.add_subcommand(name, description);
        command.add_option("name", options->name, "Name of the team, in any scheme")->required();
        return command;
    }

} // namespace

void addTeamCommands(CLI::App& app, Command& selected)
{
    auto& teams = addGroup(app, "team", "Teams");
    auto options = std::make_shared<TeamOptions>();
    auto& create = addTeamCommand(teams, "create", "Create a team", options);
    create.add_option("--share", options->share, "Weight when the fleet is full; 1 if not given");
    addLimitOptions(create, options->limit);
    setHandler(create, selected, options, createTeam);
    auto& set = addTeamCommand(teams, "set", "Change the given options and keep the others", options);
    set.add_option("--name", options->newName, "New name in the first scheme");
    set.add_option("--share", options->share, "Weight when the fleet is full");
    addLimitOptions(set, options->limit);
    setHandler(set, selected, options, setTeam);
    setHandler(addTeamCommand(teams, "remove", "Remove a team", options), selected, options, removeTeam);
    setHandler(*teams.add_subcommand("list", "List teams"), selected, options, listTeams);

    auto& limits = addGroup(app, "limit", "Upper limits of a team's running work");
    auto& setLimit = addTeamCommand(limits, "set", "Change the limits that are given", options);
    addLimitOptions(setLimit, options->limit);
    setHandler(setLimit, selected, options, setTeam);

    auto& shares = addGroup(app, "share", "Shares of the teams when the fleet is full");
    auto& setShare = addTeamCommand(shares, "set", "Change the share of a team", options);
    setShare.add_option("share", options->share, "Weight when the fleet is full")->required();
    setHandler(setShare, selected, options, setTeam);
}

} // namespace teasel

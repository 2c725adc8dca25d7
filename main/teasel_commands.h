// The commands of the operators' command line, group by group.
#pragma once

#include "main/teasel_change.h"
#include "main/teasel_client.h"
#include "main/teasel_output.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace teasel {

// What a command works with.
struct Session {
    TeaselClient& client;
    Output& out;
    ConfigChanges& changes;
    ChangeOptions changeOptions;
};

// The command that the arguments chose.
using Command = std::function<ExitCode(Session&)>;

void addStatusCommands(CLI::App&, Command& chosen); // status, instance, config
void addTeamCommands(CLI::App&, Command& chosen); // team, limit, share
void addKeyCommands(CLI::App&, Command& chosen); // key
void addClassCommands(CLI::App&, Command& chosen); // class
void addNamingCommands(CLI::App&, Command& chosen); // scheme, alias, drain
void addJobCommands(CLI::App&, Command& chosen); // job, request

// Adds a subcommand whose choice runs `run` with its options.
template <class Options, class Run>
void onChosen(CLI::App& app, Command& chosen, std::shared_ptr<Options> options, Run run)
{
    app.callback(
        [&chosen, options, run] { chosen = [options, run](Session& session) { return run(session, *options); }; });
}

// A group of commands, of which one must be given.
CLI::App& addGroup(CLI::App&, const std::string& name, const std::string& description);

// The team that a name means in any scheme. Fails with NotFound or AmbiguousName.
Result<schema::Team> findTeam(const schema::FleetConfig&, std::string_view name);

// The name of a team id; the number where there is no such team.
std::string teamName(const schema::FleetConfig&, uint32_t teamId);

// Runs `show` with the configuration, or ends as reading it did.
ExitCode withConfig(Session&, const std::function<ExitCode(const schema::FleetConfig&)>& show);

} // namespace teasel

// Commands of the operators' command line tool, by group.
#pragma once

#include "main/teasel_client.h"
#include "main/teasel_config_client.h"
#include "main/teasel_output.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace teasel {

// Objects and options that every command uses.
struct Session {
    TeaselClient& client;
    Output& out;
    ConfigClient& config;
    ChangeOptions changeOptions;
};

// The handler of the command that was selected on the command line.
using Command = std::function<ExitCode(Session&)>;

void addStatusCommands(CLI::App&, Command& selected); // status, instance, config
void addTeamCommands(CLI::App&, Command& selected); // team, limit, share
void addKeyCommands(CLI::App&, Command& selected); // key
void addClassCommands(CLI::App&, Command& selected); // class
void addNamingCommands(CLI::App&, Command& selected); // scheme, alias, drain
void addJobCommands(CLI::App&, Command& selected); // job, request
void addDataCentreCommands(CLI::App&, Command& selected); // data-centre

// Makes `run` the handler of a subcommand; it is called with the parsed options.
template <class Options, class Run>
void setHandler(CLI::App& app, Command& selected, std::shared_ptr<Options> options, Run run)
{
    app.callback(
        [&selected, options, run] { selected = [options, run](Session& session) { return run(session, *options); }; });
}

// Adds a group of commands, one of which must be given.
CLI::App& addGroup(CLI::App&, const std::string& name, const std::string& description);

// Finds a team by its name in any scheme. Fails with NotFound or AmbiguousName.
Result<schema::Team> findTeam(const schema::FleetConfig&, std::string_view name);

// The name of a team; the id as text if there is no such team, empty for 0.
std::string teamName(const schema::FleetConfig&, uint32_t teamId);

// Reads the configuration and calls `show` with it. If reading fails, returns the exit code of the failure.
ExitCode withConfig(Session&, const std::function<ExitCode(const schema::FleetConfig&)>& show);

} // namespace teasel

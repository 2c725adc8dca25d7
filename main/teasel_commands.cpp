#include "main/teasel_commands.h"

#include "naming/name_table.h"

#include <fmt/format.h>

namespace teasel {

CLI::App& addGroup(CLI::App& app, const std::string& name, const std::string& description)
{
    auto& group = *app.add_subcommand(name, description);
    group.require_subcommand(1);
    return group;
}

Result<schema::Team> findTeam(const schema::FleetConfig& config, std::string_view name)
{
    NameTable names;
    names.configure(config);
    BOOST_LEAF_AUTO(id, names.resolve(schema::SUBJECT_KIND_TEAM, name));
    for (const auto& it : config.teams()) {
        if (it.id() == id)
            return it;
    }
    return fail(ErrorKind::NotFound, fmt::format("no team \"{}\"", name));
}

std::string teamName(const schema::FleetConfig& config, uint32_t teamId)
{
    for (const auto& it : config.teams()) {
        if (it.id() == teamId)
            return it.name();
    }
    return teamId == 0 ? "" : fmt::format("{}", teamId);
}

ExitCode withConfig(Session& session, const std::function<ExitCode(const schema::FleetConfig&)>& show)
{
    const auto config = session.config.read();
    if (const auto* code = std::get_if<ExitCode>(&config))
        return *code;
    return show(std::get<schema::FleetConfig>(config));
}

} // namespace teasel

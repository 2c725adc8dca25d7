#include "main/teasel_tool.h"

#include "main/teasel_commands.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr const char* description = "Operates a teaselrelay fleet.\n"
                                        "Exit codes: 0 accepted, 2 pending, 3 refused, 4 no server answered, 64 usage";

    struct GlobalOptions {
        std::vector<std::string> servers;
        std::string key;
        bool json = false;
        ChangeOptions change;
    };

    void addGlobalOptions(CLI::App& app, GlobalOptions& options)
    {
        app.add_option("--server", options.servers,
               "URL of an entry instance; may be repeated, the instances are tried in turn")
            ->envname("TEASEL_SERVERS")
            ->delimiter(',')
            ->take_all()
            ->allow_extra_args(false);
        app.add_option("--key", options.key, "Your key")->envname("TEASEL_KEY");
        app.add_flag("--json", options.json, "Print JSON");
        app.add_option("--change-id", options.change.changeId, "Id of the change; use the same id to send it again");
        app.add_option("--base-revision", options.change.baseRevision, "Revision that the change is based on");
        app.add_option("--wait-ms", options.change.waitMs,
               "How long to wait for a change to be in force everywhere, in milliseconds")
            ->capture_default_str();
        app.fallthrough();
        app.require_subcommand(1);
    }

    // Global options may also be given after the command.
    void allowGlobalOptionsAnywhere(CLI::App& app)
    {
        for (auto* it : app.get_subcommands({})) {
            it->fallthrough();
            allowGlobalOptionsAnywhere(*it);
        }
    }

    std::string withoutTrailingSlashes(std::string url)
    {
        while (!url.empty() && url.back() == '/')
            url.pop_back();
        return url;
    }

} // namespace

int runTool(std::vector<std::string> arguments, ApiTransport& transport, std::ostream& out, std::ostream& err)
{
    CLI::App app(description, "teasel");
    GlobalOptions options;
    Command selected;
    addGlobalOptions(app, options);
    addStatusCommands(app, selected);
    addTeamCommands(app, selected);
    addKeyCommands(app, selected);
    addClassCommands(app, selected);
    addNamingCommands(app, selected);
    addJobCommands(app, selected);
    addDataCentreCommands(app, selected);
    allowGlobalOptionsAnywhere(app);
    std::reverse(arguments.begin(), arguments.end()); // CLI11 expects them in reverse order
    try {
        app.parse(std::move(arguments));
    } catch (const CLI::ParseError& ex) {
        return app.exit(ex, out, err) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    std::transform(options.servers.begin(), options.servers.end(), options.servers.begin(), withoutTrailingSlashes);
    TeaselClient client(transport, options.servers, options.key);
    Output output(out, err);
    output.setJson(options.json);
    ConfigClient config(client, output);
    Session session { client, output, config, options.change };
    return static_cast<int>(selected(session));
}

} // namespace teasel

#include "main/daemon.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>
#include <thread>

#include <unistd.h>

namespace teasel {

namespace {

    constexpr Milliseconds stopCheckEvery { 20 };
    std::atomic<int> stopSignals = 0;

    void onStopSignal(int)
    {
        if (++stopSignals > 1)
            _exit(exitFailed);
    }

} // namespace

std::optional<int> parseArguments(int argc, char** argv, const std::string& description, DaemonArguments& arguments)
{
    CLI::App app(description);
    app.add_option("settings", arguments.settingsPath, "the settings file (YAML)")->required();
    app.add_flag("--check", arguments.checkOnly, "read and check the settings, then stop");
    app.add_flag("--print-settings", arguments.printSettings, "print the settings with all defaults, then stop");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitUsage;
    }
    return std::nullopt;
}

void installSignalHandlers()
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool stopOrdered() { return stopSignals > 0; }

void waitForStop(const std::function<bool()>& failed)
{
    while (!stopOrdered() && !failed())
        std::this_thread::sleep_for(stopCheckEvery);
}

uint64_t incarnationNow(const Clock& clock)
{
    return static_cast<uint64_t>(clock.wallNow().time_since_epoch().count());
}

int reportStartFailure(const Error& error, int exitCode)
{
    fmt::print(stderr, "level=error event=start_failed reason=\"{}\"\n", error.message);
    return exitCode;
}

} // namespace teasel

#include "main/daemon.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

#include <unistd.h>

namespace teasel {

namespace {

    constexpr Milliseconds stopPollInterval { 40 };
    constexpr Milliseconds settingsPollInterval { 2'000 }; // the file may change without SIGHUP
    std::atomic<int> stopSignalCount = 0;
    std::atomic<bool> reloadRequested = false;

    void onStopSignal(int)
    {
        if (++stopSignalCount > 1)
            _exit(exitFailed);
    }

    void onReloadSignal(int) { reloadRequested = true; }

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
    std::signal(SIGHUP, onReloadSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool stopRequested() { return stopSignalCount > 0; }

namespace {

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        return { std::istreambuf_iterator<char>(in), {} };
    }

} // namespace

void waitForStop(const std::function<bool()>& failed, const std::function<void()>& reload,
    const std::string& settingsPath, LineWriter& logWriter)
{
    auto loadedContents = readFile(settingsPath);
    Milliseconds sinceSettingsCheck { 0 };
    while (!stopRequested() && !failed()) {
        std::this_thread::sleep_for(stopPollInterval);
        logWriter.flush();
        sinceSettingsCheck += stopPollInterval;
        if (!reloadRequested.exchange(false) && sinceSettingsCheck < settingsPollInterval)
            continue;
        sinceSettingsCheck = Milliseconds(0);
        auto contents = readFile(settingsPath);
        if (contents == loadedContents)
            continue;
        loadedContents = std::move(contents);
        reload();
    }
}

uint64_t makeIncarnation(const Clock& clock)
{
    return static_cast<uint64_t>(clock.wallNow().time_since_epoch().count());
}

int reportStartFailure(const Error& error, int exitCode)
{
    fmt::print(stderr, "level=error event=start_failed reason=\"{}\"\n", error.message);
    return exitCode;
}

} // namespace teasel

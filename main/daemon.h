// What the daemons' main programs share: command line, settings, signals.
#pragma once

#include "core/boot_clock.h"
#include "core/clock.h"
#include "core/result.h"
#include "node/process_links.h"
#include "observability/line_writer.h"
#include "observability/log.h"
#include "observability/metrics.h"
#include "settings/settings_reader.h"

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace teasel {

// Exit codes of the daemons.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 64;
constexpr int exitBadSettings = 78;

// How long a process that ends waits for the reader of its log.
constexpr Milliseconds lastLinesTime { 200 };

struct DaemonArguments {
    std::string settingsPath;
    bool checkOnly = false;
    bool printSettings = false;
};

// Reads the command line; a value means that the process ends with it.
std::optional<int> parseArguments(int argc, char** argv, const std::string& description, DaemonArguments&);

// Takes SIGTERM and SIGINT as the order to stop gracefully. A second one ends the process at once.
void installSignalHandlers();

// Waits for the order to stop, or until `failed` says that there is no use in
// going on. Runs `reload` after SIGHUP and when the settings file has changed.
void waitForStop(const std::function<bool()>& failed, const std::function<void()>& reload,
    const std::string& settingsPath, LineWriter&);

bool stopOrdered();

// A number that rises with every start of a process on the same machine.
uint64_t incarnationNow(const Clock&);

// Prints an error of the start for people and gives the exit code.
int reportStartFailure(const Error&, int exitCode);

// Runs a daemon from its command line to its end: reads the settings with
// `load`, makes the node, starts it, waits for the order to stop, stops it.
template <class Node, class Load> int runDaemon(int argc, char** argv, const std::string& description, Load&& load)
{
    DaemonArguments arguments;
    if (const auto code = parseArguments(argc, argv, description, arguments))
        return *code;
    auto loaded = valueOrError([&] { return load(arguments.settingsPath); });
    if (const auto* error = std::get_if<Error>(&loaded))
        return reportStartFailure(*error, exitBadSettings);
    auto& settings = std::get<0>(loaded);
    if (arguments.printSettings)
        fmt::print("{}", printSettings(settings));
    if (arguments.printSettings || arguments.checkOnly)
        return exitOk;

    installSignalHandlers();
    const BootClock clock;
    LineWriter lines({}, clock);
    const Log log(std::get<0>(valueOrError([&] { return logLevelFromName(settings.log().level()); })), clock,
        [&lines](std::string_view line) { lines.take(line); });
    Metrics metrics;
    const ProcessLinks links { clock, log, metrics, incarnationNow(clock), std::random_device()() };
    const auto id = settings.instance().id();
    Node node(settings, links);
    const auto started = valueOrError([&] { return node.start(); });
    if (const auto* error = std::get_if<Error>(&started))
        return reportStartFailure(*error, exitFailed);
    const auto reload = [&] {
        if constexpr (requires { node.reload(settings); }) {
            const auto next = valueOrError([&] { return load(arguments.settingsPath); });
            if (const auto* error = std::get_if<Error>(&next))
                log.warning("settings_not_reloaded", { { "reason", error->message } });
            else
                node.reload(std::get<0>(next));
        }
    };
    waitForStop([&] { return node.failed(); }, reload, arguments.settingsPath, lines);
    log.info("stopping", { { "id", id } });
    node.stop();
    log.info("stopped", { { "id", id } });
    lines.flushFor(lastLinesTime);
    return node.failed() ? exitFailed : exitOk;
}

} // namespace teasel

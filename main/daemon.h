// Shared code of the daemons' main programs: command line, settings, signals.
#pragma once

#include "core/boot_clock.h"
#include "core/clock.h"
#include "core/result.h"
#include "node/process_context.h"
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

// How long an exiting process waits for its remaining log lines to be written.
constexpr Milliseconds logFlushTimeout { 200 };

struct DaemonArguments {
    std::string settingsPath;
    bool checkOnly = false;
    bool printSettings = false;
};

// Parses the command line. If a value is returned, the process exits with it.
std::optional<int> parseArguments(int argc, char** argv, const std::string& description, DaemonArguments&);

// SIGTERM and SIGINT request a graceful stop; a second one ends the process at once. SIGHUP requests a reload of the
// settings. SIGPIPE is ignored.
void installSignalHandlers();

// Blocks until a stop is requested or `failed` returns true. Calls `reload` if the contents of the settings file have
// changed; checks them after SIGHUP and periodically.
void waitForStop(const std::function<bool()>& failed, const std::function<void()>& reload,
    const std::string& settingsPath, LineWriter&);

bool stopRequested();

// A number that increases with every start of a process on the same machine.
uint64_t makeIncarnation(const Clock&);

// Prints a startup error to standard error and returns `exitCode`.
int reportStartFailure(const Error&, int exitCode);

// Runs a daemon from command line to exit: reads the settings with `load`, creates and starts the node, waits for a
// stop request and stops the node.
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
    LineWriter logWriter({}, clock);
    const Log log(
        std::get<0>(valueOrError([&] { return logLevelFromName(settings.log().level()); })), clock, logWriter);
    Metrics metrics;
    const ProcessContext context { clock, log, metrics, makeIncarnation(clock), std::random_device()() };
    const auto id = settings.instance().id();
    Node node(settings, context);
    const auto startResult = valueOrError([&] { return node.start(); });
    if (const auto* error = std::get_if<Error>(&startResult))
        return reportStartFailure(*error, exitFailed);
    const auto reload = [&] {
        if constexpr (requires { node.reload(settings); }) {
            const auto reloaded = valueOrError([&] { return load(arguments.settingsPath); });
            if (const auto* error = std::get_if<Error>(&reloaded))
                log.warning("settings_not_reloaded", { { "reason", error->message } });
            else
                node.reload(std::get<0>(reloaded));
        }
    };
    waitForStop([&] { return node.failed(); }, reload, arguments.settingsPath, logWriter);
    log.info("stopping", { { "id", id } });
    node.stop();
    log.info("stopped", { { "id", id } });
    logWriter.flushWithTimeout(logFlushTimeout);
    return node.failed() ? exitFailed : exitOk;
}

} // namespace teasel

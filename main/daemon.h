// What the daemons' main programs share: command line, settings, signals.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "observability/log.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace teasel {

// Exit codes of the daemons.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 64;
constexpr int exitBadSettings = 78;

struct DaemonArguments {
    std::string settingsPath;
    bool checkOnly = false;
    bool printSettings = false;
};

// Reads the command line; a value means that the process ends with it.
std::optional<int> parseArguments(int argc, char** argv, const std::string& description, DaemonArguments&);

// Takes SIGTERM and SIGINT as the order to stop gracefully. A second one ends the process at once.
void installSignalHandlers();

// Waits for the order to stop, or until `failed` says that there is no use in going on.
void waitForStop(const std::function<bool()>& failed);

bool stopOrdered();

// A number that rises with every start of a process on the same machine.
uint64_t incarnationNow(const Clock&);

// Prints an error of the start for people and gives the exit code.
int reportStartFailure(const Error&, int exitCode);

// Runs a daemon: `node` has start() and stop().
template <class Node>
int runDaemon(Node& node, const Log& log, const std::string& id, const std::function<bool()>& failed)
{
    const auto started = valueOrError([&] { return node.start(); });
    if (const auto* error = std::get_if<Error>(&started))
        return reportStartFailure(*error, exitFailed);
    waitForStop(failed);
    log.info("stopping", { { "id", id } });
    node.stop();
    log.info("stopped", { { "id", id } });
    return failed() ? exitFailed : exitOk;
}

} // namespace teasel

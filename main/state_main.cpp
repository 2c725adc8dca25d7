// teasel-state: one replica of the fleet state.
#include "main/daemon.h"
#include "node/state_node.h"
#include "settings/state_settings.h"

#include <fmt/format.h>

#include <random>

int main(int argc, char** argv)
{
    using namespace teasel;
    DaemonArguments arguments;
    if (const auto code = parseArguments(argc, argv, "A replica of the fleet state.", arguments))
        return *code;
    auto loaded = valueOrError([&] { return loadStateSettings(arguments.settingsPath); });
    if (const auto* error = std::get_if<Error>(&loaded))
        return reportStartFailure(*error, exitBadSettings);
    auto& settings = std::get<0>(loaded);
    if (arguments.printSettings)
        fmt::print("{}", printSettings(settings));
    if (arguments.printSettings || arguments.checkOnly)
        return exitOk;

    installSignalHandlers();
    const SystemClock clock;
    const Log log(std::get<0>(valueOrError([&] { return logLevelFromName(settings.log().level()); })), clock);
    Metrics metrics;
    const ProcessLinks links { clock, log, metrics, incarnationNow(clock), std::random_device()() };
    const auto id = settings.instance().id();
    StateNode node(std::move(settings), links);
    return runDaemon(node, log, id, [&] { return node.failed(); });
}

// teasel-entry: an entry instance, which faces callers, endpoints and operators.
#include "main/daemon.h"
#include "node/entry_node.h"
#include "settings/entry_settings.h"

#include <fmt/format.h>

#include <random>

int main(int argc, char** argv)
{
    using namespace teasel;
    DaemonArguments arguments;
    if (const auto code = parseArguments(argc, argv, "An entry instance of the scheduler.", arguments))
        return *code;
    auto loaded = valueOrError([&] { return loadEntrySettings(arguments.settingsPath); });
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
    EntryNode node(std::move(settings), links);
    return runDaemon(node, log, id, [] { return false; });
}

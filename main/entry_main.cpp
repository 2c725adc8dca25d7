// teasel-entry: an entry instance, which serves callers, endpoints and operators.
#include "main/daemon.h"
#include "node/caller_limits.h"
#include "node/entry_node.h"
#include "settings/entry_settings.h"

int main(int argc, char** argv)
{
    teasel::returnFreedBodies();
    return teasel::runDaemon<teasel::EntryNode>(
        argc, argv, "An entry instance of the scheduler.", teasel::loadEntrySettings);
}

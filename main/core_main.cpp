// teasel-core: an instance of the core, which holds the job plane's state.
#include "main/daemon.h"
#include "node/core_node.h"
#include "settings/job_settings.h"

int main(int argc, char** argv)
{
    return teasel::runDaemon<teasel::CoreNode>(
        argc, argv, "An instance of the core: the job plane's state and its leader.", teasel::loadCoreSettings);
}

// teasel-core: a core instance, which stores and replicates the job plane's state.
#include "main/daemon.h"
#include "node/core_node.h"
#include "settings/job_settings.h"

int main(int argc, char** argv)
{
    return teasel::runDaemon<teasel::CoreNode>(
        argc, argv, "A core instance: replicates the job plane's state and can lead it.", teasel::loadCoreSettings);
}

// teasel-front: a front instance, which serves the job plane's callers.
#include "main/daemon.h"
#include "node/caller_limits.h"
#include "node/front_node.h"
#include "settings/job_settings.h"

int main(int argc, char** argv)
{
    teasel::returnFreedBodies();
    return teasel::runDaemon<teasel::FrontNode>(
        argc, argv, "A front instance: serves callers of the job plane.", teasel::loadFrontSettings);
}

// teasel-state: a replica of the fleet state.
#include "main/daemon.h"
#include "node/state_node.h"
#include "settings/state_settings.h"

int main(int argc, char** argv)
{
    return teasel::runDaemon<teasel::StateNode>(argc, argv, "A replica of the fleet state.", teasel::loadStateSettings);
}

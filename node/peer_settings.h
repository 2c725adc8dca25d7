// Builds the peer network's options from the settings of an entry instance or a state replica.
#pragma once

#include "net/peer_network.h"

#include <vector>

namespace teasel {

// Returns all entry instances and state replicas listed in the settings.
template <class Settings> std::vector<PeerEndpoint> peersOf(const Settings& settings)
{
    std::vector<PeerEndpoint> out;
    for (const auto& it : settings.states())
        out.push_back({ it.id(), it.peer_address() });
    for (const auto& it : settings.entries())
        out.push_back({ it.id(), it.peer_address() });
    return out;
}

template <class Settings> PeerNetworkOptions networkOptions(const Settings& settings, uint64_t incarnation)
{
    PeerNetworkOptions out;
    out.id = settings.instance().id();
    out.incarnation = incarnation;
    out.listenAddress = settings.instance().peer_address();
    return out;
}

} // namespace teasel

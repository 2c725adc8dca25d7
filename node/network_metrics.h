// Reports the messages that a peer network did not send.
#pragma once

#include "net/peer_network.h"
#include "node/process_context.h"

namespace teasel {

inline void reportDrops(PeerNetwork& network, const ProcessContext& context)
{
    const auto drops = network.takeDrops();
    context.metrics.counter(ProcessCounter::MessagesDropped).Increment(static_cast<double>(drops.total()));
    context.metrics.counter(ProcessCounter::MessagesTooLarge).Increment(static_cast<double>(drops.tooLarge));
    // Lost connections and peers that left are reported elsewhere.
    if (drops.tooLarge + drops.queueFull > 0)
        context.log.warning("messages_dropped",
            { { "too_large", drops.tooLarge }, { "queue_full", drops.queueFull }, { "peer", drops.lastPeer },
                { "largest_bytes", drops.largestBytes } });
}

} // namespace teasel

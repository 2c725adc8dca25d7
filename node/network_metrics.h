// Reports the messages that a peer network did not send, and the callers' connections that a server closed.
#pragma once

#include "net/http_server.h"
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

inline void reportClosedCallers(HttpServer& server, const ProcessContext& context)
{
    const auto closed = server.takeClosedForRoom();
    context.metrics.counter(ProcessCounter::CallersClosed).Increment(static_cast<double>(closed));
    if (closed > 0)
        context.log.warning("callers_closed",
            { { "connections", closed }, { "reason", "callers use more connections or memory than the limits" } });
}

} // namespace teasel

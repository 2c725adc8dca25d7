// Message transport between the processes of the system, based on nghttp2 streams. Delivery is at most once, and in
// order within one connection; messages may be lost.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "net/address.h"
#include "net/peer_session.h"
#include "peer.pb.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace teasel {

struct PeerEndpoint {
    std::string id;
    std::string address; // host:port
};

struct PeerNetworkOptions {
    std::string id; // id of this process
    uint64_t incarnation = 0;
    std::string listenAddress;
    size_t maxQueuedBytes = 16 << 20; // limit per peer; further messages are dropped
    Milliseconds pingInterval { 1'000 };
    Milliseconds inactivityTimeout { 4'000 }; // a connection that receives nothing for this long is closed and reopened
    Milliseconds minReconnectDelay { 50 };
    Milliseconds maxReconnectDelay { 1'000 };
    bool idsAreAddresses = false; // the id of an unlisted peer is its address; it is connected on demand
    Milliseconds unlistedIdleTimeout { 20'000 }; // an unused connection to an unlisted peer is closed after this time
};

// Counters since the process started.
struct PeerNetworkStats {
    uint64_t messagesSent = 0;
    uint64_t bytesSent = 0;
    uint64_t messagesReceived = 0;
    uint64_t messagesDropped = 0;
    uint64_t connectionsEstablished = 0;
};

// Messages that were not sent, since the last report.
struct PeerDrops {
    uint64_t tooLarge = 0; // for any peer
    uint64_t queueFull = 0; // the peer reads too slowly
    uint64_t unknownPeer = 0;
    uint64_t connectionLost = 0; // queued when a connection was closed
    std::string lastPeer; // of those too large or for a full queue
    size_t largestBytes = 0; // of the same

    uint64_t total() const { return tooLarge + queueFull + unknownPeer + connectionLost; }
};

class PeerNetwork {
public:
    // The receiver is called on the network thread and must not block.
    PeerNetwork(PeerNetworkOptions, std::vector<PeerEndpoint> peers, const Clock&, PeerSession::Receiver);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // Starts listening and the network thread. Fails with BadRequest if the address can't be used.
    Result<void> start();
    void stop();

    // Queues an envelope for a peer. It is dropped and counted if the id is unknown or the peer's queue is full.
    // Thread-safe.
    void send(std::string_view to, schema::Envelope);

    PeerNetworkStats stats() const;

    // Returns and clears what was dropped since the last call. Thread-safe.
    PeerDrops takeDrops();

private:
    struct Outbound {
        PeerEndpoint endpoint;
        std::unique_ptr<PeerSession> session;
        bool connecting = false;
        Instant nextConnectAt {};
        Instant nextPingAt {};
        Milliseconds reconnectDelay { 0 };
        uint64_t pendingMessages = 0;
        std::string pending; // framed messages not yet passed to the session
        bool isListed = true;
        Instant lastUsedAt {};
    };

    void run();
    void recordDrop(uint64_t PeerDrops::*reason, std::string_view to, size_t bytes);
    void dropPending(Outbound&);
    void acceptConnections();
    void distributeOutbox(Instant);
    Outbound* findOutbound(const std::string& id);
    void maintainConnections(Instant);
    void connectPeer(Outbound&, Instant);
    void closeOutbound(Outbound&, Instant);
    void finishConnect(Outbound&, Instant);
    void handleOutbound(Outbound&, uint32_t events, Instant);
    void handleInbound(int fd, uint32_t events, Instant);
    void flushOutbound(Outbound&, Instant);
    void watchSocket(int fd, uint32_t events, bool add) const;

    PeerNetworkOptions m_options;
    const Clock& m_clock;
    PeerSession::Receiver m_receiver;
    std::deque<Outbound> m_outbound;
    absl::flat_hash_map<std::string, size_t> m_outboundById;
    absl::flat_hash_map<int, size_t> m_outboundByFd;
    absl::flat_hash_map<int, std::unique_ptr<PeerSession>> m_inbound;
    int m_listener = -1;
    int m_epoll = -1;
    int m_wakeupEvent = -1;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;

    std::mutex m_mutex;
    std::vector<std::pair<std::string, std::string>> m_outbox; // peer id and framed message; guarded by m_mutex

    PeerDrops m_drops; // guarded by m_mutex

    std::atomic<uint64_t> m_messagesSent = 0;
    std::atomic<uint64_t> m_bytesSent = 0;
    std::atomic<uint64_t> m_messagesReceived = 0;
    std::atomic<uint64_t> m_messagesDropped = 0;
    std::atomic<uint64_t> m_connectionsEstablished = 0;
};

} // namespace teasel

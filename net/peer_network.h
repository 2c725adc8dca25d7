// Delivery of envelopes between the system's own processes, over nghttp2 streams.
// Delivery is at most once and in order per connection; messages may be lost.
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
    std::string id; // of this process
    uint64_t incarnation = 0;
    std::string listenAddress;
    size_t maxQueuedBytes = 16 << 20; // per peer; newer messages are dropped beyond it
    Milliseconds pingEvery { 1'000 };
    Milliseconds silenceLimit { 4'000 }; // a connection not heard for this long is made anew
    Milliseconds firstReconnect { 50 };
    Milliseconds longestReconnect { 1'000 };
    bool idsAreAddresses = false; // a peer that is not listed is reached at its id, while there is something to send
    Milliseconds forgetUnusedAfter { 20'000 }; // closes the connection to an unlisted peer
};

// Counters since the start.
struct PeerNetworkStats {
    uint64_t messagesSent = 0;
    uint64_t bytesSent = 0;
    uint64_t messagesReceived = 0;
    uint64_t messagesDropped = 0;
    uint64_t connectionsMade = 0;
};

class PeerNetwork {
public:
    // The receiver is called on the network thread and must not block.
    PeerNetwork(PeerNetworkOptions, std::vector<PeerEndpoint> peers, const Clock&, PeerSession::Receiver);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // Listens and starts the network thread. Fails with BadRequest when the address can't be used.
    Result<void> start();
    void stop();

    // Sends to a peer by id; unknown ids and full queues count as dropped. Safe from any thread.
    void send(std::string_view to, schema::Envelope);

    PeerNetworkStats stats() const;

private:
    struct Outbound {
        PeerEndpoint endpoint;
        std::unique_ptr<PeerSession> session;
        bool connecting = false;
        Instant nextConnect {};
        Instant nextPing {};
        Milliseconds backoff { 0 };
        std::string waiting; // framed messages not yet handed to the session
        bool isListed = true;
        Instant lastUsed {};
    };

    void run();
    void acceptConnections();
    void takeOutbox(Instant);
    Outbound* findOutbound(const std::string& id);
    void maintain(Instant);
    void connectPeer(Outbound&, Instant);
    void dropOutbound(Outbound&, Instant);
    void finishConnect(Outbound&, Instant);
    void handleOutbound(Outbound&, uint32_t events, Instant);
    void handleInbound(int fd, uint32_t events, Instant);
    void flushOutbound(Outbound&, Instant);
    void watch(int fd, uint32_t events, bool add) const;

    PeerNetworkOptions m_options;
    const Clock& m_clock;
    PeerSession::Receiver m_receiver;
    std::deque<Outbound> m_outbound;
    absl::flat_hash_map<std::string, size_t> m_outboundById;
    absl::flat_hash_map<int, size_t> m_outboundByFd;
    absl::flat_hash_map<int, std::unique_ptr<PeerSession>> m_inbound;
    int m_listener = -1;
    int m_epoll = -1;
    int m_wake = -1;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;

    std::mutex m_mutex;
    std::vector<std::pair<std::string, std::string>> m_outbox; // peer and framed message; guarded by m_mutex

    std::atomic<uint64_t> m_messagesSent = 0;
    std::atomic<uint64_t> m_bytesSent = 0;
    std::atomic<uint64_t> m_messagesReceived = 0;
    std::atomic<uint64_t> m_messagesDropped = 0;
    std::atomic<uint64_t> m_connectionsMade = 0;
};

} // namespace teasel

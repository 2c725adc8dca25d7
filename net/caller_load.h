// Connections and memory that the callers of a server use, and which connections to close when they use too much.
// Thread-compatible.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace teasel {

class CallerLoad {
public:
    using Id = uint64_t; // of a connection

    enum class Phase : uint8_t {
        Idle = 0, // no request has begun, or its headers have not arrived completely
        Receiving = 1, // the body of a request is arriving
        Waiting = 2, // a request was read and is not answered yet; such a connection is never closed
        Sending = 3, // an answer is being sent
    };

    // Bytes are those of requests until they are answered, and of answers until they are sent.
    CallerLoad(size_t maxConnections, size_t maxBytes)
        : m_maxConnections(maxConnections)
        , m_maxBytes(maxBytes)
    {
    }

    // Begins in phase Idle. Without a connection that may be closed instead, this one is closed.
    Id open(int fd);
    void close(Id);

    void setPhase(Id, Phase);

    // Makes room for further bytes of a connection by closing those that have been in their phase for longer, the
    // oldest first. Returns false, and adds nothing, if that does not suffice, or if the connection is being closed
    // itself.
    bool reserve(Id, size_t bytes);
    void release(Id);

    // Returns the descriptors of the connections on which requests were answered and no further one has begun. Each is
    // valid until close().
    std::vector<int> idleAfterRequest() const;

    size_t connections() const { return m_connections.size(); }
    size_t bytes() const { return m_bytes; }

    // Returns the descriptors of the connections to close since the last call. Each is valid until close().
    std::vector<int> takeClosing() { return std::exchange(m_closing, {}); }

private:
    struct Connection {
        int fd = -1;
        Phase phase = Phase::Idle;
        uint64_t since = 0; // sequence number of the change to this phase
        size_t bytes = 0;
        bool isClosing = false;
        bool hadRequest = false;
    };
    using ByAge = absl::btree_set<std::pair<uint64_t, Id>>;

    void list(Id, const Connection&);
    void unlist(Id, const Connection&);
    void beginClosing(Id);

    size_t m_maxConnections;
    size_t m_maxBytes;
    size_t m_bytes = 0;
    size_t m_openCount = 0; // connections that are not being closed
    uint64_t m_sequence = 0;
    Id m_lastId = 0;
    absl::flat_hash_map<Id, Connection> m_connections;
    ByAge m_closable; // oldest first
    ByAge m_closableWithBytes;
    std::vector<int> m_closing;
};

} // namespace teasel

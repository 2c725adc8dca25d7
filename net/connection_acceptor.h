// Accepts the connections to an address on a thread of its own.
#pragma once

#include "core/result.h"

#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/socket.h>

namespace teasel {

class ConnectionAcceptor {
public:
    // Called on the acceptor's thread, or by stop(), with a non-blocking socket, which the callback owns.
    using Accepted = std::function<void(int fd, const sockaddr* peer, socklen_t)>;

    // How many further connections there is room for. Others wait in the listener's queue.
    using Room = std::function<size_t()>;

    ConnectionAcceptor(Room room, Accepted accepted)
        : m_room(std::move(room))
        , m_accepted(std::move(accepted))
    {
    }
    ~ConnectionAcceptor() { stop(); }
    ConnectionAcceptor(const ConnectionAcceptor&) = delete;
    ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;

    // Listens and starts the thread. Fails with BadRequest if the address can't be used.
    Result<void> start(const std::string& address);

    // Accepts what is in the listener's queue, as far as there is room, and closes it: to its caller such a connection
    // is open, and a request may have been sent on it.
    void stop();

private:
    struct Connection {
        int fd = -1;
        sockaddr_storage peer {};
        socklen_t peerSize = sizeof(sockaddr_storage);
    };

    void run();
    std::vector<Connection> accept(size_t most);
    void handOver(const std::vector<Connection>&);

    Room m_room;
    Accepted m_accepted;
    int m_listener = -1;
    int m_wakeup = -1; // an eventfd that ends the thread
    std::thread m_thread;
};

} // namespace teasel

#include "net/connection_acceptor.h"

#include "net/address.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasel {

namespace {

    constexpr int maxQueued = 1'024;
    constexpr size_t maxAccepted = 64; // at once
    constexpr std::chrono::milliseconds retryDelay { 10 }; // when there is no room, or no descriptor

    bool listenOn(int fd, const SocketAddress& address)
    {
        constexpr int on = 1;
        return setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
            && setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0
            && bind(fd, address.raw(), address.size()) == 0 && listen(fd, maxQueued) == 0;
    }

} // namespace

Result<void> ConnectionAcceptor::start(const std::string& address)
{
    BOOST_LEAF_AUTO(parsed, SocketAddress::parse(address));
    m_listener = socket(parsed.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_listener < 0 || !listenOn(m_listener, parsed)) {
        auto reason = fmt::format("can't listen on {}: {}", address, std::strerror(errno));
        if (m_listener >= 0)
            close(std::exchange(m_listener, -1));
        return fail(ErrorKind::BadRequest, std::move(reason));
    }
    m_wakeup = eventfd(0, EFD_CLOEXEC);
    m_thread = std::thread([this] { run(); });
    return {};
}

void ConnectionAcceptor::stop()
{
    if (!m_thread.joinable())
        return;
    eventfd_write(m_wakeup, 1);
    m_thread.join();
    // Nothing else is done before the listener is closed, so that the callers can't fill its queue again.
    const auto queued = accept(maxQueued);
    close(std::exchange(m_listener, -1));
    close(std::exchange(m_wakeup, -1));
    handOver(queued);
}

void ConnectionAcceptor::run()
{
    for (;;) {
        std::array<pollfd, 2> fds { { { m_listener, POLLIN, 0 }, { m_wakeup, POLLIN, 0 } } };
        poll(fds.data(), fds.size(), -1);
        if (fds[1].revents != 0)
            return;
        const auto accepted = accept(maxAccepted);
        handOver(accepted);
        if (accepted.empty())
            std::this_thread::sleep_for(retryDelay);
    }
}

std::vector<ConnectionAcceptor::Connection> ConnectionAcceptor::accept(size_t most)
{
    std::vector<Connection> out;
    most = std::min(most, m_room());
    while (out.size() < most) {
        Connection it;
        it.fd = accept4(m_listener, reinterpret_cast<sockaddr*>(&it.peer), &it.peerSize, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (it.fd >= 0)
            out.push_back(it);
        else if (errno != EINTR && errno != ECONNABORTED)
            break;
    }
    return out;
}

void ConnectionAcceptor::handOver(const std::vector<Connection>& connections)
{
    for (const auto& it : connections)
        m_accepted(it.fd, reinterpret_cast<const sockaddr*>(&it.peer), it.peerSize);
}

} // namespace teasel

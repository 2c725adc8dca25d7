#include "net/peer_network.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasel {

namespace {

    constexpr int listenBacklog = 256;
    constexpr int pollTimeoutMs = 50;

    void setNoDelay(int fd)
    {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }

} // namespace

PeerNetwork::PeerNetwork(
    PeerNetworkOptions options, std::vector<PeerEndpoint> peers, const Clock& clock, PeerSession::Receiver receiver)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_receiver(std::move(receiver))
{
    for (auto& it : peers) {
        if (it.id == m_options.id)
            continue;
        m_outboundById.emplace(it.id, m_outbound.size());
        Outbound outbound;
        outbound.endpoint = std::move(it);
        outbound.reconnectDelay = m_options.minReconnectDelay;
        m_outbound.push_back(std::move(outbound));
    }
}

PeerNetwork::~PeerNetwork() { stop(); }

Result<void> PeerNetwork::start()
{
    BOOST_LEAF_AUTO(address, SocketAddress::parse(m_options.listenAddress));
    m_listener = socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(m_listener, address.raw(), address.size()) != 0 || listen(m_listener, listenBacklog) != 0) {
        const auto reason = std::strerror(errno);
        close(std::exchange(m_listener, -1));
        return fail(ErrorKind::BadRequest, fmt::format("can't listen on {}: {}", m_options.listenAddress, reason));
    }
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wakeupEvent = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    watchSocket(m_listener, EPOLLIN, true);
    watchSocket(m_wakeupEvent, EPOLLIN, true);
    m_thread = std::thread([this] { run(); });
    return {};
}

void PeerNetwork::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    const uint64_t one = 1;
    [[maybe_unused]] const auto n = write(m_wakeupEvent, &one, sizeof one);
    m_thread.join();
    m_inbound.clear();
    for (auto& it : m_outbound)
        it.session.reset();
    close(m_listener);
    close(m_wakeupEvent);
    close(m_epoll);
}

void PeerNetwork::send(std::string_view to, schema::Envelope envelope)
{
    if (!m_options.idsAreAddresses && !m_outboundById.contains(std::string(to)))
        return recordDrop(&PeerDrops::unknownPeer, to, 0);
    envelope.set_from(m_options.id);
    envelope.set_incarnation(m_options.incarnation);
    auto framed = frameEnvelope(envelope);
    // The peer would close the connection, and other messages would be lost.
    if (framed.size() > maxEnvelopeBytes)
        return recordDrop(&PeerDrops::tooLarge, to, framed.size());
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_outbox.empty();
        m_outbox.emplace_back(std::string(to), std::move(framed));
    }
    if (wasEmpty) {
        const uint64_t one = 1;
        [[maybe_unused]] const auto n = write(m_wakeupEvent, &one, sizeof one);
    }
}

PeerNetworkStats PeerNetwork::stats() const
{
    return { m_messagesSent, m_bytesSent, m_messagesReceived, m_messagesDropped, m_connectionsEstablished };
}

PeerDrops PeerNetwork::takeDrops()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_drops, {});
}

void PeerNetwork::recordDrop(uint64_t PeerDrops::*reason, std::string_view to, size_t bytes)
{
    ++m_messagesDropped;
    const std::lock_guard lock(m_mutex);
    ++(m_drops.*reason);
    if (reason != &PeerDrops::tooLarge && reason != &PeerDrops::queueFull)
        return;
    m_drops.lastPeer = to;
    m_drops.largestBytes = std::max(m_drops.largestBytes, bytes);
}

void PeerNetwork::dropPending(Outbound& outbound)
{
    outbound.pending.clear();
    const auto messages = std::exchange(outbound.pendingMessages, 0);
    m_messagesDropped += messages;
    const std::lock_guard lock(m_mutex);
    m_drops.connectionLost += messages;
}

void PeerNetwork::watchSocket(int fd, uint32_t events, bool add) const
{
    epoll_event event = {};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(m_epoll, add ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
}

void PeerNetwork::run()
{
    std::array<epoll_event, 64> events;
    while (!m_stopping) {
        const int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), pollTimeoutMs);
        const auto now = m_clock.now();
        for (int k = 0; k < n; ++k) {
            const int fd = events[k].data.fd;
            if (fd == m_listener) {
                acceptConnections();
            } else if (fd == m_wakeupEvent) {
                uint64_t count = 0;
                [[maybe_unused]] const auto got = read(m_wakeupEvent, &count, sizeof count);
            } else if (const auto it = m_outboundByFd.find(fd); it != m_outboundByFd.end()) {
                handleOutbound(m_outbound[it->second], events[k].events, now);
            } else {
                handleInbound(fd, events[k].events, now);
            }
        }
        distributeOutbox(now);
        maintainConnections(now);
    }
}

void PeerNetwork::acceptConnections()
{
    while (true) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        setNoDelay(fd);
        auto receiver = [this](schema::Envelope envelope) {
            ++m_messagesReceived;
            m_receiver(std::move(envelope));
        };
        m_inbound.emplace(fd, std::make_unique<PeerSession>(fd, false, std::move(receiver)));
        watchSocket(fd, EPOLLIN, true);
        m_inbound[fd]->flush();
    }
}

void PeerNetwork::handleInbound(int fd, uint32_t, Instant now)
{
    const auto it = m_inbound.find(fd);
    if (it == m_inbound.end())
        return;
    auto& session = *it->second;
    if (!session.onReadable(now) || !session.flush()) {
        m_inbound.erase(it);
        return;
    }
    watchSocket(fd, session.wantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN, false);
}

PeerNetwork::Outbound* PeerNetwork::findOutbound(const std::string& id)
{
    if (const auto found = m_outboundById.find(id); found != m_outboundById.end())
        return &m_outbound[found->second];
    if (!m_options.idsAreAddresses || id.empty() || id == m_options.id)
        return nullptr;
    m_outboundById.emplace(id, m_outbound.size());
    Outbound outbound;
    outbound.endpoint = { id, id };
    outbound.reconnectDelay = m_options.minReconnectDelay;
    outbound.isListed = false;
    m_outbound.push_back(std::move(outbound));
    return &m_outbound.back();
}

void PeerNetwork::distributeOutbox(Instant now)
{
    std::vector<std::pair<std::string, std::string>> messages;
    {
        const std::lock_guard lock(m_mutex);
        messages.swap(m_outbox);
    }
    for (auto& [id, framed] : messages) {
        auto* outbound = findOutbound(id);
        if (outbound == nullptr) {
            recordDrop(&PeerDrops::unknownPeer, id, framed.size());
            continue;
        }
        const auto queued = outbound->pending.size() + (outbound->session ? outbound->session->queuedBytes() : 0);
        if (queued + framed.size() > m_options.maxQueuedBytes) {
            recordDrop(&PeerDrops::queueFull, id, framed.size());
            continue;
        }
        ++m_messagesSent;
        m_bytesSent += framed.size();
        outbound->pending += framed;
        ++outbound->pendingMessages;
        outbound->lastUsedAt = now;
    }
}

void PeerNetwork::maintainConnections(Instant now)
{
    for (auto& it : m_outbound) {
        if (!it.session) {
            if (now >= it.nextConnectAt && (it.isListed || !it.pending.empty()))
                connectPeer(it, now);
            continue;
        }
        if (!it.isListed && it.pending.empty() && now - it.lastUsedAt > m_options.unlistedIdleTimeout) {
            closeOutbound(it, now);
            continue;
        }
        if (now - it.session->lastContactAt() > m_options.inactivityTimeout) {
            closeOutbound(it, now);
            continue;
        }
        if (it.connecting)
            continue;
        if (now >= it.nextPingAt) {
            it.session->ping();
            it.nextPingAt = now + m_options.pingInterval;
        }
        if (!it.pending.empty() || it.session->wantsWrite())
            flushOutbound(it, now);
    }
}

void PeerNetwork::connectPeer(Outbound& outbound, Instant now)
{
    const auto parsed = valueOrError([&] { return SocketAddress::parse(outbound.endpoint.address); });
    outbound.nextConnectAt = now + m_options.maxReconnectDelay;
    const auto* address = std::get_if<SocketAddress>(&parsed);
    if (address == nullptr)
        return;
    const int fd = socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0)
        setNoDelay(fd);
    if (fd < 0 || (connect(fd, address->raw(), address->size()) != 0 && errno != EINPROGRESS)) {
        if (fd >= 0)
            close(fd);
        dropPending(outbound); // as in closeOutbound()
        return;
    }
    outbound.session = std::make_unique<PeerSession>(fd, true, [](const schema::Envelope&) {});
    outbound.session->setLastContactAt(now);
    outbound.connecting = true;
    m_outboundByFd[fd] = m_outboundById.at(outbound.endpoint.id);
    watchSocket(fd, EPOLLIN | EPOLLOUT, true);
}

void PeerNetwork::finishConnect(Outbound& outbound, Instant now)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(outbound.session->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        closeOutbound(outbound, now);
        return;
    }
    outbound.connecting = false;
    outbound.session->setLastContactAt(now);
    outbound.nextPingAt = now;
    outbound.reconnectDelay = m_options.minReconnectDelay;
    ++m_connectionsEstablished;
}

void PeerNetwork::closeOutbound(Outbound& outbound, Instant now)
{
    m_outboundByFd.erase(outbound.session->fd());
    outbound.session->resetOnClose();
    outbound.session.reset();
    outbound.connecting = false;
    dropPending(outbound); // Senders repeat the messages that still matter; the others would be stale.
    outbound.nextConnectAt = now + outbound.reconnectDelay;
    outbound.reconnectDelay = std::min(outbound.reconnectDelay * 2, m_options.maxReconnectDelay);
}

void PeerNetwork::handleOutbound(Outbound& outbound, uint32_t events, Instant now)
{
    if (outbound.connecting) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0)
            finishConnect(outbound, now);
        if (!outbound.session || outbound.connecting)
            return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !outbound.session->onReadable(now)) {
        closeOutbound(outbound, now);
        return;
    }
    flushOutbound(outbound, now);
}

void PeerNetwork::flushOutbound(Outbound& outbound, Instant now)
{
    auto& session = *outbound.session;
    if (!outbound.pending.empty()) {
        session.enqueue(outbound.pending);
        outbound.pending.clear();
        outbound.pendingMessages = 0;
    }
    if (!session.flush()) {
        closeOutbound(outbound, now);
        return;
    }
    watchSocket(session.fd(), session.wantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN, false);
}

} // namespace teasel

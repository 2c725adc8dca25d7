#include "net/peer_session.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace teasel {

namespace {

    constexpr uint32_t windowBytes = 16 << 20;
    constexpr size_t outputChunkBytes = 256 << 10;
    constexpr size_t lengthBytes = 4;

    nghttp2_nv header(std::string_view name, std::string_view value)
    {
        return { reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
            reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE };
    }

} // namespace

std::string frameEnvelope(const schema::Envelope& envelope)
{
    std::string framed(lengthBytes, '\0');
    envelope.AppendToString(&framed);
    const auto n = static_cast<uint32_t>(framed.size() - lengthBytes);
    for (size_t k = 0; k < lengthBytes; ++k)
        framed[k] = static_cast<char>((n >> (8 * (lengthBytes - 1 - k))) & 0xff);
    return framed;
}

PeerSession::PeerSession(int fd, bool client, Receiver receiver)
    : m_fd(fd)
    , m_receiver(std::move(receiver))
{
    configureSession(client);
    if (client)
        openStream();
}

PeerSession::~PeerSession()
{
    nghttp2_session_del(m_session);
    close(m_fd);
}

void PeerSession::resetOnClose()
{
    const linger reset { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void PeerSession::configureSession(bool client)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &PeerSession::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &PeerSession::onStreamClose);
    if (client)
        nghttp2_session_client_new(&m_session, callbacks, this);
    else
        nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 2> entries { {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, windowBytes },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 4 },
    } };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, windowBytes);
}

void PeerSession::openStream()
{
    const std::array<nghttp2_nv, 4> headers { {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":path", "/peer"),
        header(":authority", "peer"),
    } };
    nghttp2_data_provider provider = {};
    provider.source.ptr = this;
    provider.read_callback = &PeerSession::readStream;
    m_streamId = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, this);
    m_broken = m_streamId < 0;
}

ssize_t PeerSession::readStream(
    nghttp2_session*, int32_t, uint8_t* buf, size_t n, uint32_t*, nghttp2_data_source* source, void*)
{
    auto& self = *static_cast<PeerSession*>(source->ptr);
    const auto ready = std::min(n, self.m_streamBuffer.size() - self.m_streamSent);
    if (ready == 0)
        return NGHTTP2_ERR_DEFERRED;
    self.m_streamBuffer.copy(reinterpret_cast<char*>(buf), ready, self.m_streamSent);
    self.m_streamSent += ready;
    if (self.m_streamSent == self.m_streamBuffer.size()) {
        self.m_streamBuffer.clear();
        self.m_streamSent = 0;
    }
    return static_cast<ssize_t>(ready);
}

int PeerSession::onData(nghttp2_session*, uint8_t, int32_t, const uint8_t* data, size_t n, void* user)
{
    auto& self = *static_cast<PeerSession*>(user);
    self.m_inputBuffer.append(reinterpret_cast<const char*>(data), n);
    if (!self.parseEnvelopes())
        self.m_broken = true;
    return 0;
}

int PeerSession::onStreamClose(nghttp2_session*, int32_t, uint32_t, void* user)
{
    static_cast<PeerSession*>(user)->m_broken = true;
    return 0;
}

bool PeerSession::parseEnvelopes()
{
    size_t consumed = 0;
    while (m_inputBuffer.size() - consumed >= lengthBytes) {
        uint32_t n = 0;
        for (size_t k = 0; k < lengthBytes; ++k)
            n = (n << 8) | static_cast<uint8_t>(m_inputBuffer[consumed + k]);
        if (n > maxEnvelopeBytes)
            return false;
        if (m_inputBuffer.size() - consumed - lengthBytes < n)
            break;
        schema::Envelope envelope;
        // The length shows where the next envelope begins: one that can't be parsed is lost alone.
        const bool isReadable
            = envelope.ParseFromArray(m_inputBuffer.data() + consumed + lengthBytes, static_cast<int>(n));
        consumed += lengthBytes + n;
        if (isReadable)
            m_receiver(std::move(envelope));
    }
    m_inputBuffer.erase(0, consumed);
    return true;
}

void PeerSession::enqueue(std::string_view framed)
{
    m_streamBuffer.append(framed);
    nghttp2_session_resume_data(m_session, m_streamId);
}

void PeerSession::ping() { nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr); }

bool PeerSession::onReadable(Instant now)
{
    std::array<uint8_t, 64 << 10> buf;
    while (!m_broken) {
        const auto n = recv(m_fd, buf.data(), buf.size(), 0);
        if (n == 0)
            return false;
        if (n < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        m_lastContactAt = now;
        if (nghttp2_session_mem_recv(m_session, buf.data(), static_cast<size_t>(n)) < 0)
            return false;
    }
    return false;
}

bool PeerSession::flush()
{
    while (!m_broken) {
        while (m_outputBuffer.size() - m_outputSent < outputChunkBytes) {
            const uint8_t* data = nullptr;
            const auto n = nghttp2_session_mem_send(m_session, &data);
            if (n < 0)
                return false;
            if (n == 0)
                break;
            m_outputBuffer.append(reinterpret_cast<const char*>(data), static_cast<size_t>(n));
        }
        if (m_outputSent == m_outputBuffer.size()) {
            m_outputBuffer.clear();
            m_outputSent = 0;
            return true;
        }
        const auto n
            = ::send(m_fd, m_outputBuffer.data() + m_outputSent, m_outputBuffer.size() - m_outputSent, MSG_NOSIGNAL);
        if (n < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        m_outputSent += static_cast<size_t>(n);
    }
    return false;
}

} // namespace teasel

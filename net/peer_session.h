// One HTTP/2 connection between two processes of the system. Messages flow in one direction only: the client opens a
// single stream and sends length-prefixed envelopes in its DATA frames; the server only reads.
#pragma once

#include "core/clock.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace teasel {

// Maximum size of a received envelope, in bytes. A larger one closes the connection.
constexpr size_t maxEnvelopeBytes = 8 << 20;

// An nghttp2 session on a non-blocking socket, which it owns. Not thread-safe.
class PeerSession {
public:
    using Receiver = std::function<void(schema::Envelope)>;

    PeerSession(int fd, bool client, Receiver);
    ~PeerSession();
    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    int fd() const { return m_fd; }

    // Reads all available data from the socket. Returns false if the connection must be closed.
    bool onReadable(Instant);

    // Writes as much as the socket accepts. Returns false if the connection must be closed.
    bool flush();
    bool wantsWrite() const
    {
        return m_outputSent < m_outputBuffer.size() || nghttp2_session_want_write(m_session) != 0;
    }

    // Appends framed messages to the stream. Only for client sessions.
    void enqueue(std::string_view framed);
    size_t queuedBytes() const { return m_streamBuffer.size() - m_streamSent; }

    // Lets the destructor reset the connection, which discards what could not be delivered yet.
    void resetOnClose();

    // Queues a PING frame, whose answer updates lastContactAt().
    void ping();
    Instant lastContactAt() const { return m_lastContactAt; }
    void setLastContactAt(Instant now) { m_lastContactAt = now; }

private:
    static ssize_t readStream(
        nghttp2_session*, int32_t, uint8_t* buf, size_t n, uint32_t* flags, nghttp2_data_source*, void*);
    static int onData(nghttp2_session*, uint8_t, int32_t, const uint8_t* data, size_t n, void*);
    static int onStreamClose(nghttp2_session*, int32_t, uint32_t, void*);

    void openStream();
    void configureSession(bool client);
    bool parseEnvelopes();

    int m_fd;
    Receiver m_receiver;
    nghttp2_session* m_session = nullptr;
    int32_t m_streamId = -1;
    std::string m_streamBuffer; // outgoing DATA not yet read by nghttp2
    size_t m_streamSent = 0;
    std::string m_outputBuffer; // bytes not yet written to the socket
    size_t m_outputSent = 0;
    std::string m_inputBuffer; // received bytes of an incomplete envelope
    bool m_broken = false;
    Instant m_lastContactAt {};
};

// Serializes an envelope for the stream, preceded by its length as a four-byte big-endian integer.
std::string frameEnvelope(const schema::Envelope&);

} // namespace teasel

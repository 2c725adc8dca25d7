// One HTTP/2 connection between two of the system's processes. A connection
// carries messages one way: the client opens a single stream and sends
// length-prefixed envelopes in its DATA frames; the server only reads.
#pragma once

#include "core/clock.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace teasel {

// The largest envelope that is sent or taken, in bytes.
constexpr size_t maxEnvelopeBytes = 8 << 20;

// A nghttp2 session bound to a non-blocking socket. Used on one thread only.
class PeerSession {
public:
    using Receiver = std::function<void(schema::Envelope)>;

    PeerSession(int fd, bool client, Receiver);
    ~PeerSession();
    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    int fd() const { return m_fd; }

    // Reads what the socket holds; false when the connection is finished.
    bool onReadable(Instant);

    // Writes as much as the socket takes; false when the connection is finished.
    bool flush();
    bool wantsWrite() const { return m_sent < m_output.size() || nghttp2_session_want_write(m_session) != 0; }

    // Appends one framed message to the stream (clients only).
    void enqueue(std::string_view framed);
    size_t queuedBytes() const { return m_stream.size() - m_streamSent; }

    // Sends a PING; the answer moves lastHeard().
    void ping();
    Instant lastHeard() const { return m_lastHeard; }
    void setLastHeard(Instant now) { m_lastHeard = now; }

private:
    static ssize_t readStream(
        nghttp2_session*, int32_t, uint8_t* buf, size_t n, uint32_t* flags, nghttp2_data_source*, void*);
    static int onData(nghttp2_session*, uint8_t, int32_t, const uint8_t* data, size_t n, void*);
    static int onStreamClose(nghttp2_session*, int32_t, uint32_t, void*);

    void openStream();
    void configureSession(bool client);
    bool takeEnvelopes();

    int m_fd;
    Receiver m_receiver;
    nghttp2_session* m_session = nullptr;
    int32_t m_streamId = -1;
    std::string m_stream; // outgoing DATA not yet taken by nghttp2
    size_t m_streamSent = 0;
    std::string m_output; // bytes not yet taken by the socket
    size_t m_sent = 0;
    std::string m_input; // partial envelope
    bool m_broken = false;
    Instant m_lastHeard {};
};

// Frames an envelope for the stream: four bytes of length, big-endian, then the bytes.
std::string frameEnvelope(const schema::Envelope&);

} // namespace teasel

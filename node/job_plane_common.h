// Helpers shared by the daemons of the job plane: peer addresses, options of the
// peer network, and HTTP responses for routed answers and for metrics.
#pragma once

#include "core/clock.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "observability/metrics.h"
#include "peer.pb.h"

#include <string>
#include <thread>
#include <vector>

namespace teasel {

// Low bits of a call's number, below the incarnation. They count more calls than an instance makes in a
// millisecond.
constexpr unsigned callNumberBits = 20;
constexpr size_t maxBufferedCallBytes = 32 << 20; // bodies of the calls that wait for an answer at one instance
constexpr Milliseconds jobPlanePingInterval { 500 };
constexpr Milliseconds jobPlaneSilenceLimit { 1'500 }; // three ping intervals; a silent connection is then reopened

// Returns the peer addresses of the seeds. The settings list the seeds' control
// addresses; the peer port is the same on every instance.
template <class Settings> std::vector<std::string> seedPeers(const Settings& settings)
{
    const auto& own = settings.instance().peer_address();
    const auto port = own.substr(own.rfind(':'));
    std::vector<std::string> out;
    for (const auto& it : settings.seeds())
        out.push_back(it.substr(0, it.rfind(':')) + port);
    return out;
}

// Options of a peer network in which a process is identified by its address.
inline PeerNetworkOptions jobPlaneNetworkOptions(const std::string& address, uint64_t incarnation)
{
    PeerNetworkOptions out;
    out.id = address;
    out.incarnation = incarnation;
    out.listenAddress = address;
    out.idsAreAddresses = true;
    out.pingInterval = jobPlanePingInterval;
    out.inactivityTimeout = jobPlaneSilenceLimit;
    return out;
}

// Converts the answer of another instance to an HTTP response.
inline HttpResponse toHttpResponse(schema::RoutedAnswer answer)
{
    HttpResponse out { answer.status(), "application/json", {}, std::move(*answer.mutable_body()) };
    if (answer.retry_after_s() > 0)
        out.headers.emplace_back("Retry-After", std::to_string(answer.retry_after_s()));
    return out;
}

// Waits until a stopping server has answered what it has read. Requests that arrive after `answerBy` are refused, so
// that the others can be answered before `end`.
inline void drainRequests(HttpServer& server, const Clock& clock, Instant answerBy, Instant end)
{
    constexpr Milliseconds pollInterval { 20 };
    while (server.pendingRequests() > 0 && clock.now() < answerBy)
        std::this_thread::sleep_for(pollInterval);
    server.refuseNewRequests();
    while (server.pendingRequests() > 0 && clock.now() < end)
        std::this_thread::sleep_for(pollInterval);
}

inline HttpResponse metricsResponse(const HttpRequest& request, Metrics& metrics)
{
    if (request.path == "/metrics")
        return { 200, "text/plain; version=0.0.4", {}, metrics.renderMetrics() };
    return { 404, "text/plain", {}, "only /metrics\n" };
}

} // namespace teasel

// What the daemons of the job plane have in common: addresses of one another,
// the streams between them, answers that were routed, the metrics page.
#pragma once

#include "core/clock.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "observability/metrics.h"
#include "peer.pb.h"

#include <string>
#include <vector>

namespace teasel {

constexpr unsigned callNumberBits = 20; // of a call's number, below the incarnation: more calls than in a millisecond
constexpr Milliseconds jobPlanePing { 500 };
constexpr Milliseconds jobPlaneSilence { 1'500 }; // three pings; a silent connection is made anew

// The seeds' addresses for the system's own processes. Settings name their control
// addresses; the port for the own processes is the same everywhere.
template <class Settings> std::vector<std::string> seedPeers(const Settings& settings)
{
    const auto& own = settings.instance().peer_address();
    const auto port = own.substr(own.rfind(':'));
    std::vector<std::string> out;
    for (const auto& it : settings.seeds())
        out.push_back(it.substr(0, it.rfind(':')) + port);
    return out;
}

// Streams between processes that are known by their addresses.
inline PeerNetworkOptions jobPlaneNetwork(const std::string& address, uint64_t incarnation)
{
    PeerNetworkOptions out;
    out.id = address;
    out.incarnation = incarnation;
    out.listenAddress = address;
    out.idsAreAddresses = true;
    out.pingEvery = jobPlanePing;
    out.silenceLimit = jobPlaneSilence;
    return out;
}

// The HTTP answer that another instance decided on.
inline HttpResponse toResponse(schema::RoutedAnswer answer)
{
    HttpResponse out { answer.status(), "application/json", {}, std::move(*answer.mutable_body()) };
    if (answer.retry_after_s() > 0)
        out.headers.emplace_back("Retry-After", std::to_string(answer.retry_after_s()));
    return out;
}

inline HttpResponse metricsResponse(const HttpRequest& request, Metrics& metrics)
{
    if (request.path == "/metrics")
        return { 200, "text/plain; version=0.0.4", {}, metrics.renderMetrics() };
    return { 404, "text/plain", {}, "only /metrics\n" };
}

} // namespace teasel

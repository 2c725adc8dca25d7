// A front instance: accepts callers' HTTP requests, forwards them to the job
// plane's leader, and calls the advice service on the leader's behalf. It
// authorizes nothing itself, so a revoked key stops working here at once.
#pragma once

#include "core/result.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/control_loop.h"
#include "node/leader_relay.h"
#include "node/process_context.h"
#include "node/stall_detector.h"
#include "settings.pb.h"

#include <atomic>
#include <string>

namespace teasel {

class FrontNode {
public:
    FrontNode(schema::FrontSettings, ProcessContext);
    ~FrontNode();
    FrontNode(const FrontNode&) = delete;
    FrontNode& operator=(const FrontNode&) = delete;

    Result<void> start();

    // Reports not ready until the load balancer sends no new calls, finishes the open calls within the grace time, and
    // stops all threads.
    void stop();

    // Applies the settings that may change at run time: the seeds.
    void reload(const schema::FrontSettings&);

    // A front instance stores nothing that could fail permanently.
    bool failed() const { return false; }

private:
    void onEnvelope(const schema::Envelope&);
    void onHttp(HttpRequest);
    // Whether a call that was read after a stall must not be forwarded any more; sets its remaining time otherwise.
    bool isOutdated(const HttpRequest&, schema::RoutedCall&, Duration age);
    void logAnswer(std::string_view method, std::string_view path, const schema::RoutedAnswer&, Instant receivedAt);
    void onReadinessCheck(const HttpRequest&);
    void onTick();
    void sendAdviceCall(const schema::Envelope&);

    schema::FrontSettings m_settings;
    ProcessContext m_context;
    std::string m_self;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    HttpClient m_httpClient;
    LeaderRelay m_relay;
    StallDetector m_stalls;
    bool m_hadLeader = false;
    Instant m_nextMetricsUpdate {};
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isStopping = false;
};

} // namespace teasel

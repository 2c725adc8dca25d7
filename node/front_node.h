// An instance that faces callers: takes their calls, passes them to the job
// plane's leader, and makes calls for advice on the leader's behalf. It decides
// nothing itself, so a key that was withdrawn stops working here at once.
#pragma once

#include "core/result.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/control_loop.h"
#include "node/leader_relay.h"
#include "node/process_links.h"
#include "settings.pb.h"

#include <atomic>
#include <string>

namespace teasel {

class FrontNode {
public:
    FrontNode(schema::FrontSettings, ProcessLinks);
    ~FrontNode();
    FrontNode(const FrontNode&) = delete;
    FrontNode& operator=(const FrontNode&) = delete;

    Result<void> start();

    // Leaves the balancer's rotation, answers what is held, and ends.
    void stop();

    // Takes over what may change while the process runs: the seeds.
    void reload(const schema::FrontSettings&);

    bool failed() const { return false; }

private:
    void onEnvelope(const schema::Envelope&);
    void onHttp(HttpRequest);
    void logAnswer(std::string_view method, std::string_view path, const schema::RoutedAnswer&, Instant began);
    void onReady(const HttpRequest&);
    void onTick();
    void callAdvice(const schema::Envelope&);

    schema::FrontSettings m_settings;
    ProcessLinks m_links;
    std::string m_self;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_callers;
    HttpServer m_ready;
    HttpServer m_metrics;
    HttpClient m_client;
    LeaderRelay m_relay;
    bool m_hadLeader = false;
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isStopping = false;
};

} // namespace teasel

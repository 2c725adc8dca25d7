// An entry instance: serves callers, endpoints and operators over HTTP, and
// exchanges messages with other instances and the fleet state over the peer
// network. All scheduling runs on the control thread.
#pragma once

#include "core/result.h"
#include "naming/name_table.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/authority.h"
#include "node/config_gateway.h"
#include "node/control_loop.h"
#include "node/endpoint_gateway.h"
#include "node/forwarder.h"
#include "node/leader_planes.h"
#include "node/load_exchange.h"
#include "node/process_context.h"
#include "node/request_gateway.h"
#include "node/state_client.h"
#include "settings.pb.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_set.h>

#include <atomic>
#include <string>
#include <string_view>

namespace teasel {

class EntryNode {
public:
    EntryNode(schema::EntrySettings, ProcessContext);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    // Opens the listeners and joins the fleet. The error of a failed start says how to fix it.
    Result<void> start();

    // Transfers leadership, finishes the held requests within the grace time, and stops all threads.
    void stop();

    // An entry instance stores nothing that could fail permanently.
    bool failed() const { return false; }

private:
    void onEnvelope(const schema::Envelope&);
    void onForwarded(const schema::Envelope&, Instant now);
    // Called on an HTTP thread; passes all requests but those for metrics to the control thread.
    void dispatchHttp(HttpRequest);
    void onHttp(HttpRequest);
    void onTick();
    void send(std::string_view to, schema::Envelope);
    void sendToState(schema::Envelope);
    void sendForwardedReply(std::string_view to, uint64_t ticket, schema::ForwardedReply);

    void onLeadershipGained(Epoch);
    void onLeadershipLost();
    void onConfigChanged();
    void updatePlanes();
    void revokeKeys(Instant now);
    void updateLeader(Instant now);
    void updateNeeds(Instant now);
    std::string statusJson() const;
    void updateMetrics(Instant now);
    bool hasNoOpenRequests();

    schema::EntrySettings m_settings;
    ProcessContext m_context;
    absl::flat_hash_set<std::string> m_stateReplicas; // ids of the state replicas
    absl::flat_hash_set<std::string> m_otherMembers; // the data centre's other entry instances
    NameTable m_nameTable;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_httpServer;
    HttpClient m_httpClient;
    StateClient m_stateClient;
    Authority m_authority;
    LeaderPlanes m_leaderPlanes;
    LoadExchange m_loadExchange;
    Forwarder m_forwarder;
    RequestGateway m_requestGateway;
    EndpointGateway m_endpointGateway;
    ConfigGateway m_configGateway;

    absl::btree_set<std::string> m_validKeys; // ids of the valid keys
    std::string m_leader;
    Epoch m_leaderEpoch = 0;
    Instant m_nextNeedsUpdate {};
    Instant m_nextMetricsUpdate {};
    std::atomic<bool> m_isDraining = false;
    bool m_isStopped = false;
};

} // namespace teasel

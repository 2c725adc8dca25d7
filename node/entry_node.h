// An entry instance: HTTP towards callers, endpoints and operators, streams
// towards the other instances and the fleet state, decisions on one thread.
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
#include "node/process_links.h"
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
    EntryNode(schema::EntrySettings, ProcessLinks);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    // Listens and starts to take part. Fails with what to do about it.
    Result<void> start();

    // Hands leadership over, finishes what is held within the grace time, ends.
    void stop();

    // An entry instance has nothing that fails for good.
    bool failed() const { return false; }

private:
    void onEnvelope(const schema::Envelope&);
    void onForwarded(const schema::Envelope&, Instant now);
    void takeHttp(HttpRequest);
    void onHttp(HttpRequest);
    void onTick();
    void send(std::string_view to, schema::Envelope);
    void sendToState(schema::Envelope);
    void sendForwardedReply(std::string_view to, uint64_t ticket, schema::ForwardedReply);

    void onGained(Epoch);
    void onLost();
    void onConfigChanged();
    void refreshPlanes();
    void withdrawKeys(Instant now);
    void followLeader(Instant now);
    void reviewNeeds(Instant now);
    std::string statusJson() const;
    void updateMetrics(Instant now);
    bool drained();

    schema::EntrySettings m_settings;
    ProcessLinks m_links;
    absl::flat_hash_set<std::string> m_states;
    absl::flat_hash_set<std::string> m_members; // the data centre's other entry instances
    NameTable m_names;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_http;
    HttpClient m_client;
    StateClient m_state;
    Authority m_authority;
    LeaderPlanes m_planes;
    LoadExchange m_loads;
    Forwarder m_forwarder;
    RequestGateway m_requests;
    EndpointGateway m_endpoints;
    ConfigGateway m_configuration;

    absl::btree_set<std::string> m_keys; // ids of the keys in force
    std::string m_leader;
    Epoch m_leaderEpoch = 0;
    Instant m_nextReview {};
    Instant m_nextMetrics {};
    std::atomic<bool> m_draining = false;
    bool m_stopped = false;
};

} // namespace teasel

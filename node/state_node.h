// A state replica: replicates the fleet state, serves the sessions of the data
// centres' leaders, and votes in the elections of those leaders.
#pragma once

#include "consensus/replicated_log.h"
#include "core/result.h"
#include "fleet/fleet_service.h"
#include "fleet/fleet_state.h"
#include "leadership/lease_voter.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/control_loop.h"
#include "node/fleet_state_machine.h"
#include "node/log_metrics.h"
#include "node/process_context.h"
#include "settings.pb.h"
#include "storage/posix_disk.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <string>
#include <string_view>

namespace teasel {

class StateNode {
public:
    StateNode(schema::StateSettings, ProcessContext);
    ~StateNode();
    StateNode(const StateNode&) = delete;
    StateNode& operator=(const StateNode&) = delete;

    // Recovers the state from disk and joins the fleet. The error of a failed start says how to fix it.
    Result<void> start();

    // Transfers leadership and stops all threads.
    void stop();

    // True once the disk has failed; the process must then be stopped.
    bool failed() const { return m_failed; }

private:
    void onEnvelope(const schema::Envelope&);
    void onPropose(const schema::Envelope&, Instant now);
    void sendAcknowledgement(const schema::Envelope&);
    void onLeadership(const schema::Envelope&, Instant now);
    void onHttp(const HttpRequest&);
    void onTick();
    void onServingChanged(bool serving);
    void onApplied(uint64_t ticket, const std::string& result);
    void executeActions(Instant now);
    void execute(SendGrant&);
    void execute(SendAnswer&);
    void execute(ProposeCommand&, Instant now);
    void sendNotLeader(std::string_view to, uint64_t ticket);
    std::string statusJson() const;
    void updateMetrics(Instant now);

    schema::StateSettings m_settings;
    ProcessContext m_context;
    FleetState m_state;
    FleetStateMachine m_stateMachine;
    FleetService m_service;
    LeaseVoter m_leaseVoter;
    PosixDisk m_disk;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_httpServer;
    ReplicatedLog m_log;
    LogMetrics m_logMetrics { m_context };
    absl::flat_hash_map<uint64_t, schema::Command> m_pendingCommands; // commands not committed yet, by ticket
    Instant m_nextMetricsUpdate {};
    std::atomic<bool> m_failed = false;
};

} // namespace teasel

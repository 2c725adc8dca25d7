// A state replica: the replicated log with the fleet state on it, the sessions
// of data centres' leaders, and a vote in the election of those leaders.
#pragma once

#include "consensus/replicated_log.h"
#include "core/result.h"
#include "fleet/fleet_service.h"
#include "fleet/fleet_state.h"
#include "leadership/lease_voter.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/control_loop.h"
#include "node/fleet_machine.h"
#include "node/process_links.h"
#include "settings.pb.h"
#include "storage/posix_disk.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <string>
#include <string_view>

namespace teasel {

class StateNode {
public:
    StateNode(schema::StateSettings, ProcessLinks);
    ~StateNode();
    StateNode(const StateNode&) = delete;
    StateNode& operator=(const StateNode&) = delete;

    // Recovers what is on disk and starts to take part. Fails with what to do about it.
    Result<void> start();

    // Hands leadership over and ends.
    void stop();

    // Set when the disk failed; the process then only waits to be stopped.
    bool failed() const { return m_failed; }

private:
    void onEnvelope(const schema::Envelope&);
    void onPropose(const schema::Envelope&, Instant now);
    void acknowledge(const schema::Envelope&);
    void onLeadership(const schema::Envelope&, Instant now);
    void onHttp(const HttpRequest&);
    void onTick();
    void onServingChanged(bool serving);
    void onApplied(uint64_t ticket, const std::string& result);
    void carryOut(Instant now);
    void perform(SendGrant&);
    void perform(SendAnswer&);
    void perform(ProposeCommand&, Instant now);
    void answerNotLeader(std::string_view to, uint64_t ticket);
    std::string statusJson() const;
    void updateMetrics(Instant now);

    schema::StateSettings m_settings;
    ProcessLinks m_links;
    FleetState m_state;
    FleetMachine m_machine;
    FleetService m_service;
    LeaseVoter m_voter;
    PosixDisk m_disk;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_http;
    ReplicatedLog m_log;
    absl::flat_hash_map<uint64_t, schema::Command> m_proposed; // by ticket
    Instant m_nextMetrics {};
    std::atomic<bool> m_failed = false;
};

} // namespace teasel

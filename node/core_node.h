// An instance of the core: the replicated log with the job plane's state, and,
// while it leads, the job plane's decisions and the orders to executors.
#pragma once

#include "consensus/replicated_log.h"
#include "core/result.h"
#include "jobs/job_leader.h"
#include "jobs/job_state.h"
#include "membership/voter_planner.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/control_loop.h"
#include "node/leader_relay.h"
#include "node/process_links.h"
#include "settings.pb.h"
#include "storage/posix_disk.h"

#include <absl/container/btree_map.h>

#include <atomic>
#include <deque>
#include <optional>
#include <string>
#include <tuple>

namespace teasel {

class CoreNode {
public:
    CoreNode(schema::CoreSettings, ProcessLinks);
    ~CoreNode();
    CoreNode(const CoreNode&) = delete;
    CoreNode& operator=(const CoreNode&) = delete;

    // Recovers what is on disk and starts to take part. Fails with what to do about it.
    Result<void> start();

    // Hands leadership over, answers what is held, and ends.
    void stop();

    // Takes over what may change while the process runs: the seeds.
    void reload(const schema::CoreSettings&);

    // Set when the disk failed; the process then only waits to be stopped.
    bool failed() const { return m_failed; }

private:
    // A call under way: where its answer goes.
    struct CallUnderWay {
        JobCall call;
        std::string from; // instance that passed it on
        uint64_t incarnation = 0; // of that instance
        uint64_t number = 0; // there
        Instant began {};
    };
    using CallName = std::tuple<std::string, uint64_t, uint64_t>; // instance, incarnation, number
    struct Instance {
        Instant heard {};
        bool isCore = false;
        std::string dataCentre;
    };

    void onEnvelope(const schema::Envelope&);
    void onHello(const std::string& from, const schema::CoreHello&, Instant now);
    void onRoutedCall(const schema::Envelope&, Instant now);
    void onHttp(HttpRequest);
    void onTick();
    void onServingChanged(bool serving);
    void lead(Instant now);
    void planVoters(Instant now);
    void updateInstances(Instant now);
    void updateMetrics(Instant now);
    void carryOut(Instant now);
    void perform(ProposeJobs&, Instant now);
    void perform(AnswerCall&, Instant now);
    void perform(SendOrder&, Instant now);
    // The core instance that sends orders to executors of a data centre; empty: this one.
    const std::string& senderFor(const std::string& dataCentre, uint64_t executor) const;
    void sendOrder(SendOrder, std::function<void(OrderResult)> done);
    void flushOrders();
    void onOrderBatch(const std::string& from, const schema::OrderBatch&);
    void onResultBatch(const schema::ResultBatch&, Instant now);
    void perform(AskAdvice&, Instant now);
    void perform(JobLogLine&, Instant now);
    void callAdvice(const schema::AdviceCall&, std::function<void(schema::AdviceResult)>);
    void onAdvice(const schema::AdviceResult&, Instant now);
    void sendRouted(const std::string& to, schema::RoutedAnswer);
    schema::CoreView viewFor(Instant now) const;

    schema::CoreSettings m_settings;
    ProcessLinks m_links;
    std::string m_self; // address for this system's own processes
    JobState m_state;
    JobLeader m_leader;
    VoterPlanner m_voters;
    PosixDisk m_disk;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_control;
    HttpServer m_metrics;
    HttpClient m_client;
    std::optional<ReplicatedLog> m_log;
    LeaderRelay m_relay;
    absl::btree_map<uint64_t, CallUnderWay> m_calls; // by handle
    uint64_t m_lastHandle = 0;
    absl::btree_map<CallName, schema::RoutedAnswer> m_refused; // answers that hold for every copy of the call
    std::deque<CallName> m_refusedOrder;
    absl::btree_map<std::string, Instance> m_instances; // that said hello to this leader
    absl::btree_map<std::string, schema::OrderBatch> m_orderBatches; // to be sent, by core instance
    absl::btree_map<std::pair<std::string, uint64_t>, schema::ResultBatch> m_resultBatches; // by leader and term
    absl::btree_map<std::string, std::vector<std::string>> m_senders; // core instances by data centre
    Instant m_nextVoters {};
    Instant m_nextInstances {};
    Instant m_nextMetrics {};
    bool m_isStopping = false;
    std::atomic<bool> m_failed = false;
};

} // namespace teasel

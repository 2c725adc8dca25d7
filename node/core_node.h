// A core instance: replicates the job plane's state and, while it is the leader,
// schedules jobs and sends orders to executors.
#pragma once

#include "consensus/replicated_log.h"
#include "core/result.h"
#include "core/worker_thread.h"
#include "jobs/job_leader.h"
#include "jobs/job_state.h"
#include "membership/voter_planner.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_network.h"
#include "node/control_loop.h"
#include "node/lag_reporter.h"
#include "node/leader_relay.h"
#include "node/log_metrics.h"
#include "node/process_context.h"
#include "node/rejected_calls.h"
#include "settings.pb.h"
#include "storage/posix_disk.h"

#include <absl/container/btree_map.h>

#include <atomic>
#include <optional>
#include <string>

namespace teasel {

class CoreNode {
public:
    CoreNode(schema::CoreSettings, ProcessContext);
    ~CoreNode();
    CoreNode(const CoreNode&) = delete;
    CoreNode& operator=(const CoreNode&) = delete;

    // Recovers the state from disk and joins the cluster. The error of a failed start says how to fix it.
    Result<void> start();

    // Transfers leadership, waits a limited time for the open calls to be answered, and stops all threads.
    void stop();

    // Applies the settings that may change at run time: the seeds.
    void reload(const schema::CoreSettings&);

    // True once the disk has failed; the process must then be stopped.
    bool failed() const { return m_failed; }

private:
    // A call that the job leader has not answered yet, and the instance that the answer goes to.
    struct PendingCall {
        JobCall call;
        schema::CallOrigin origin;
        uint64_t term = 0; // in which this leader received it
    };
    struct Instance {
        Instant lastContactAt {};
        bool isCore = false;
        std::string dataCentre;
        uint64_t registeredAtMs = 0; // on its clock
    };

    void onEnvelope(const schema::Envelope&);
    void onRegistration(const std::string& from, const schema::CoreHello&, Instant now);
    void onRoutedCall(const schema::Envelope&, Instant now);
    void onHttp(HttpRequest);
    // Decodes on the decoder thread: a large configuration would delay the heartbeats of the control thread.
    void onConfigurationChange(HttpRequest);
    void forwardControlCall(uint64_t handle, schema::RoutedCall);
    void onTick();
    void onServingChanged(bool serving);
    void startLeading(Instant now);
    void planVoters(Instant now);
    void updateInstances(Instant now);
    void updateMetrics(Instant now);
    // Ends a batch of events at the leader and measures the planning.
    void finishLeaderBatch(Instant now);
    void executeActions(Instant now);
    // Executes the leader's actions, and sends the orders and proposals among them.
    void sendActions(Instant now);
    void execute(ProposeJobs&, Instant now);
    void execute(AnswerCall&, Instant now);
    void execute(SendOrder&, Instant now);
    bool holdsLease(Instant now);
    // The core instance that sends the orders for this executor of `dataCentre`; empty for this instance.
    const std::string& orderSenderFor(const std::string& dataCentre, uint64_t executor) const;
    void sendOrder(SendOrder, std::function<void(OrderResult)> done);
    void flushOrders();
    void onOrderBatch(const std::string& from, const schema::OrderBatch&, Instant now);
    void onResultBatch(const schema::ResultBatch&, Instant now);
    void execute(AskAdvice&, Instant now);
    void execute(JobLogLine&, Instant now);
    void sendAdviceCall(const schema::AdviceCall&, std::function<void(schema::AdviceResult)>);
    void onAdvice(const schema::AdviceResult&, Instant now);
    // Also delivers messages to this instance itself.
    void sendEnvelope(std::string_view to, schema::Envelope);
    void answerRoutedCall(const schema::CallOrigin&, uint64_t term, schema::RoutedAnswer);
    // Tells the sender to resend the call to the leader.
    void returnRoutedCall(const schema::CallOrigin&);
    schema::CoreView makeView(Instant now) const;

    schema::CoreSettings m_settings;
    ProcessContext m_context;
    std::string m_self; // peer address of this instance
    JobState m_state;
    JobLeader m_leader;
    VoterPlanner m_voters;
    PosixDisk m_disk;
    ControlLoop m_loop;
    PeerNetwork m_network;
    HttpServer m_controlServer;
    HttpServer m_metricsServer;
    HttpClient m_httpClient;
    std::optional<ReplicatedLog> m_log;
    LogMetrics m_logMetrics { m_context };
    LagReporter m_lagReporter { m_context };
    LeaderRelay m_relay;
    WorkerThread m_decoder; // after the servers and the loop that its jobs use
    absl::btree_map<uint64_t, PendingCall> m_pendingCalls; // by handle
    uint64_t m_lastHandle = 0;
    std::pair<Instant, bool> m_leaseCheck; // when holdsLease() was evaluated last, and its result
    RejectedCalls m_rejectedCalls;
    absl::btree_map<std::string, Instance> m_instances; // registered with this leader, by address
    absl::btree_map<std::string, schema::OrderBatch> m_orderBatches; // orders not sent yet, by core instance
    // Results not sent yet, by leader and term.
    absl::btree_map<std::pair<std::string, uint64_t>, schema::ResultBatch> m_resultBatches;
    // Core instances that send orders, by data centre.
    absl::btree_map<std::string, std::vector<std::string>> m_orderSenders;
    Instant m_nextVoterPlan {};
    Instant m_nextInstanceUpdate {};
    Instant m_nextMetricsUpdate {};
    uint64_t m_reportedEvacuatedRuns = 0; // already added to the counter
    bool m_isStopping = false;
    std::atomic<bool> m_failed = false;
};

} // namespace teasel

// Connects callers with the request plane: holds the bodies and answers of
// requests, and executes the actions of the request holder.
#pragma once

#include "core/clock.h"
#include "fleet/config_view.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/control_loop.h"
#include "node/state_client.h"
#include "observability/metrics.h"
#include "requests/request_holder.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace teasel {

// The dependencies of a request gateway, which outlive it.
struct RequestGatewayContext {
    const Clock& clock;
    HttpServer& server;
    HttpClient& client;
    ControlLoop& loop;
    const ConfigView& config;
    StateClient& state;
    Metrics& metrics;
    std::function<void(std::string_view to, const schema::TicketBatch&)> sendTickets;
};

// Used on the control thread only.
class RequestGateway {
public:
    RequestGateway(HolderOptions, RequestGatewayContext);

    // Handles a request to /v1/requests/{class}. `mayServe`: whether the instance has the authority to accept it.
    void onHttp(HttpRequest, std::string_view className, bool mayServe, Instant now);
    void onCallerDisconnected(uint64_t handle, Instant now);
    RequestHolder& holder() { return m_holder; }
    const RequestHolder& holder() const { return m_holder; }

    // Executes the pending actions of the request holder.
    void executeActions(Instant now);

    // Stops resending outcomes that are not stored yet, because the process is about to exit.
    void stopStoringOutcomes();

private:
    struct HeldRequest {
        std::shared_ptr<const std::string> body;
        std::string contentType;
        std::string requestId;
        std::string team;
        std::string className;
        bool idempotent = false;
        Instant arrivedAt;
        Instant sentAt {}; // to an executor; zero before the first attempt
    };

    Result<Submission> acceptRequest(const HttpRequest&, std::string_view className, bool mayServe, Instant now);
    void execute(SendTickets&, Instant);
    void execute(RecordBegin&, Instant);
    void execute(RecordFinish&, Instant);
    void execute(SendToExecutor&, Instant);
    void execute(AbortAttempt&, Instant);
    void execute(AnswerCaller&, Instant);
    void execute(RefuseCaller&, Instant);
    void execute(AnswerStored&, Instant);
    void onOutcome(const std::string& attemptKey, HttpOutcome, Instant now);
    void storeOutcome(schema::Command, Instant now);
    // Removes the request from the gauge of waiting requests, at its first start or at its end without one.
    void removeFromWaiting(const HeldRequest&);
    void removeRequest(uint64_t handle);

    RequestGatewayContext m_context;
    RequestHolder m_holder;
    absl::flat_hash_map<uint64_t, HeldRequest> m_heldRequests; // by handle
    absl::flat_hash_map<std::string, uint64_t> m_clientCalls; // id of the HTTP client's call, by attempt
    absl::flat_hash_map<std::string, HttpOutcome> m_completeAnswers; // by attempt, until sent to the caller
    Instant m_storeDeadline = Instant::max(); // outcomes are resent until then
};

} // namespace teasel

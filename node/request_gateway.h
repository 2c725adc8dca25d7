// Between callers and the request plane: keeps bodies and answers, carries out
// what the holder decides.
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

// What a request gateway works with. All of it outlives the gateway.
struct RequestGatewayLinks {
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
    RequestGateway(HolderOptions, RequestGatewayLinks);

    // A request to /v1/requests/{class}. `servedUntil` ends the instance's authority to take it.
    void onHttp(HttpRequest, std::string_view className, bool mayServe, Instant now);
    void onCallerGone(uint64_t handle, Instant now);
    RequestHolder& holder() { return m_holder; }
    const RequestHolder& holder() const { return m_holder; }

    // Carries out what the holder decided.
    void carryOut(Instant now);

    // Outcomes not stored yet are given up; the process ends.
    void stopStoring();

private:
    struct Held {
        std::shared_ptr<const std::string> body;
        std::string contentType;
        std::string requestId;
        std::string team;
        std::string className;
        bool idempotent = false;
        Instant arrivedAt;
        Instant sentAt {};
    };

    Result<Submission> accept(const HttpRequest&, std::string_view className, bool mayServe, Instant now);
    void perform(SendTickets&, Instant);
    void perform(BeginDurably&, Instant);
    void perform(FinishDurably&, Instant);
    void perform(SendToExecutor&, Instant);
    void perform(AbortAttempt&, Instant);
    void perform(AnswerCaller&, Instant);
    void perform(RefuseCaller&, Instant);
    void perform(AnswerStored&, Instant);
    void onOutcome(const std::string& attemptKey, HttpOutcome, Instant now);
    void store(schema::Command, Instant now);
    // The first start of a request, or its end without one.
    void noteStarted(const Held&);
    void forget(uint64_t handle);

    RequestGatewayLinks m_links;
    RequestHolder m_holder;
    absl::flat_hash_map<uint64_t, Held> m_held; // by handle
    absl::flat_hash_map<std::string, uint64_t> m_calls; // client call by attempt
    absl::flat_hash_map<std::string, HttpOutcome> m_wholeAnswers; // by attempt, until passed on
    Instant m_storesUntil = Instant::max();
};

} // namespace teasel

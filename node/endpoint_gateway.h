// Between endpoints and job owners over HTTP and the leader of their data centre.
#pragma once

#include "core/clock.h"
#include "fleet/config_view.h"
#include "net/http_server.h"
#include "node/forwarder.h"
#include "node/leader_planes.h"
#include "node/state_client.h"

#include <string>
#include <string_view>

namespace teasel {

// Used on the control thread only.
class EndpointGateway {
public:
    EndpointGateway(
        std::string dataCentre, const Clock&, HttpServer&, Forwarder&, LeaderPlanes&, StateClient&, const ConfigView&);

    // Takes a request to one of the paths below; false if the path is none of them.
    //   POST /v1/executors/announce   POST /v1/workers/report
    //   POST /v1/jobs                 GET /v1/jobs, /v1/jobs/{id}     DELETE /v1/jobs/{id}
    bool onHttp(const HttpRequest&, bool mayServe, Instant now);

    // The leader's part of a forwarded message.
    void handleHere(const schema::Forwarded&, const Forwarder::Reply&);

private:
    void announceExecutor(const HttpRequest&, Instant now);
    void reportWorker(const HttpRequest&, Instant now);
    void submitJob(const HttpRequest&, Instant now);
    void showJobs(const HttpRequest&, std::string_view id, Instant now);
    void cancelJob(const HttpRequest&, std::string_view id, Instant now);
    void route(const HttpRequest&, schema::Forwarded, Instant now);
    void acceptJob(const schema::JobRecord&, const Forwarder::Reply&);
    void cancelHere(const schema::JobCancellation&, const Forwarder::Reply&);
    schema::ForwardedReply viewJobs(const schema::JobStatusRequest&) const;
    Result<KeyIdentity> identify(const HttpRequest&) const;
    void refuse(const HttpRequest&, const Error&);
    std::string makeJobId(const HttpRequest&, const std::string& dataCentre, TeamId);

    std::string m_dataCentre;
    const Clock& m_clock;
    HttpServer& m_server;
    Forwarder& m_forwarder;
    LeaderPlanes& m_planes;
    StateClient& m_state;
    const ConfigView& m_config;
    uint64_t m_jobsMade = 0;
};

// The data centre in a job id, which reads `<data centre>.<number>`.
std::string dataCentreOfJob(std::string_view jobId);

} // namespace teasel

// Serves endpoints and job owners over HTTP and forwards their requests to the leader of their data centre.
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

    // Handles a request to one of the paths below; returns false for any other path.
    //   POST /v1/executors/announce   POST /v1/workers/report
    //   POST /v1/jobs                 GET /v1/jobs, /v1/jobs/{id}     DELETE /v1/jobs/{id}
    bool onHttp(const HttpRequest&, bool mayServe, Instant now);

    // Handles a forwarded message at the leader of its data centre. Calls the reply function exactly once.
    void handleLocally(const schema::Forwarded&, const Forwarder::Reply&);

private:
    void handleExecutorAnnouncement(const HttpRequest&, Instant now);
    void handleWorkerReport(const HttpRequest&, Instant now);
    void submitJob(const HttpRequest&, Instant now);
    void showJobs(const HttpRequest&, std::string_view id, Instant now);
    void cancelJob(const HttpRequest&, std::string_view id, Instant now);
    void route(const HttpRequest&, schema::Forwarded, Instant now);
    void acceptJob(const schema::JobRecord&, const Forwarder::Reply&);
    void cancelLocally(const schema::JobCancellation&, const Forwarder::Reply&);
    schema::ForwardedReply viewJobs(const schema::JobStatusRequest&) const;
    Result<KeyIdentity> identify(const HttpRequest&) const;
    void sendError(const HttpRequest&, const Error&);
    std::string makeJobId(const HttpRequest&, const std::string& dataCentre, TeamId);

    std::string m_dataCentre;
    const Clock& m_clock;
    HttpServer& m_server;
    Forwarder& m_forwarder;
    LeaderPlanes& m_leaderPlanes;
    StateClient& m_stateClient;
    const ConfigView& m_config;
    uint64_t m_jobIdCounter = 0; // job ids made without a request id
};

// Returns the data centre of a job id, which has the form `<data centre>.<number>`.
std::string dataCentreOfJob(std::string_view jobId);

} // namespace teasel

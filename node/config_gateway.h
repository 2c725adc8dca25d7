// Serves the configuration and its changes to operators over HTTP.
#pragma once

#include "core/clock.h"
#include "fleet/config_view.h"
#include "net/http_server.h"
#include "node/state_client.h"

#include <string_view>

namespace teasel {

// Used on the control thread only.
class ConfigGateway {
public:
    ConfigGateway(HttpServer&, StateClient&, const ConfigView&);

    // Handles a request to one of the paths below; returns false for any other path.
    //   POST /v1/config/changes    GET /v1/config    GET /v1/config/changes/{change id}
    bool onHttp(const HttpRequest&, Instant now);

private:
    void change(const HttpRequest&, Instant now);
    void showChange(const HttpRequest&, std::string_view changeId, Instant now);
    void showConfig(const HttpRequest&);
    Result<KeyIdentity> identify(const HttpRequest&, bool requiresOperator) const;
    void propose(const HttpRequest&, schema::ConfigChange, Duration wait, Instant now);
    void sendError(const HttpRequest&, const Error&);

    HttpServer& m_server;
    StateClient& m_stateClient;
    const ConfigView& m_config;
};

} // namespace teasel

// Sends requests to the first entry instance that answers.
#pragma once

#include "main/teasel_http.h"

#include <string>
#include <vector>

namespace teasel {

// Whether a request whose response was lost may be sent again. This is safe for reads and for requests that carry an id
// which the fleet remembers.
enum class RetryPolicy : uint8_t {
    IfNotSent = 0,
    Always = 1,
    AlwaysAtOthers = 2, // also after 408, 429 and 5xx, at the next server
};

class TeaselClient {
public:
    TeaselClient(ApiTransport& transport, std::vector<std::string> servers, std::string key)
        : m_transport(transport)
        , m_servers(std::move(servers))
        , m_key(std::move(key))
    {
    }

    // Tries the servers in turn until one answers. A server that is shutting down is skipped unless it is the last one.
    ApiResult send(ApiRequest, RetryPolicy);

private:
    ApiTransport& m_transport;
    std::vector<std::string> m_servers;
    std::string m_key;
    size_t m_lastWorkingServer = 0; // index of the server that answered last; it is tried first
};

} // namespace teasel

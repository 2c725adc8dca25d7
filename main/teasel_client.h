// Calls to whichever entry instance answers.
#pragma once

#include "main/teasel_http.h"

#include <string>
#include <vector>

namespace teasel {

// Whether a call whose answer was lost may go out again. Calls that carry an
// id which the fleet remembers, and reads, may.
enum class Resend : uint8_t {
    IfNeverSent = 0,
    Always = 1,
};

class TeaselClient {
public:
    TeaselClient(HttpTransport& transport, std::vector<std::string> servers, std::string key)
        : m_transport(transport)
        , m_servers(std::move(servers))
        , m_key(std::move(key))
    {
    }

    // Tries the servers in turn until one answers. A server that is shutting
    // down counts as none while there is another to try.
    HttpOutcome send(HttpCall, Resend);

private:
    HttpTransport& m_transport;
    std::vector<std::string> m_servers;
    std::string m_key;
    size_t m_first = 0; // the server that answered last
};

} // namespace teasel

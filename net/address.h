// Socket addresses as written in settings and registrations.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace teasel {

// A numeric IPv4 or IPv6 address with a port.
class SocketAddress {
public:
    // Parses `host:port` or `[host]:port`. Fails with BadRequest unless the host is a numeric address.
    static Result<SocketAddress> parse(std::string_view text);

    const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&m_storage); }
    socklen_t size() const { return m_size; }
    int family() const { return m_storage.ss_family; }
    uint16_t port() const;

    // Whether it names one machine: neither an unspecified, a multicast nor the broadcast address.
    bool isUnicast() const;

private:
    sockaddr_storage m_storage = {};
    socklen_t m_size = 0;
};

// Whether a text is an address at which one machine can be reached: SocketAddress::parse() reads it, the host is
// unicast and the port is not 0.
bool isMachineAddress(std::string_view text);

} // namespace teasel

#include "net/address.h"

#include <fmt/format.h>

#include <charconv>
#include <cstring>

#include <arpa/inet.h>

namespace teasel {

namespace {

    boost::leaf::error_id invalidAddress(std::string_view text)
    {
        return fail(ErrorKind::BadRequest,
            fmt::format("'{}' is not an address: expected a numeric host and a port, as in 127.0.0.1:8080", text));
    }

} // namespace

Result<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidAddress(text);
    std::string host(text.substr(0, colon));
    const auto portText = text.substr(colon + 1);
    uint16_t port = 0;
    const auto [end, ec] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (ec != std::errc() || end != portText.data() + portText.size())
        return invalidAddress(text);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    SocketAddress address;
    sockaddr_in v4 = {};
    sockaddr_in6 v6 = {};
    if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(port);
        std::memcpy(&address.m_storage, &v4, sizeof v4);
        address.m_size = sizeof v4;
        return address;
    }
    if (inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(port);
        std::memcpy(&address.m_storage, &v6, sizeof v6);
        address.m_size = sizeof v6;
        return address;
    }
    return invalidAddress(text);
}

uint16_t SocketAddress::port() const
{
    if (family() == AF_INET)
        return ntohs(reinterpret_cast<const sockaddr_in*>(&m_storage)->sin_port);
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&m_storage)->sin6_port);
}

bool SocketAddress::isUnicast() const
{
    if (family() == AF_INET) {
        const auto host = ntohl(reinterpret_cast<const sockaddr_in*>(&m_storage)->sin_addr.s_addr);
        return host != INADDR_ANY && host != INADDR_BROADCAST && !IN_MULTICAST(host);
    }
    const auto& host = reinterpret_cast<const sockaddr_in6*>(&m_storage)->sin6_addr;
    return !IN6_IS_ADDR_UNSPECIFIED(&host) && !IN6_IS_ADDR_MULTICAST(&host);
}

bool isMachineAddress(std::string_view text)
{
    const auto parsed = valueOrError([&] { return SocketAddress::parse(text); });
    const auto* address = std::get_if<SocketAddress>(&parsed);
    return address != nullptr && address->port() != 0 && address->isUnicast();
}

} // namespace teasel

#pragma once

#include "pomeloport/lastreason.h"

#include <boost/asio/ip/tcp.hpp>

#include <charconv>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

/// Numeric addresses in the form "IP:port".
namespace pomeloport::detail
{

/// Parses a numeric "IP:port", "[IP]:port" for IPv6. Returns nothing and sets the last reason if the text is malformed.
inline std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        setLastReason("address lacks a port: " + std::string(text));
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error || failure != std::errc() || end != digits.data() + digits.size()
        || port > std::numeric_limits<std::uint16_t>::max()) {
        setLastReason("not a numeric address: " + std::string(text));
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

/// Formats an endpoint as "IP:port", "[IP]:port" for IPv6.
inline std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace pomeloport::detail

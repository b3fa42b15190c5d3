#pragma once

#include "pomeloport/lastreason.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

/// Numeric socket addresses, "IP:port".
namespace pomeloport::detail
{

/// Parses a numeric "IP:port" into an endpoint of the protocol. Returns nothing and sets the last reason if the text is
/// malformed.
template<typename Protocol>
std::optional<typename Protocol::endpoint> parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const auto *end = address.data() + address.size();
        const auto [parsed, error] = std::from_chars(address.data() + colon + 1, end, port);
        boost::system::error_code code;
        const auto ip = boost::asio::ip::make_address(address.substr(0, colon), code);
        if (error == std::errc() && parsed == end && !code) {
            return typename Protocol::endpoint(ip, port);
        }
    }
    setLastReason("address " + address + " is not IP:port");
    return std::nullopt;
}

} // namespace pomeloport::detail

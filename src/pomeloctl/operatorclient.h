#pragma once

#include "options.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

/// Blocking calls to the operators' interface of routers.
namespace pomeloctl
{

/// Calls one router, or the first that answers. Not to be shared between threads.
class OperatorClient
{
public:
    explicit OperatorClient(Connection connection);

    /// Calls the endpoints in order until one answers. Returns the reply's JSON; nothing, with a last reason, when none
    /// answered or the answer was an error.
    std::optional<boost::json::value> call(const std::string &method, const std::string &target);

    /// Calls exactly this address.
    std::optional<boost::json::value> callAddress(const std::string &address,
                                                  const std::string &method,
                                                  const std::string &target);

private:
    Connection m_connection;
};

} // namespace pomeloctl

#pragma once

#include "options.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

/// Blocking client of the routers' operator API.
namespace pomeloctl
{

/// Calls a given router, or the first endpoint that answers. Not thread safe.
class OperatorClient
{
public:
    explicit OperatorClient(Connection connection);

    /// Calls the endpoints in order until one answers, and returns the JSON of its reply. If none answers or the reply
    /// is an error, returns nothing and sets the last reason.
    std::optional<boost::json::value> call(const std::string &method, const std::string &target);

    /// Like call(), but calls only this address.
    std::optional<boost::json::value> callAddress(const std::string &address,
                                                  const std::string &method,
                                                  const std::string &target);

private:
    Connection m_connection;
};

} // namespace pomeloctl

#include "operatorclient.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/transport/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <utility>

namespace pomeloctl
{

namespace
{

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpMultipleChoices = 300;

/// Reply of one address.
struct EndpointReply
{
    /// Whether any HTTP reply arrived.
    bool answered = false;
    /// Body of a successful reply.
    std::optional<boost::json::value> json;
};

EndpointReply sendRequest(const Connection &connection,
                          const std::string &address,
                          const std::string &method,
                          const std::string &target)
{
    boost::asio::io_context context;
    pomeloport::HttpClient client(context);
    std::optional<pomeloport::HttpReply> reply;
    client.send({.address = address,
                 .method = method,
                 .target = target,
                 .headers = {{"Authorization", "Bearer " + connection.operatorToken}},
                 .timeout = connection.timeout},
                [&reply, &context](std::optional<pomeloport::HttpReply> received, bool /*sent*/) {
                    reply = std::move(received);
                    context.stop();
                });
    context.run();
    if (!reply) {
        pomeloport::setLastReason(address + " did not answer");
        return {};
    }
    boost::system::error_code error;
    auto json = boost::json::parse(reply->body, error);
    if (reply->status < HttpOk || reply->status >= HttpMultipleChoices) {
        pomeloport::setLastReason(address + " replied with status " + std::to_string(reply->status) + ": "
                                  + reply->body);
        return {true, std::nullopt};
    }
    if (error) {
        pomeloport::setLastReason(address + " replied with invalid JSON");
        return {true, std::nullopt};
    }
    return {true, std::move(json)};
}

} // namespace

OperatorClient::OperatorClient(Connection connection)
    : m_connection(std::move(connection))
{
}

std::optional<boost::json::value> OperatorClient::call(const std::string &method, const std::string &target)
{
    pomeloport::setLastReason("no endpoint is given");
    for (const auto &address : m_connection.endpoints) {
        auto answer = sendRequest(m_connection, address, method, target);
        if (answer.answered) {
            return std::move(answer.json);
        }
    }
    return std::nullopt;
}

std::optional<boost::json::value> OperatorClient::callAddress(const std::string &address,
                                                              const std::string &method,
                                                              const std::string &target)
{
    return sendRequest(m_connection, address, method, target).json;
}

} // namespace pomeloctl

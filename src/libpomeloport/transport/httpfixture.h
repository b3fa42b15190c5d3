#pragma once

#include "pomeloport/transport/httpserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <thread>

/// An HTTP server on a loopback address for the unit tests of the transport layer.
namespace pomeloport::detail
{

inline constexpr const char *TestAddress = "127.42.0.1:0";

/// Runs an HTTP server on two threads.
struct ServerFixture
{
    explicit ServerFixture(HttpHandler handler, HttpLimits limits = {})
        : server(HttpServer::listen(context, TestAddress, limits, std::move(handler)))
    {
        for (auto &thread : threads) {
            thread = std::thread([this] { context.run(); });
        }
    }

    ~ServerFixture()
    {
        server->stopAccepting();
        guard.reset();
        context.stop();
        for (auto &thread : threads) {
            thread.join();
        }
    }

    boost::asio::ip::tcp::socket connect()
    {
        const auto address = server->address();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        boost::asio::ip::tcp::socket socket(clientContext);
        socket.connect({boost::asio::ip::make_address("127.42.0.1"), port});
        return socket;
    }

    /// Sends raw text on a new connection and returns everything received until the server closes it.
    std::string sendRaw(const std::string &text)
    {
        auto socket = connect();
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(text), error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

    boost::asio::io_context context;
    boost::asio::io_context clientContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
    std::shared_ptr<HttpServer> server;
    std::array<std::thread, 2> threads;
};

} // namespace pomeloport::detail

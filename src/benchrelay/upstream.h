#pragma once

#include "pomeloport/transport/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace benchrelay
{

/// How the engine of the bench sends its tokens.
struct UpstreamPlan
{
    std::uint64_t tokens = 100;
    /// Time before the first token, for the prompt.
    std::chrono::milliseconds prefill{0};
    /// Time between two tokens of a stream; zero sends the next one as soon as the last one was handed to the network.
    std::chrono::milliseconds step{20};
    /// Tokens after which a stream stays open until it is released; zero for none.
    std::uint64_t holdAfter = 0;
};

/// A model engine reduced to its output: numbered tokens over HTTP, one write each. Used on one thread.
class Upstream
{
public:
    Upstream(boost::asio::io_context &context, const std::string &address);

    std::string address() const;

    /// Applies to calls from now on.
    void setPlan(const UpstreamPlan &plan);

    /// Lets held streams go on.
    void releaseHeld();

private:
    struct Stream
    {
        std::shared_ptr<pomeloport::HttpExchange> exchange;
        UpstreamPlan plan;
        std::uint64_t next = 0;
    };

    void accept(const std::shared_ptr<pomeloport::HttpExchange> &exchange);
    void begin(const std::shared_ptr<Stream> &stream);
    void sendNext(const std::shared_ptr<Stream> &stream);
    void tick();

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<pomeloport::HttpServer> m_server;
    UpstreamPlan m_plan;
    /// Paced streams by the millisecond of the step in which they send.
    std::vector<std::vector<std::shared_ptr<Stream>>> m_slots;
    std::vector<std::shared_ptr<Stream>> m_held;
    std::chrono::steady_clock::time_point m_nextTick;
    std::size_t m_slot = 0;
    std::size_t m_accepted = 0;
};

} // namespace benchrelay

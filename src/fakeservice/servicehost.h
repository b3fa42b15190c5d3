#pragma once

#include "pomelofake/httpreplies.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <random>
#include <string>

/// The HTTP interface of the stand-in plain service.
namespace fakeservice
{

/// Behaviour and faults of the service.
struct ServiceSettings
{
    std::string name;
    /// Time from a call's run to its answer.
    std::chrono::milliseconds serviceTime{20};
    /// Calls under way at a time, at most; further ones are refused as Full.
    std::size_t maximumRunning = 256;
    /// Share of calls, 0 to 1, that run and whose connection is then closed without an answer.
    double loseAnswers = 0;
    bool refusing = false;
    bool leaving = false;
};

/// Runs calls and counts the runs of each action key. Runs on a context with one thread.
class ServiceHost
{
public:
    ServiceHost(boost::asio::io_context &context, ServiceSettings settings);

    /// Answers one request.
    void handle(const pomelofake::ExchangePointer &exchange);

private:
    void call(const pomelofake::ExchangePointer &exchange);
    void answerLater(const pomelofake::ExchangePointer &exchange, std::string result);
    void replyLoad(const pomelofake::ExchangePointer &exchange);
    void setFaults(const pomelofake::ExchangePointer &exchange);

    boost::asio::io_context &m_context;
    ServiceSettings m_settings;
    /// Runs by key; calls without a key are counted under the empty one.
    std::map<std::string, std::uint64_t> m_runs;
    std::size_t m_running = 0;
    std::uint64_t m_epoch;
    std::uint64_t m_reportSequence = 0;
    std::mt19937_64 m_random{1};
};

} // namespace fakeservice

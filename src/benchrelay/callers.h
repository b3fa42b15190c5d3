#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace benchrelay
{

/// What one caller sends, and how it recognises the last bytes of the answer.
struct CallerPlan
{
    std::string address;
    /// The whole HTTP request.
    std::string request;
    /// Text that stands in the answer of a whole stream only.
    std::string endMark;
};

/// What callers saw.
struct CallerResults
{
    std::size_t whole = 0;
    std::size_t failed = 0;
    std::size_t started = 0;
    /// Time from the request to the first bytes of the body, per caller.
    std::vector<std::chrono::nanoseconds> firstToken;
};

/// Opens connections, sends one request on each and reads the answers. Used on the thread of its context.
class Callers
{
public:
    explicit Callers(boost::asio::io_context &context);

    /// Starts callers at intervals, so that no backlog overflows.
    void start(const CallerPlan &plan, std::size_t count, std::chrono::microseconds interval);

    /// Runs callers one after the other.
    void startSequence(const CallerPlan &plan, std::size_t count);

    /// Results so far; call on the thread of the context.
    const CallerResults &results() const;

private:
    class Session;
    void open(const CallerPlan &plan, std::function<void()> ended);

    boost::asio::io_context &m_context;
    CallerResults m_results;
};

} // namespace benchrelay

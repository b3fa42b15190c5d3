#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace benchrelay
{

/// An event loop on one thread of its own, with the processor time that the thread has used.
class Worker
{
public:
    /// Starts the thread; the function runs on it first.
    explicit Worker(std::function<void()> first = [] {});
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    boost::asio::io_context &context();

    /// Processor time of the thread so far, in seconds.
    double processorSeconds() const;

    /// Runs a function on the thread and waits for it.
    void run(const std::function<void()> &function);

    /// Ends the thread; the context stays.
    void stop();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace benchrelay

#include "worker.h"

#include <boost/asio/post.hpp>

#include <pthread.h>

#include <ctime>
#include <future>

namespace benchrelay
{

Worker::Worker(std::function<void()> first)
    : m_context(1)
    , m_guard(m_context.get_executor())
    , m_thread([this, first = std::move(first)] {
        first();
        m_context.run();
    })
{
}

Worker::~Worker()
{
    stop();
}

boost::asio::io_context &Worker::context()
{
    return m_context;
}

double Worker::processorSeconds() const
{
    clockid_t clock{};
    timespec time{};
    pthread_getcpuclockid(const_cast<std::thread &>(m_thread).native_handle(), &clock);
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

void Worker::run(const std::function<void()> &function)
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

void Worker::stop()
{
    if (m_thread.joinable()) {
        m_context.stop();
        m_thread.join();
    }
}

} // namespace benchrelay

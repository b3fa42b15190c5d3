#include "callers.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace benchrelay
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace
{

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

} // namespace

/// One connection with one request.
class Callers::Session : public std::enable_shared_from_this<Callers::Session>
{
public:
    Session(asio::io_context &context, const CallerPlan &plan, CallerResults &results, std::function<void()> ended)
        : m_socket(context)
        , m_plan(plan)
        , m_results(results)
        , m_ended(std::move(ended))
    {
    }

    void start()
    {
        m_socket.async_connect(endpointOf(m_plan.address), [self = shared_from_this()](error_code error) {
            if (error) {
                self->end(false);
                return;
            }
            error_code ignored;
            self->m_socket.set_option(tcp::no_delay(true), ignored);
            self->m_sentAt = Clock::now();
            asio::async_write(self->m_socket,
                              asio::buffer(self->m_plan.request),
                              [self](error_code failure, std::size_t) { failure ? self->end(false) : self->read(); });
        });
    }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](error_code error, std::size_t n) {
            error ? self->end(false) : self->received({self->m_buffer.data(), n});
        });
    }

    void received(std::string_view bytes)
    {
        m_tail += bytes;
        if (!m_first && m_tail.find("index") != std::string::npos) {
            m_first = true;
            ++m_results.started;
            m_results.firstToken.push_back(Clock::now() - m_sentAt);
        }
        if (m_tail.find(m_plan.endMark) != std::string::npos) {
            end(true);
            return;
        }
        constexpr std::size_t KeptBytes = 64;
        if (m_first && m_tail.size() > KeptBytes) {
            m_tail.erase(0, m_tail.size() - KeptBytes);
        }
        read();
    }

    void end(bool whole)
    {
        whole ? ++m_results.whole : ++m_results.failed;
        error_code ignored;
        m_socket.close(ignored);
        if (m_ended) {
            std::exchange(m_ended, nullptr)();
        }
    }

    tcp::socket m_socket;
    const CallerPlan m_plan;
    CallerResults &m_results;
    std::function<void()> m_ended;
    std::array<char, 4096> m_buffer{};
    std::string m_tail;
    Clock::time_point m_sentAt;
    bool m_first = false;
};

Callers::Callers(asio::io_context &context)
    : m_context(context)
{
}

void Callers::open(const CallerPlan &plan, std::function<void()> ended)
{
    std::make_shared<Session>(m_context, plan, m_results, std::move(ended))->start();
}

void Callers::start(const CallerPlan &plan, std::size_t count, std::chrono::microseconds interval)
{
    if (count == 0) {
        return;
    }
    open(plan, {});
    auto timer = std::make_shared<asio::steady_timer>(m_context, interval);
    timer->async_wait([this, timer, plan, count, interval](error_code) { start(plan, count - 1, interval); });
}

void Callers::startSequence(const CallerPlan &plan, std::size_t count)
{
    if (count > 0) {
        open(plan, [this, plan, count] { startSequence(plan, count - 1); });
    }
}

const CallerResults &Callers::results() const
{
    return m_results;
}

} // namespace benchrelay

#include "session/startingcalls.h"

#include "program/entrycore.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace pomeloentry
{

/// One waiting call, kept alive by its timer. It is used on the executor of its connection only.
struct StartingCalls::HeldCall
{
    HeldCall(Exchange heldExchange, Instant arrivalTime, Handler callHandler)
        : exchange(std::move(heldExchange))
        , arrival(arrivalTime)
        , handler(std::move(callHandler))
        , timer(exchange->executor())
    {
    }

    /// Passes the call on, once.
    void finish()
    {
        timer.cancel();
        if (const auto taken = std::exchange(exchange, nullptr)) {
            handler(taken, arrival, steadyNow() - arrival);
        }
    }

    Exchange exchange;
    const Instant arrival;
    const Handler handler;
    boost::asio::steady_timer timer;
};

StartingCalls::StartingCalls(Duration limit, Instant startedAt, Handler handler)
    : m_limit(limit)
    , m_startedAt(startedAt)
    , m_handler(std::move(handler))
{
}

bool StartingCalls::hold(const Exchange &exchange, Instant now)
{
    if (now - m_startedAt >= m_limit) {
        return false;
    }
    auto call = std::make_shared<HeldCall>(exchange, now, m_handler);
    {
        const std::lock_guard lock(m_mutex);
        if (m_released) {
            return false;
        }
        m_calls.push_back(call);
    }
    call->timer.expires_after(m_limit);
    call->timer.async_wait([call](boost::system::error_code error) {
        if (!error) {
            call->finish();
        }
    });
    exchange->onClosed([weak = std::weak_ptr(call)] {
        if (const auto abandoned = weak.lock()) {
            abandoned->exchange.reset();
            abandoned->timer.cancel();
        }
    });
    return true;
}

void StartingCalls::update(const FleetState &state)
{
    if (state.canServe()) {
        release();
    }
}

void StartingCalls::release()
{
    std::vector<std::weak_ptr<HeldCall>> calls;
    {
        const std::lock_guard lock(m_mutex);
        m_released = true;
        calls.swap(m_calls);
    }
    for (const auto &weak : calls) {
        if (auto call = weak.lock()) {
            const auto executor = call->timer.get_executor();
            boost::asio::dispatch(executor, [call = std::move(call)] { call->finish(); });
        }
    }
}

} // namespace pomeloentry

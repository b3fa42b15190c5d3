#pragma once

#include "pomeloentry/knowledge/routing.h"

#include "pomeloport/transport/httpserver.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace pomeloentry
{

/// Calls that arrive while the instance has no configuration or no list of backend servers yet. After a power loss of
/// the whole fleet, instances get these a second after they take connections again. Callers whose streams were cut try
/// once more in just that second, so a refusal is final for them. A call waits for both for a limited time, and only
/// while the start has not lasted longer than that; then it is refused. Thread safe.
class StartingCalls
{
public:
    using Exchange = std::shared_ptr<pomeloport::HttpExchange>;
    /// Serves or refuses a call that arrived at a time and has waited since. Runs on the executor of its connection.
    using Handler = std::function<void(const Exchange &exchange, Instant arrival, Duration waited)>;

    /// Without a limit above zero no call waits.
    StartingCalls(Duration limit, Instant startedAt, Handler handler);

    /// Keeps a call that has just arrived and returns true, or returns false if it has to be served or refused at once.
    bool hold(const Exchange &exchange, Instant now);

    /// Releases the calls if they can be served with this state of the fleet.
    void update(const FleetState &state);

    /// Hands all calls to the handler, and lets none wait from now on.
    void release();

private:
    struct HeldCall;

    const Duration m_limit;
    const Instant m_startedAt;
    const Handler m_handler;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<HeldCall>> m_calls;
    bool m_released = false;
};

} // namespace pomeloentry

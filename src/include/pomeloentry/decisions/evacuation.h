#pragma once

#include "pomeloentry/knowledge/routing.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

/// Evacuations: an operator states that nothing more is sent to the backend servers of a failure domain. Pure
/// and without clock.
namespace pomeloentry
{

/// Whether nothing may be sent to a backend server because its failure domain is evacuated. Requests that already run
/// there go on.
bool isEvacuated(const FleetState &state, const BackendEntry &backend);

/// Whether a service has backend servers, all of them in evacuated failure domains, so that its calls have to be
/// refused until an operator acts.
bool allEvacuated(std::size_t evacuated, std::size_t others);

/// Failure domains whose evacuation began or ended between two states.
struct EvacuationChanges
{
    std::vector<std::string> began;
    std::vector<std::string> ended;
};
EvacuationChanges evacuationChanges(const std::set<std::string> &before, const std::set<std::string> &next);

/// Decides whether an instance may act on what it knows of evacuations. A process that was stopped may have missed one,
/// and the messages that wait in its sockets may be as old as its knowledge. It sends nothing until a peer has answered
/// a question asked since, or until none has for a while: then the last known state holds. Not thread safe.
class EvacuationFreshness
{
public:
    /// How long a peer is asked for before the last known state holds. A peer normally answers within milliseconds.
    static constexpr Duration AskTime = std::chrono::milliseconds(500);

    /// Takes the bound on evacuations; without one, everything may be sent at any time.
    explicit EvacuationFreshness(std::optional<Duration> bound = std::nullopt);

    /// Records that the process runs, which is due several times a second. Returns whether a peer is to be asked.
    bool running(Instant now);

    /// Records that a peer that knows the evacuations has answered, and that the answer was applied.
    void answered(Instant askedAt);

    bool maySend(Instant now) const;

private:
    std::optional<Duration> m_longestGap;
    Instant m_lastRun{};
    std::optional<Instant> m_unconfirmedSince;
};

} // namespace pomeloentry

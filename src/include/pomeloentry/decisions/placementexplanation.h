#pragma once

#include "pomeloentry/decisions/entryplacement.h"

#include "pomeloport/nametable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomeloentry
{

/// Why a call cannot be placed at a backend server.
enum class Exclusion : std::uint8_t {
    None,
    Leaving,
    Region,
    /// It wants no requests for a time, or has just begun to take them again.
    Paused,
    /// Recent attempts failed, so that its circuit is open.
    Failing,
    NoSlot,
    NoMemory,
    /// It does not read the requests that it has.
    Unread,
    /// By a rule that this list does not have.
    Other,
};

constexpr pomeloport::NameTable<Exclusion, 9> nameTable(Exclusion /*unused*/)
{
    return {{{Exclusion::None, ""},
             {Exclusion::Leaving, "leaving"},
             {Exclusion::Region, "region"},
             {Exclusion::Paused, "paused"},
             {Exclusion::Failing, "failing"},
             {Exclusion::NoSlot, "no_slot"},
             {Exclusion::NoMemory, "no_memory"},
             {Exclusion::Unread, "unread"},
             {Exclusion::Other, "other"}}};
}

/// A server of the service of a call that is explained.
struct ExplainedServer
{
    std::string id;
    std::string failureDomain;
    Exclusion exclusion = Exclusion::None;
    /// Known requests of all instances that the server answers.
    std::size_t requests = 0;
    /// Predicted time to the first event if this server alone took the call; nothing if it cannot.
    std::optional<Duration> predictedFirst;
};

/// Where a call would go at a time, and why. Nothing is sent, reserved, counted or recorded for it.
struct PlacementExplanation
{
    pomeloport::RouteDecision decision;
    /// Servers that would get the call or reservations for it, the answering one first; empty if it would wait or be
    /// refused.
    std::vector<std::string> chosen;
    PlacementTrace trace;
    /// All servers of the call's service.
    std::vector<ExplainedServer> servers;
};

} // namespace pomeloentry

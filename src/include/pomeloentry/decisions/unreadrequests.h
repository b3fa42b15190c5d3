#pragma once

#include "pomeloport/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Decides which backend servers get no new requests because they do not read those that they have. Addresses the load
/// of a server that stops reading while others of its service go on: each request that is sent to it waits in memory.
/// Servers are identified by backendKey(). Not thread safe.
class UnreadRequests
{
public:
    /// With a limit of zero, all servers get requests.
    explicit UnreadRequests(std::size_t limit = 0);

    /// A server begins or ceases to get no new requests.
    struct Change
    {
        bool begins = false;
        /// Bytes that wait to be written to the server.
        std::size_t bytes = 0;
        /// For how long it got none.
        Duration lasted{};
    };

    /// Sets the bytes of an attempt's request that wait to be written to a server.
    std::optional<Change> setWaiting(std::uint64_t attempt, std::uint32_t server, std::size_t bytes, Instant now);

    /// Whether a server may get a new request. One that exceeded the limit may once no more than half of it waits, so
    /// that the answer does not change with every segment.
    bool permits(std::uint32_t server) const;

    struct Waiting
    {
        std::uint32_t server = 0;
        std::size_t bytes = 0;
    };

    /// Servers for which something waits, those with the most bytes first.
    std::vector<Waiting> waiting() const;

private:
    struct Server
    {
        std::unordered_map<std::uint64_t, std::size_t> attempts;
        std::size_t bytes = 0;
        std::optional<Instant> excludedSince;
    };

    std::size_t m_limit;
    std::unordered_map<std::uint32_t, Server> m_servers;
};

} // namespace pomeloentry

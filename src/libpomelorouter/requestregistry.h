#pragma once

#include "pomeloport/coordination/route.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace pomelorouter
{

class RequestSession;

/// The open requests of a router; owns their sessions. Safe from any thread.
class RequestRegistry
{
public:
    /// Adds a session under its sequence number and the address of its specification.
    void add(std::uint64_t sequence,
             const pomeloport::RequestSpec *specification,
             std::shared_ptr<RequestSession> session);

    /// Drops a session.
    void remove(std::uint64_t sequence, const pomeloport::RequestSpec *specification);

    /// The session with this sequence number, or null.
    std::shared_ptr<RequestSession> find(std::uint64_t sequence) const;

    /// The session with this specification, or null.
    std::shared_ptr<RequestSession> find(const pomeloport::RequestSpec *specification) const;

    /// Those of the sequence numbers that are open.
    std::vector<std::uint64_t> open(const std::vector<std::uint64_t> &sequences) const;

    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<RequestSession>> m_sessions;
    std::unordered_map<const pomeloport::RequestSpec *, std::uint64_t> m_sequences;
};

} // namespace pomelorouter

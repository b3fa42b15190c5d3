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

/// Owns the sessions of a router's open requests. Thread-safe.
class RequestRegistry
{
public:
    /// Adds a session under its sequence number and the address of its specification, by which Placement identifies it.
    void add(std::uint64_t sequence,
             const pomeloport::RequestSpec *specification,
             std::shared_ptr<RequestSession> session);

    /// Removes a session.
    void remove(std::uint64_t sequence, const pomeloport::RequestSpec *specification);

    /// Returns the session with this sequence number, or null.
    std::shared_ptr<RequestSession> find(std::uint64_t sequence) const;

    /// Returns the session whose specification has this address, or null.
    std::shared_ptr<RequestSession> find(const pomeloport::RequestSpec *specification) const;

    /// Returns the sessions of all open requests.
    std::vector<std::shared_ptr<RequestSession>> all() const;

    /// Returns those of the sequence numbers whose requests are open.
    std::vector<std::uint64_t> open(const std::vector<std::uint64_t> &sequences) const;

    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<RequestSession>> m_sessions;
    std::unordered_map<const pomeloport::RequestSpec *, std::uint64_t> m_sequences;
};

} // namespace pomelorouter

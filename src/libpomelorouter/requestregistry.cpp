#include "requestregistry.h"

#include "requestsession.h"

namespace pomelorouter
{

using namespace pomeloport;

void RequestRegistry::add(std::uint64_t sequence,
                          const RequestSpec *specification,
                          std::shared_ptr<RequestSession> session)
{
    const std::lock_guard lock(m_mutex);
    m_sessions[sequence] = std::move(session);
    m_sequences[specification] = sequence;
}

void RequestRegistry::remove(std::uint64_t sequence, const RequestSpec *specification)
{
    // Declared before the lock, so that the session is destroyed after the mutex is unlocked.
    std::shared_ptr<RequestSession> dropped;
    const std::lock_guard lock(m_mutex);
    const auto found = m_sessions.find(sequence);
    if (found != m_sessions.end()) {
        dropped = std::move(found->second);
        m_sessions.erase(found);
    }
    m_sequences.erase(specification);
}

std::shared_ptr<RequestSession> RequestRegistry::find(std::uint64_t sequence) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_sessions.find(sequence);
    return found == m_sessions.end() ? nullptr : found->second;
}

std::shared_ptr<RequestSession> RequestRegistry::find(const RequestSpec *specification) const
{
    const std::lock_guard lock(m_mutex);
    const auto sequence = m_sequences.find(specification);
    if (sequence == m_sequences.end()) {
        return nullptr;
    }
    const auto found = m_sessions.find(sequence->second);
    return found == m_sessions.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<RequestSession>> RequestRegistry::all() const
{
    std::vector<std::shared_ptr<RequestSession>> result;
    const std::lock_guard lock(m_mutex);
    for (const auto &[sequence, session] : m_sessions) {
        result.push_back(session);
    }
    return result;
}

std::vector<std::uint64_t> RequestRegistry::open(const std::vector<std::uint64_t> &sequences) const
{
    std::vector<std::uint64_t> result;
    const std::lock_guard lock(m_mutex);
    for (const auto sequence : sequences) {
        if (m_sessions.contains(sequence)) {
            result.push_back(sequence);
        }
    }
    return result;
}

std::size_t RequestRegistry::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

} // namespace pomelorouter

#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace pomeloentry
{

class EntrySession;

/// The open sessions of an instance, so that a stop can reach each of them. Thread safe.
class SessionRegistry
{
public:
    void add(std::uint64_t sequence, std::weak_ptr<EntrySession> session)
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.emplace(sequence, std::move(session));
    }

    void remove(std::uint64_t sequence)
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(sequence);
    }

    std::vector<std::shared_ptr<EntrySession>> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<EntrySession>> result;
        for (const auto &[sequence, weak] : m_sessions) {
            if (auto session = weak.lock()) {
                result.push_back(std::move(session));
            }
        }
        return result;
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::weak_ptr<EntrySession>> m_sessions;
};

} // namespace pomeloentry

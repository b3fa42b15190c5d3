#pragma once

#include "pomeloport/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace benchdecisions
{

/// Runs callbacks in order of virtual time; callbacks of one time run in the order in which they were added.
class EventQueue
{
public:
    using Callback = std::function<void()>;

    /// The present virtual time.
    pomeloport::Instant now() const
    {
        return m_now;
    }

    /// Adds a callback for a time, which is moved to the present if it lies in the past.
    void at(pomeloport::Instant time, Callback callback)
    {
        m_entries.push({std::max(time, m_now), m_order++, std::move(callback)});
    }

    /// Adds a callback for a time after the present.
    void after(pomeloport::Duration delay, Callback callback)
    {
        at(m_now + delay, std::move(callback));
    }

    /// Runs the next callback. Returns false when there is none.
    bool runOne()
    {
        if (m_entries.empty()) {
            return false;
        }
        auto entry = m_entries.top();
        m_entries.pop();
        m_now = entry.time;
        entry.callback();
        return true;
    }

private:
    struct Entry
    {
        pomeloport::Instant time{};
        std::uint64_t order = 0;
        Callback callback;

        bool operator<(const Entry &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    std::priority_queue<Entry> m_entries;
    pomeloport::Instant m_now{};
    std::uint64_t m_order = 0;
};

} // namespace benchdecisions

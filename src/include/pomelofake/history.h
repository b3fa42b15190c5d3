#pragma once

#include "pomeloport/clock.h"

#include <algorithm>
#include <deque>

/// Values with the times at which they were written, for stand-ins that answer with a lag.
namespace pomelofake
{

/// Remembers the latest value and those that a reader may still see with a lag of up to MaximumLag.
template<typename T>
class History
{
public:
    /// The longest lag for which past values are kept.
    static constexpr pomeloport::Duration MaximumLag = std::chrono::seconds(60);

    /// Writes a value; times must not go backwards.
    void write(T value, pomeloport::Instant at)
    {
        m_entries.push_back({at, std::move(value)});
        while (m_entries.size() > 1 && m_entries[1].at + MaximumLag < at) {
            m_entries.pop_front();
        }
    }

    /// Returns the value as of the given time, or null when nothing had been written by then.
    const T *asOf(pomeloport::Instant at) const
    {
        const auto isLater = [](pomeloport::Instant time, const Entry &entry) {
            return time < entry.at;
        };
        const auto next = std::upper_bound(m_entries.begin(), m_entries.end(), at, isLater);
        return next == m_entries.begin() ? nullptr : &std::prev(next)->value;
    }

    /// Returns the latest value, or null before the first write.
    const T *latest() const
    {
        return m_entries.empty() ? nullptr : &m_entries.back().value;
    }

private:
    struct Entry
    {
        pomeloport::Instant at;
        T value;
    };

    std::deque<Entry> m_entries;
};

} // namespace pomelofake

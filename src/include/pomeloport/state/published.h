#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace pomeloport
{

/// Holds the current version of an immutable value for many reader threads (read-copy-update). Readers take a shared
/// pointer and keep it for as long as they need that version; a writer replaces the whole value.
template<typename T>
class Published
{
public:
    /// Starts with the given value, which must not be null.
    explicit Published(std::shared_ptr<const T> initial)
        : m_value(std::move(initial))
    {
    }

    /// Returns the current version. Safe from any thread.
    std::shared_ptr<const T> current() const
    {
        return m_value.load(std::memory_order_acquire);
    }

    /// Makes a new version current. Safe from any thread; the last caller wins.
    void publish(std::shared_ptr<const T> next)
    {
        m_value.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> m_value;
};

} // namespace pomeloport

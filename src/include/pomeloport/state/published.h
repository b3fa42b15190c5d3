#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace pomeloport
{

/// Publishes versions of an immutable value to many reader threads (read-copy-update). A reader holds a shared pointer
/// for as long as it needs that version; a writer replaces the whole value.
template<typename T>
class Published
{
public:
    /// The initial value must not be null.
    explicit Published(std::shared_ptr<const T> initial)
        : m_value(std::move(initial))
    {
    }

    /// Returns the current version. Safe from any thread.
    std::shared_ptr<const T> current() const
    {
        return m_value.load(std::memory_order_acquire);
    }

    /// Replaces the current version. Safe from any thread; the last call wins.
    void publish(std::shared_ptr<const T> next)
    {
        m_value.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> m_value;
};

} // namespace pomeloport

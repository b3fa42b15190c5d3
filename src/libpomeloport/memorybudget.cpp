#include "pomeloport/memorybudget.h"

#include <utility>

namespace pomeloport
{

MemoryBudget::MemoryBudget(std::size_t limit, std::optional<double> multipleOfFree)
    : m_limit(limit)
    , m_multipleOfFree(multipleOfFree)
{
}

std::size_t MemoryBudget::limit() const
{
    return m_limit;
}

std::size_t MemoryBudget::used() const
{
    return m_used;
}

std::size_t MemoryBudget::peak() const
{
    return m_peak;
}

std::uint64_t MemoryBudget::refusals() const
{
    return m_refusals;
}

/// Takes bytes for a holder of some already.
bool MemoryBudget::take(std::size_t bytes, std::size_t held)
{
    auto used = m_used.load();
    do {
        const auto free = m_limit - used;
        const bool tooLarge = m_multipleOfFree
            && static_cast<double>(held) + static_cast<double>(bytes) > *m_multipleOfFree * static_cast<double>(free);
        if (bytes > free || tooLarge) {
            ++m_refusals;
            return false;
        }
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    auto peak = m_peak.load();
    while (used + bytes > peak && !m_peak.compare_exchange_weak(peak, used + bytes)) {
    }
    return true;
}

void MemoryBudget::giveBack(std::size_t bytes)
{
    m_used -= bytes;
}

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
{
}

MemoryShare::~MemoryShare()
{
    resize(0);
}

MemoryShare::MemoryShare(MemoryShare &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryShare &MemoryShare::operator=(MemoryShare &&other) noexcept
{
    if (this != &other) {
        resize(0);
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool MemoryShare::resize(std::size_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->take(bytes - m_bytes, m_bytes)) {
        return false;
    }
    if (m_budget && bytes < m_bytes) {
        m_budget->giveBack(m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
}

std::size_t MemoryShare::bytes() const
{
    return m_bytes;
}

} // namespace pomeloport

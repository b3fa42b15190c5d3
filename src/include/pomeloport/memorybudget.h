#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>

/// Limits on the memory that a process keeps for others.
namespace pomeloport
{

/// A common limit on the bytes that many holders keep, for the load pattern of a few holders that grow without end
/// beside many small ones: a holder may only grow to a multiple of the bytes that are still free, so that those who
/// hold most are refused first and others always find a place. Thread safe.
class MemoryBudget
{
public:
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

    /// Without a multiple, only the limit counts.
    explicit MemoryBudget(std::size_t limit = Unlimited, std::optional<double> multipleOfFree = std::nullopt);

    std::size_t limit() const;

    /// Bytes that are taken now, and the most that ever were.
    std::size_t used() const;
    std::size_t peak() const;

    /// How often bytes were refused.
    std::uint64_t refusals() const;

private:
    friend class MemoryShare;

    bool take(std::size_t bytes, std::size_t held);
    void giveBack(std::size_t bytes);

    const std::size_t m_limit;
    const std::optional<double> m_multipleOfFree;
    std::atomic<std::size_t> m_used{0};
    std::atomic<std::size_t> m_peak{0};
    std::atomic<std::uint64_t> m_refusals{0};
};

/// The bytes that one holder has taken from a budget; gives them back at its end. Without a budget, nothing is limited.
/// Not thread safe.
class MemoryShare
{
public:
    MemoryShare() = default;
    explicit MemoryShare(std::shared_ptr<MemoryBudget> budget);
    ~MemoryShare();
    MemoryShare(MemoryShare &&other) noexcept;
    MemoryShare &operator=(MemoryShare &&other) noexcept;
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Changes the share to a number of bytes. Returns false, with the share as it was, if the budget lacks them.
    bool resize(std::size_t bytes);

    std::size_t bytes() const;

private:
    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace pomeloport

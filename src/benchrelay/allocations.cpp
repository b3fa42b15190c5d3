#include "allocations.h"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

namespace benchrelay
{

namespace
{

std::atomic<std::size_t> counted{0};
thread_local bool counting = false;

/// Stands before each block: how much it counts for.
struct alignas(std::max_align_t) Header
{
    std::size_t size = 0;
    void *start = nullptr;
};

void *allocate(std::size_t size, std::size_t alignment)
{
    const auto room = sizeof(Header) + alignment;
    auto *start = static_cast<char *>(std::malloc(size + room));
    if (!start) {
        throw std::bad_alloc();
    }
    const auto first = reinterpret_cast<std::uintptr_t>(start) + sizeof(Header);
    const auto aligned = (first + alignment - 1) / alignment * alignment;
    auto *block = reinterpret_cast<char *>(aligned);
    auto *header = reinterpret_cast<Header *>(block - sizeof(Header));
    *header = {counting ? size : 0, start};
    counted += header->size;
    return block;
}

void release(void *block) noexcept
{
    if (!block) {
        return;
    }
    const auto *header = reinterpret_cast<Header *>(static_cast<char *>(block) - sizeof(Header));
    counted -= header->size;
    std::free(header->start);
}

} // namespace

void countAllocationsOfThisThread()
{
    counting = true;
}

std::size_t countedBytes()
{
    return counted;
}

} // namespace benchrelay

void *operator new(std::size_t size)
{
    return benchrelay::allocate(size, alignof(std::max_align_t));
}

void *operator new(std::size_t size, std::align_val_t alignment)
{
    return benchrelay::allocate(size, static_cast<std::size_t>(alignment));
}

void operator delete(void *block) noexcept
{
    benchrelay::release(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    benchrelay::release(block);
}

void operator delete(void *block, std::align_val_t) noexcept
{
    benchrelay::release(block);
}

void operator delete(void *block, std::size_t, std::align_val_t) noexcept
{
    benchrelay::release(block);
}

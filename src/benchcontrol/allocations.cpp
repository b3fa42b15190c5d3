#include "allocations.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::size_t> allocated;

} // namespace

std::size_t benchcontrol::allocatedBytes()
{
    return allocated;
}

// The replaced global operators of this program.
void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (!memory) {
        std::abort();
    }
    allocated += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    allocated -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    operator delete(memory);
}

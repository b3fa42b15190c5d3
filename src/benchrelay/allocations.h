#pragma once

#include <cstddef>

/// Counts heap memory by the thread that allocated it. The program's operators new and delete do the counting.
namespace benchrelay
{

/// Makes the calling thread's allocations count, from now on.
void countAllocationsOfThisThread();

/// Bytes that counted threads have allocated and nobody has freed.
std::size_t countedBytes();

} // namespace benchrelay

#pragma once

#include <cstddef>

namespace benchcontrol
{

/// Bytes allocated by operator new at present, as the allocator hands them out.
std::size_t allocatedBytes();

} // namespace benchcontrol

#pragma once

#include <cstddef>

namespace benchcontrol
{

/// Bytes that the home of some engines exchanges with them each second, both ways, from the sizes of the encoded
/// messages and the controller's intervals: load reports, cache events and the books for the orphan sweep. In a small
/// region it also reads the cache events of the other engines.
double pollBytesPerSecond(std::size_t engines, std::size_t regionServers);

} // namespace benchcontrol

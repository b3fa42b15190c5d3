#pragma once

#include <string>

/// Errors are reported as an empty std::optional, or false, together with a reason kept per thread.
namespace pomeloport
{

/// Stores why the current call fails. Calls replace the reason of an earlier failure on the same thread.
void setLastReason(std::string reason);

/// Returns the reason of the last failure on this thread, or an empty string when no call has failed.
const std::string &lastReason();

} // namespace pomeloport

#include "pomeloport/lastreason.h"

#include <utility>

namespace pomeloport
{

namespace
{

std::string &threadReason()
{
    thread_local std::string reason;
    return reason;
}

} // namespace

void setLastReason(std::string reason)
{
    threadReason() = std::move(reason);
}

const std::string &lastReason()
{
    return threadReason();
}

} // namespace pomeloport

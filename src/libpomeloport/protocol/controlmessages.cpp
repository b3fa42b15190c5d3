#include "pomeloport/protocol/controlmessages.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/protocol/compactarchive.h"

namespace pomeloport
{

std::string encode(const ControlMessage &message)
{
    return detail::encodeCompact(message);
}

std::optional<ControlMessage> decodeControlMessage(std::string_view bytes)
{
    auto message = detail::decodeCompact<ControlMessage>(bytes);
    if (!message) {
        setLastReason("malformed control message");
    }
    return message;
}

} // namespace pomeloport

#include "pomeloport/protocol/peermessages.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/protocol/compactarchive.h"

namespace pomeloport
{

std::string encode(const PeerMessage &message)
{
    return detail::encodeCompact(message);
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    auto message = detail::decodeCompact<PeerMessage>(bytes);
    if (!message) {
        setLastReason("malformed peer message");
    }
    return message;
}

} // namespace pomeloport

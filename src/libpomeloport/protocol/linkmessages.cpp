#include "pomeloport/protocol/linkmessages.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/protocol/compactarchive.h"

namespace pomeloport
{

std::string encode(const LinkMessage &message)
{
    return detail::encodeCompact(message);
}

std::optional<LinkMessage> decodeLinkMessage(std::string_view bytes)
{
    auto message = detail::decodeCompact<LinkMessage>(bytes);
    if (!message) {
        setLastReason("malformed link message");
    }
    return message;
}

} // namespace pomeloport

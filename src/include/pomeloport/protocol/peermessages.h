#pragma once

#include "pomeloport/protocol/linkmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Messages between controllers over framed TCP connections: those that are too large for a datagram or need a reliable
/// answer. The sender of a query chooses its number, which the reply repeats.
namespace pomeloport
{

namespace peer
{

/// Requests the complete configuration.
struct ConfigFetch
{
    std::uint64_t query = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query);
    }
};

/// The configuration that the answering instance has; version 0 when it has none.
struct ConfigFetched
{
    std::uint64_t query = 0;
    std::uint64_t version = 0;
    std::string token;
    std::string yaml;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, version, token, yaml);
    }
};

} // namespace peer

/// Any message between controllers over TCP. The group, stream and claim messages are those of the link, with query
/// numbers of the asking controller.
using PeerMessage = std::variant<peer::ConfigFetch,
                                 peer::ConfigFetched,
                                 link::GroupReserve,
                                 link::GroupGranted,
                                 link::GroupRefused,
                                 link::GroupRelease,
                                 link::LiveStreamsQuery,
                                 link::LiveStreamsReply,
                                 link::ClaimHolderQuery,
                                 link::ClaimHolderReply>;

/// Encodes a message for one frame.
std::string encode(const PeerMessage &message);

/// Decodes a frame. Returns nothing, with a last reason, for truncated, forged or unknown input; never throws.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace pomeloport

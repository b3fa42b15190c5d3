#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Identifiers in messages: the owner of a stream, and the request and attempt that it belongs to.
namespace pomeloport
{

/// Identifies one run of one process of an instance. After a restart the name stays and the incarnation is higher.
struct OwnerId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const OwnerId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation);
    }
};

/// Identifies one attempt of one request: the owner, the sequence number of the request at its owner, and the number of
/// the attempt.
struct StreamAddress
{
    OwnerId owner;
    std::uint64_t sequence = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const StreamAddress &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(owner, sequence, attempt);
    }
};

/// Formats an address as "instance/incarnation/sequence/attempt".
std::string toString(const StreamAddress &address);

/// Parses the output of toString(). Returns nothing, with a last reason, for any other text.
std::optional<StreamAddress> parseStreamAddress(std::string_view text);

} // namespace pomeloport

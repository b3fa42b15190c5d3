#pragma once

#include "pomeloentry/fleetdocuments.h"

#include "pomeloport/protocol/compactarchive.h"

#include <optional>
#include <string>
#include <string_view>

/// What one instance hands another that missed changes.
namespace pomeloentry
{

/// The documents of each kind that the other one does not know yet.
struct FleetCopy
{
    std::optional<DocumentCopy> routing;
    std::optional<DocumentCopy> backends;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routing, backends);
    }
};

/// Encodes and compresses a copy; routing documents are long and repeat themselves.
std::string encodeFleetCopy(const FleetCopy &copy);

/// Returns nothing, with a last reason, for bytes that are no copy.
std::optional<FleetCopy> decodeFleetCopy(std::string_view bytes);

} // namespace pomeloentry

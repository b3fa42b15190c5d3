#pragma once

#include "pomeloentry/knowledge/fleetdocuments.h"

#include "pomeloport/protocol/compactarchive.h"

#include <optional>
#include <string>
#include <string_view>

/// The state that an instance transfers to a peer that missed changes.
namespace pomeloentry
{

/// All documents of each kind in which the peer missed a change; a kind without changes is left out.
struct FleetCopy
{
    std::optional<DocumentCopy> routing;
    std::optional<DocumentCopy> backends;
    /// Encoded behind the others and only if present, so that the copies of deployments without evacuations stay the
    /// same. Sent to a peer that asks for it and whose own is older, also if nothing changed since.
    std::optional<DocumentCopy> evacuations;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routing, backends);
    }
};

/// Encodes and compresses a copy. Routing documents are large and repetitive, so they compress well.
std::string encodeFleetCopy(const FleetCopy &copy);

/// Returns nothing and sets the last reason when the bytes are not a valid copy.
std::optional<FleetCopy> decodeFleetCopy(std::string_view bytes);

} // namespace pomeloentry

#include "knowledge/restorerules.h"

namespace pomeloentry
{

namespace
{

/// How long an evacuation stays in force that the restored store lacks. Operators write it again later than servers
/// write their entries.
constexpr Duration MissingEvacuationTime = std::chrono::seconds(30);

/// Operators number their configurations in ascending order. An unreadable one is not in force.
bool isLaterRouting(const std::string & /*name*/, const StoredDocument &known, const StoredDocument &listed)
{
    const auto before = wire::decodeRouting(known.text);
    const auto next = wire::decodeRouting(listed.text);
    return !before || (next && next->version >= before->version);
}

/// A new incarnation of a server is later, and so is the announcement that a server leaves.
bool isLaterBackend(const std::string &name, const StoredDocument &known, const StoredDocument &listed)
{
    const auto before = wire::decodeBackend(name, known.text);
    const auto next = wire::decodeBackend(name, listed.text);
    if (!before || !next) {
        return false;
    }
    return next->startedAt > before->startedAt
        || (next->startedAt == before->startedAt && next->leaving && !before->leaving);
}

/// An evacuation is written once and has no contents, so an earlier state of it has the revision that is known. Any
/// other one may be a new evacuation.
bool isNewEvacuation(const std::string & /*name*/, const StoredDocument &known, const StoredDocument &listed)
{
    return listed.version.revision != known.version.revision;
}

} // namespace

RestoreRules restoreRules(wire::DocumentKind kind)
{
    RestoreRules rules;
    switch (kind) {
    case wire::DocumentKind::Routing:
        rules.missingTime.reset();
        rules.withheldTime.reset();
        rules.isLater = isLaterRouting;
        break;
    case wire::DocumentKind::Backends:
        rules.isLater = isLaterBackend;
        break;
    case wire::DocumentKind::Evacuations:
        rules.missingTime = MissingEvacuationTime;
        rules.isLater = isNewEvacuation;
        break;
    case wire::DocumentKind::Entries:
        break;
    }
    return rules;
}

} // namespace pomeloentry

#pragma once

#include "pomeloentry/knowledge/fleetdocuments.h"
#include "pomeloentry/wire.h"

namespace pomeloentry
{

/// The rules for documents of a kind after the store came back from an older copy: no configuration is replaced by an
/// earlier version, no server is used that had left, and an evacuation is obeyed in case of doubt.
RestoreRules restoreRules(wire::DocumentKind kind);

} // namespace pomeloentry

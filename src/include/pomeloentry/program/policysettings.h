#pragma once

#include "pomeloentry/decisions/entryplacement.h"

#include "pomeloport/settings.h"

#include <optional>
#include <string>

namespace pomeloentry
{

/// Reads the weights and limits of placement from a YAML file; without a file name the defaults apply. Returns nothing
/// when errors were added.
std::optional<EntryPolicy> loadPolicy(const std::string &fileName, pomeloport::SettingsErrors &errors);

} // namespace pomeloentry

#pragma once

#include "pomeloport/state/declarations.h"

#include <map>
#include <string>
#include <vector>

/// Field-by-field comparison of declarations, for operators and for reports of conflicting edits.
namespace pomeloport
{

/// One field that differs. An empty text on one side means that the field is absent there.
struct DeclarationChange
{
    /// Path of the field, for example "intents/questions/priority".
    std::string path;
    std::string before;
    std::string after;
};

/// Flattens declarations to a map from field path to value. Tokens of organisations appear as digests, so that output
/// may be logged.
std::map<std::string, std::string> flatten(const Declarations &declarations);

/// Returns the fields that differ, ordered by path.
std::vector<DeclarationChange> difference(const Declarations &before, const Declarations &after);

} // namespace pomeloport

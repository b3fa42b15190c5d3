#pragma once

#include "pomeloport/state/declarations.h"

#include <map>
#include <string>
#include <vector>

/// Field-by-field comparison of declarations. Shows operators the effect of an edit and where edits conflict.
namespace pomeloport
{

/// One field that differs. The value is empty on the side where the field is absent.
struct DeclarationChange
{
    /// Path of the field, for example "intents/questions/priority".
    std::string path;
    std::string before;
    std::string after;
};

/// Flattens declarations to a map from field path to value; empty fields are omitted. Tokens of organisations are
/// replaced by digests, so that the result may be logged.
std::map<std::string, std::string> flatten(const Declarations &declarations);

/// Returns the differing fields, ordered by path.
std::vector<DeclarationChange> difference(const Declarations &before, const Declarations &after);

} // namespace pomeloport

#pragma once

#include "pomeloport/state/declarations.h"
#include "pomeloport/state/declarationsdiff.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

/// Reading declarations files, and the printed form of their differences.
namespace pomeloctl
{

/// A valid declarations file: its text and the parsed form.
struct DeclarationsFile
{
    std::string yaml;
    pomeloport::Declarations declarations;
};

/// Reads and validates a file. Prints every error to standard error and returns nothing if there are any.
std::optional<DeclarationsFile> loadDeclarations(const std::string &fileName);

/// Validates the text of declarations. Prints every error to standard error, prefixed with the name, and returns
/// nothing if there are any.
std::optional<DeclarationsFile> checkDeclarations(std::string yaml, const std::string &name);

/// Converts differences to an array of objects with the keys path, before and after.
boost::json::value toJson(const std::vector<pomeloport::DeclarationChange> &changes);

} // namespace pomeloctl

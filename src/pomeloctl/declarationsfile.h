#pragma once

#include "pomeloport/state/declarations.h"
#include "pomeloport/state/declarationsdiff.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

/// Files of declarations and how differences are printed.
namespace pomeloctl
{

/// A file of declarations that was read and checked.
struct DeclarationsFile
{
    std::string yaml;
    pomeloport::Declarations declarations;
};

/// Reads and checks a file. Prints every error to standard error and returns nothing when there are any.
std::optional<DeclarationsFile> loadDeclarations(const std::string &fileName);

/// Checks the text of declarations. Prints every error under the given name and returns nothing when there are any.
std::optional<DeclarationsFile> checkDeclarations(std::string yaml, const std::string &name);

/// The differences as an array of objects with path, before and after.
boost::json::value toJson(const std::vector<pomeloport::DeclarationChange> &changes);

} // namespace pomeloctl

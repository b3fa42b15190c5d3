#pragma once

#include "options.h"

#include <boost/json/value.hpp>

#include <iosfwd>

/// Printing of results.
namespace pomeloctl
{

/// Prints a JSON document as one line of JSON, or as tables: scalar fields of the top level as "key value" lines, each
/// array of objects as a table of its own with one column per field.
void print(std::ostream &out, const boost::json::value &document, OutputFormat format);

} // namespace pomeloctl

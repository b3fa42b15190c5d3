#pragma once

#include "options.h"

#include <boost/json/value.hpp>

#include <iosfwd>

/// Printing of results as JSON or tables.
namespace pomeloctl
{

/// Prints a document as one line of JSON, or as tables. In table format, each top-level array of objects becomes a
/// table with one column per field, and every other top-level field a "key  value" line above them.
void print(std::ostream &out, const boost::json::value &document, OutputFormat format);

} // namespace pomeloctl

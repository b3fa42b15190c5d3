#include "commands.h"

#include "declarationsfile.h"
#include "output.h"
#include "storeclient.h"

#include "pomeloport/lastreason.h"

#include <boost/json.hpp>

#include <iostream>

namespace pomeloctl
{

namespace
{

ExitCode printDifference(const std::optional<DeclarationsFile> &before,
                         const std::optional<DeclarationsFile> &after,
                         OutputFormat format)
{
    if (!before || !after) {
        return UsageError;
    }
    const auto changes = pomeloport::difference(before->declarations, after->declarations);
    print(std::cout, {{"changed_fields", changes.size()}, {"changes", toJson(changes)}}, format);
    return Success;
}

} // namespace

ExitCode diff(const Options &options)
{
    if (options.arguments.size() == 2) {
        return printDifference(
            loadDeclarations(options.arguments[0]), loadDeclarations(options.arguments[1]), options.output);
    }
    auto stored = StoreClient(options.connection).declarations();
    if (!stored) {
        std::cerr << "pomeloctl diff: " << pomeloport::lastReason() << '\n';
        return Failed;
    }
    return printDifference(
        checkDeclarations(std::move(*stored), "store"), loadDeclarations(options.arguments[0]), options.output);
}

} // namespace pomeloctl

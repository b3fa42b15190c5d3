#include "commands.h"

#include "declarationsfile.h"
#include "output.h"

#include <boost/json.hpp>

#include <iostream>

namespace pomeloctl {

ExitCode diff(const Options &options)
{
    const auto before = loadDeclarations(options.arguments[0]);
    const auto after = loadDeclarations(options.arguments[1]);
    if (!before || !after) {
        return UsageError;
    }
    const auto changes = pomeloport::difference(before->declarations, after->declarations);
    print(std::cout, {{"changed_fields", changes.size()}, {"changes", toJson(changes)}}, options.output);
    return Success;
}

} // namespace pomeloctl

#include "pomeloport/state/declarations.h"

#include <algorithm>

namespace pomeloport
{

bool matches(const Selector &selector, const Labels &labels)
{
    return std::ranges::all_of(selector.matchLabels, [&labels](const auto &required) {
        const auto found = labels.find(required.first);
        return found != labels.end() && found->second == required.second;
    });
}

} // namespace pomeloport

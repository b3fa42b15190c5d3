#include "pomeloport/state/declarations.h"

#include <algorithm>

namespace pomeloport
{

bool matches(const Selector &selector, const Labels &labels)
{
    return std::ranges::all_of(selector.matchLabels, [&labels](const auto &wanted) {
        const auto found = labels.find(wanted.first);
        return found != labels.end() && found->second == wanted.second;
    });
}

} // namespace pomeloport

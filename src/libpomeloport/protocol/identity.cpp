#include "pomeloport/protocol/identity.h"

#include "pomeloport/lastreason.h"

#include <charconv>

namespace pomeloport
{

namespace
{

template<typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string toString(const StreamAddress &address)
{
    return address.owner.instance + '/' + std::to_string(address.owner.incarnation) + '/'
        + std::to_string(address.sequence) + '/' + std::to_string(address.attempt);
}

std::optional<StreamAddress> parseStreamAddress(std::string_view text)
{
    StreamAddress address;
    const auto first = text.find('/');
    const auto second = first == std::string_view::npos ? first : text.find('/', first + 1);
    const auto third = second == std::string_view::npos ? second : text.find('/', second + 1);
    if (third == std::string_view::npos || first == 0
        || !parseNumber(text.substr(first + 1, second - first - 1), address.owner.incarnation)
        || !parseNumber(text.substr(second + 1, third - second - 1), address.sequence)
        || !parseNumber(text.substr(third + 1), address.attempt)) {
        setLastReason("stream address is not INSTANCE/INCARNATION/SEQUENCE/ATTEMPT");
        return std::nullopt;
    }
    address.owner.instance = text.substr(0, first);
    return address;
}

} // namespace pomeloport

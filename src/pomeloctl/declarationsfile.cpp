#include "declarationsfile.h"

#include "pomeloport/settings.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace pomeloctl
{

std::optional<DeclarationsFile> loadDeclarations(const std::string &fileName)
{
    const std::ifstream file(fileName);
    if (!file) {
        std::cerr << fileName << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return checkDeclarations(content.str(), fileName);
}

std::optional<DeclarationsFile> checkDeclarations(std::string yaml, const std::string &name)
{
    pomeloport::SettingsErrors errors;
    auto declarations = pomeloport::parseDeclarations(yaml, name, errors);
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    if (!declarations) {
        return std::nullopt;
    }
    return DeclarationsFile{std::move(yaml), std::move(*declarations)};
}

boost::json::value toJson(const std::vector<pomeloport::DeclarationChange> &changes)
{
    boost::json::array result;
    for (const auto &change : changes) {
        result.push_back(
            boost::json::object{{"path", change.path}, {"before", change.before}, {"after", change.after}});
    }
    return result;
}

} // namespace pomeloctl

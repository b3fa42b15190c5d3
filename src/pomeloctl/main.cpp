#include "commands.h"

#include <iostream>
#include <string>
#include <vector>

namespace
{

void printOverview(std::ostream &out)
{
    out << "Usage: pomeloctl COMMAND [arguments] [options]\n\nCommands:\n";
    for (const auto &command : pomeloctl::commands()) {
        const auto call = command.description.name + ' ' + command.description.arguments;
        constexpr std::size_t Column = 26;
        out << "  " << call << std::string(call.size() < Column ? Column - call.size() : 1, ' ')
            << command.description.summary << '\n';
    }
    out << "\npomeloctl COMMAND --help shows the options of a command.\n"
           "Exit codes: 0 success, 1 failed or unreachable, 2 wrong usage or settings, 3 conflict, "
           "4 not in force everywhere\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty() || words[0] == "--help" || words[0] == "-h") {
        printOverview(words.empty() ? std::cerr : std::cout);
        return words.empty() ? pomeloctl::UsageError : pomeloctl::Success;
    }
    if (words[0] == "--version") {
        std::cout << "pomeloctl 0.1.0\n";
        return pomeloctl::Success;
    }
    for (const auto &command : pomeloctl::commands()) {
        if (command.description.name == words[0]) {
            const auto parsed = pomeloctl::parseOptions(command.description, {words.begin() + 1, words.end()});
            return parsed.options ? command.run(*parsed.options) : parsed.exitCode;
        }
    }
    std::cerr << "pomeloctl: unknown command \"" << words[0] << "\"; see pomeloctl --help\n";
    return pomeloctl::UsageError;
}

#include "options.h"

#include "pomeloport/settings.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace pomeloctl
{

namespace
{

namespace po = boost::program_options;
using namespace std::chrono_literals;

po::options_description visibleOptions(const CommandDescription &command)
{
    po::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "show this help");
    add("settings,s", po::value<std::string>(), "YAML file with platform, endpoints, operator_token and timeout");
    add("platform", po::value<std::string>(), "address IP:PORT of the platform's object API");
    add("endpoint,e", po::value<std::vector<std::string>>(), "address IP:PORT of a router; may be repeated");
    add("operator-token", po::value<std::string>(), "bearer token for the operator API");
    add("output,o", po::value<std::string>()->default_value("table"), "table or json");
    if (command.name == "apply") {
        add("wait,w", "wait until the change is in force on every live instance");
        add("wait-timeout",
            po::value<std::string>()->default_value("10s"),
            "longest time to wait, with unit, for example 10s");
        add("if-version", po::value<std::uint64_t>(), "fail with a conflict unless the store holds this version");
    }
    if (command.name == "explain") {
        add("dry-run", "ask a pomelo-entry (endpoint: its address for metrics) where a request would go now");
        add("service", po::value<std::string>(), "service of the request; needed with --dry-run");
        add("prompt", po::value<std::string>(), "prompt tokens");
        add("answer", po::value<std::string>(), "expected tokens of the answer");
        add("organisation", po::value<std::string>(), "organisation that sends it");
        add("priority", po::value<std::string>(), "its priority, instead of the route's or organisation's");
        add("route", po::value<std::string>(), "route that it takes, instead of the first one to the service");
    }
    return description;
}

void printHelp(const CommandDescription &command, const po::options_description &visible)
{
    std::cout << "Usage: pomeloctl " << command.name << ' ' << command.arguments << " [options]\n\n"
              << command.summary << ".\n"
              << command.details << "\n"
              << visible
              << "\nExit codes: 0 success, 1 failed or unreachable, 2 wrong usage or settings, 3 conflict, "
                 "4 not in force everywhere\n";
}

ParsedOptions usageError(const CommandDescription &command, const std::string &message)
{
    std::cerr << "pomeloctl " << command.name << ": " << message << "; see pomeloctl " << command.name << " --help\n";
    return {std::nullopt, UsageError};
}

/// Reads the settings file into the connection. Prints every error and returns false if there are any.
bool readSettings(const std::string &fileName, Connection &connection)
{
    pomeloport::SettingsErrors errors;
    if (auto reader = pomeloport::SettingsReader::loadFile(fileName, errors)) {
        if (reader->has("platform")) {
            connection.platform = reader->address("platform");
        }
        connection.endpoints = reader->addresses("endpoints");
        connection.operatorToken = reader->text("operator_token");
        connection.timeout = reader->duration("timeout", connection.timeout, 10ms, 10min);
        reader->text("platform");
        reader->finish();
    }
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    return errors.empty();
}

/// Overrides the settings file with the options of the command line. Returns an error message, empty on success.
std::string overrideConnection(const po::variables_map &values, Connection &connection)
{
    if (values.contains("platform")) {
        connection.platform = values["platform"].as<std::string>();
    }
    if (values.contains("endpoint")) {
        connection.endpoints = values["endpoint"].as<std::vector<std::string>>();
    }
    if (values.contains("operator-token")) {
        connection.operatorToken = values["operator-token"].as<std::string>();
    }
    for (const auto &address : connection.endpoints) {
        if (!pomeloport::isNumericAddress(address)) {
            return "endpoint " + address + " is not IP:PORT";
        }
    }
    if (!connection.platform.empty() && !pomeloport::isNumericAddress(connection.platform)) {
        return "platform " + connection.platform + " is not IP:PORT";
    }
    return {};
}

/// Reads the options of "apply". Returns an error message, empty on success.
std::string readApplyOptions(const po::variables_map &values, Options &options)
{
    options.wait = values.contains("wait");
    const auto timeout = pomeloport::parseDuration(values["wait-timeout"].as<std::string>());
    if (!timeout) {
        return "wait-timeout needs a unit, for example 10s";
    }
    options.waitTimeout = *timeout;
    if (values.contains("if-version")) {
        options.ifVersion = values["if-version"].as<std::uint64_t>();
    }
    return {};
}

/// Reads the options of "explain". Returns an error message, empty on success.
std::string readExplainOptions(const po::variables_map &values, Options &options)
{
    options.dryRun = values.contains("dry-run");
    for (const std::string name : {"service", "prompt", "answer", "organisation", "priority", "route"}) {
        if (values.contains(name)) {
            options.request[name] = values[name].as<std::string>();
        }
    }
    if (options.dryRun != options.request.contains("service")) {
        return "--dry-run and --service belong together";
    }
    if (!options.dryRun && !options.request.empty()) {
        return "the parameters of a request need --dry-run";
    }
    if (options.dryRun != options.arguments.empty()) {
        return "expected either a request or --dry-run";
    }
    return {};
}

} // namespace

ParsedOptions parseOptions(const CommandDescription &command, const std::vector<std::string> &words)
{
    const auto visible = visibleOptions(command);
    po::options_description all;
    all.add(visible).add_options()("argument", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("argument", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(words).options(all).positional(positions).run(), values);
    } catch (const po::error &error) {
        return usageError(command, error.what());
    }
    if (values.contains("help")) {
        printHelp(command, visible);
        return {std::nullopt, Success};
    }
    Options options;
    if (values.contains("argument")) {
        options.arguments = values["argument"].as<std::vector<std::string>>();
    }
    if (options.arguments.size() < command.minimumArguments || options.arguments.size() > command.maximumArguments) {
        return usageError(command, "expected arguments: " + command.arguments);
    }
    const auto output = pomeloport::valueOf<OutputFormat>(values["output"].as<std::string>());
    if (!output) {
        return usageError(command, "output must be table or json");
    }
    options.output = *output;
    if (values.contains("settings") && !readSettings(values["settings"].as<std::string>(), options.connection)) {
        return {std::nullopt, UsageError};
    }
    auto problem = overrideConnection(values, options.connection);
    if (problem.empty() && command.name == "apply") {
        problem = readApplyOptions(values, options);
    }
    if (problem.empty() && command.name == "explain") {
        problem = readExplainOptions(values, options);
    }
    if (!problem.empty()) {
        return usageError(command, problem);
    }
    return {std::move(options), Success};
}

} // namespace pomeloctl

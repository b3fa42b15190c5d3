#include "commands.h"

#include "declarationsfile.h"
#include "operatorclient.h"
#include "output.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/requeststory.h"
#include "pomeloport/transport/httpmessage.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>

namespace pomeloctl
{

namespace
{

ExitCode reportFailure(const std::string &command)
{
    std::cerr << "pomeloctl " << command << ": " << pomeloport::lastReason() << '\n';
    return Failed;
}

/// Finds the router address of an instance in a status document. If there is none, sets the last reason.
std::optional<std::string> routerAddress(const boost::json::value &status, const std::string &instance)
{
    const auto *instances = status.is_object() ? status.get_object().if_contains("instances") : nullptr;
    if (instances && instances->is_array()) {
        for (const auto &entry : instances->get_array()) {
            const auto *name = entry.is_object() ? entry.get_object().if_contains("instance") : nullptr;
            const auto *address = entry.is_object() ? entry.get_object().if_contains("http_address") : nullptr;
            if (name && address && *name == boost::json::value(instance) && address->is_string()) {
                return std::string(address->get_string());
            }
        }
    }
    pomeloport::setLastReason("no instance is named " + instance);
    return std::nullopt;
}

ExitCode printAnswer(const std::string &command, const std::optional<boost::json::value> &answer, OutputFormat format)
{
    if (!answer) {
        return reportFailure(command);
    }
    print(std::cout, *answer, format);
    return Success;
}

} // namespace

ExitCode validate(const Options &options)
{
    const auto file = loadDeclarations(options.arguments[0]);
    if (!file) {
        return UsageError;
    }
    print(std::cout,
          {{"valid", true},
           {"organisations", file->declarations.organisations.size()},
           {"intents", file->declarations.intents.size()},
           {"backends", file->declarations.backends.size()}},
          options.output);
    return Success;
}

ExitCode status(const Options &options)
{
    return printAnswer("status", OperatorClient(options.connection).call("GET", "/v1/operator/status"), options.output);
}

ExitCode drain(const Options &options)
{
    OperatorClient client(options.connection);
    const auto status = client.call("GET", "/v1/operator/status");
    const auto address = status ? routerAddress(*status, options.arguments[0]) : std::nullopt;
    if (!address) {
        return reportFailure("drain");
    }
    return printAnswer("drain", client.callAddress(*address, "POST", "/v1/operator/drain"), options.output);
}

/// Prints the log lines that concern a request, from the log files named by the arguments after the request.
ExitCode explainFromLogs(const Options &options)
{
    pomeloport::RequestStory story(options.arguments[0]);
    for (auto name = options.arguments.begin() + 1; name != options.arguments.end(); ++name) {
        std::ifstream log(*name);
        if (!log) {
            pomeloport::setLastReason(*name + " cannot be read");
            return reportFailure("explain");
        }
        story.read(*name, log);
    }
    const auto lines = story.lines();
    if (lines.empty()) {
        pomeloport::setLastReason("no log has this request");
        return reportFailure("explain");
    }
    boost::json::array entries;
    for (const auto &line : lines) {
        entries.emplace_back(line.text);
        if (options.output == OutputFormat::Table) {
            std::cout << line.source << ": " << line.text << '\n';
        }
    }
    if (options.output == OutputFormat::Json) {
        print(std::cout, {{"lines", std::move(entries)}}, options.output);
    }
    return Success;
}

/// Asks the endpoints in order where a request would go now.
ExitCode explainDryRun(const Options &options)
{
    std::string target = "/explain";
    for (const auto &[name, value] : options.request) {
        target += target.find('?') == std::string::npos ? '?' : '&';
        target += name + '=' + pomeloport::percentEncoded(value);
    }
    // Instances of the users' platform know no operators, so none of them gets the token.
    auto connection = options.connection;
    connection.operatorToken.clear();
    return printAnswer("explain", OperatorClient(connection).call("GET", target), options.output);
}

ExitCode explain(const Options &options)
{
    if (options.dryRun) {
        return explainDryRun(options);
    }
    if (options.arguments.size() > 1) {
        return explainFromLogs(options);
    }
    pomeloport::setLastReason("no endpoint is given");
    for (const auto &address : options.connection.endpoints) {
        const auto answer = OperatorClient(options.connection)
                                .callAddress(address, "GET", "/v1/operator/explain?request=" + options.arguments[0]);
        if (answer) {
            print(std::cout, *answer, options.output);
            return Success;
        }
    }
    return reportFailure("explain");
}

} // namespace pomeloctl

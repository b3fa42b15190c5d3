#include "commands.h"

#include "declarationsfile.h"
#include "operatorclient.h"
#include "output.h"
#include "storeclient.h"

#include "pomeloport/coordination/configapply.h"

#include <boost/json.hpp>

#include <iostream>
#include <random>
#include <thread>

namespace pomeloctl
{

namespace
{

using pomeloport::ApplyResult;
using namespace std::chrono_literals;

constexpr auto StatusPollInterval = 200ms;

std::string newEditToken()
{
    std::random_device random;
    std::uniform_int_distribution<std::uint64_t> numbers;
    return "edit-" + std::to_string(numbers(random)) + '-' + std::to_string(numbers(random));
}

ExitCode exitCodeOf(ApplyResult result)
{
    switch (result) {
    case ApplyResult::Applied:
    case ApplyResult::Unchanged:
        return Success;
    case ApplyResult::Conflict:
        return Conflicting;
    case ApplyResult::NotApplied:
    case ApplyResult::Uncertain:
        return Failed;
    }
    return Failed;
}

/// Whether an instance of a status document is live, so that a new version must be in force there.
bool isLive(const boost::json::object &instance)
{
    const auto *state = instance.if_contains("state");
    return state && (*state == boost::json::value("alive") || *state == boost::json::value("suspect"));
}

/// Names of the live instances where the version is not in force yet. Returns nothing if no router answered.
std::optional<boost::json::array> instancesBehind(const Options &options, std::uint64_t version)
{
    const auto status = OperatorClient(options.connection).call("GET", "/v1/operator/status");
    const auto *instances = status && status->is_object() ? status->get_object().if_contains("instances") : nullptr;
    if (!instances || !instances->is_array()) {
        return std::nullopt;
    }
    boost::json::array result;
    for (const auto &entry : instances->get_array()) {
        const auto *inForce = entry.is_object() ? entry.get_object().if_contains("config_version") : nullptr;
        const bool behind = !inForce || !inForce->is_number() || inForce->to_number<std::uint64_t>() < version;
        if (entry.is_object() && isLive(entry.get_object()) && behind) {
            const auto *name = entry.get_object().if_contains("instance");
            result.push_back(name ? *name : boost::json::value("?"));
        }
    }
    return result;
}

/// Waits until the version is in force on every live instance and adds the outcome to the document.
ExitCode waitUntilInForce(const Options &options, std::uint64_t version, boost::json::object &document)
{
    const auto deadline = std::chrono::steady_clock::now() + options.waitTimeout;
    std::optional<boost::json::array> behind;
    while (std::chrono::steady_clock::now() < deadline) {
        behind = instancesBehind(options, version);
        if (behind && behind->empty()) {
            document["in_force"] = true;
            return Success;
        }
        std::this_thread::sleep_for(StatusPollInterval);
    }
    document["in_force"] = false;
    document["lacking"] = behind ? boost::json::value(*behind) : boost::json::value("no router answered");
    return NotInForce;
}

/// Adds the changes from the stored declarations to the rejected edit.
void addConflictingChanges(const std::string &storedYaml,
                           const DeclarationsFile &localEdit,
                           boost::json::object &document)
{
    if (const auto stored = checkDeclarations(storedYaml, "store")) {
        document["changes"] = toJson(pomeloport::difference(stored->declarations, localEdit.declarations));
    }
}

} // namespace

ExitCode apply(const Options &options)
{
    const auto file = loadDeclarations(options.arguments[0]);
    if (!file) {
        return UsageError;
    }
    pomeloport::ConfigEdit edit{file->yaml, newEditToken(), {}};
    if (options.ifVersion != 0) {
        edit.ifVersion = options.ifVersion;
    }
    const auto done = StoreClient(options.connection).run(std::move(edit));
    auto exitCode = exitCodeOf(done.result);
    boost::json::object document{{"result", pomeloport::nameOf(done.result)}, {"version", done.version}};
    if (done.result == ApplyResult::Conflict) {
        addConflictingChanges(done.storedYaml, *file, document);
    } else if (exitCode == Success && options.wait) {
        exitCode = waitUntilInForce(options, done.version, document);
    }
    print(std::cout, document, options.output);
    return exitCode;
}

} // namespace pomeloctl

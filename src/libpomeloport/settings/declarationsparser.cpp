#include "pomeloport/settings.h"

#include <set>

namespace pomeloport
{

namespace
{

constexpr double MaximumWeight = 1e6;
constexpr std::uint64_t MaximumKvTokens = 1'000'000'000;
constexpr std::chrono::hours MaximumDeadline{24};
constexpr std::chrono::hours MaximumRetention{24 * 30};

/// Adds an error when a value that must be unique in its list has occurred before.
void requireUnique(SettingsReader &reader,
                   const std::string &key,
                   const std::string &value,
                   std::set<std::string> &seen)
{
    if (!value.empty() && !seen.insert(value).second) {
        reader.error(key, '"' + value + "\" stands twice");
    }
}

Organisation readOrganisation(SettingsReader &reader)
{
    Organisation organisation;
    organisation.name = reader.requiredText("name");
    organisation.token = reader.requiredText("token");
    organisation.shareWeight = reader.real("share_weight", organisation.shareWeight, 0.001, MaximumWeight);
    reader.finish();
    return organisation;
}

Intent readIntent(SettingsReader &reader)
{
    Intent intent;
    intent.name = reader.requiredText("name");
    intent.organisations = reader.texts("organisations");
    intent.kinds = reader.texts("kinds");
    intent.work.matchLabels = reader.labels("work");
    intent.engines.matchLabels = reader.labels("engines");
    intent.model = reader.text("model");
    intent.adapter = reader.text("adapter");
    intent.version = reader.text("version");
    intent.priority = reader.choice("priority", intent.priority);
    intent.worth = reader.real("worth", intent.worth, 0, MaximumWeight);
    if (intent.model.empty() && !(intent.adapter.empty() && intent.version.empty())) {
        reader.error("model", "is required with an adapter or a version");
    }
    reader.finish();
    return intent;
}

BackendServer readBackend(SettingsReader &reader)
{
    BackendServer server;
    server.name = reader.requiredText("name");
    server.kind = reader.choice("kind", server.kind);
    server.address = reader.address("address");
    server.region = reader.requiredText("region");
    server.failureDomain = reader.requiredText("failure_domain");
    server.labels = reader.labels("labels");
    server.kvTokens = reader.number("kv_tokens", 0, 1, MaximumKvTokens);
    server.checksFencing = reader.boolean("checks_fencing", false);
    server.load = reader.texts("load");
    if (server.kind == BackendKind::Engine && !reader.has("kv_tokens")) {
        reader.error("kv_tokens", "is required for an engine");
    }
    if (server.kind == BackendKind::Engine && !reader.has("checks_fencing")) {
        reader.error("checks_fencing", "is required for an engine: yes or no");
    }
    reader.finish();
    return server;
}

Objective readObjective(SettingsReader reader)
{
    Objective objective;
    objective.worthWeight = reader.real("worth_weight", objective.worthWeight, 0, MaximumWeight);
    objective.shortSlowdownWeight =
        reader.real("short_slowdown_weight", objective.shortSlowdownWeight, 0, MaximumWeight);
    objective.shortOnlyShare = reader.real("short_only_share", objective.shortOnlyShare, 0, 1);
    objective.shortPromptTokens = reader.number("short_prompt_tokens", objective.shortPromptTokens, 1, MaximumKvTokens);
    reader.finish();
    return objective;
}

ServiceLimits readLimits(SettingsReader reader)
{
    using std::chrono::milliseconds;
    ServiceLimits limits;
    const auto read = [&reader](const char *key, std::uint64_t fallback, std::int64_t minimum, milliseconds maximum) {
        return static_cast<std::uint64_t>(
            reader.duration(key, milliseconds(fallback), milliseconds(minimum), maximum).count());
    };
    limits.discoveryLifetimeMs =
        static_cast<std::uint32_t>(read("discovery_lifetime", limits.discoveryLifetimeMs, 1000, std::chrono::hours(1)));
    limits.keyRetentionMs = read("key_retention", limits.keyRetentionMs, 60'000, MaximumRetention);
    limits.defaultDeadlineMs =
        static_cast<std::uint32_t>(read("default_deadline", limits.defaultDeadlineMs, 100, MaximumDeadline));
    limits.maximumDeadlineMs =
        static_cast<std::uint32_t>(read("maximum_deadline", limits.maximumDeadlineMs, 100, MaximumDeadline));
    limits.weightLoadsPerMinute =
        static_cast<std::uint32_t>(reader.number("weight_loads_per_minute", limits.weightLoadsPerMinute, 1, 100'000));
    if (limits.defaultDeadlineMs > limits.maximumDeadlineMs) {
        reader.error("default_deadline", "must not exceed maximum_deadline");
    }
    reader.finish();
    return limits;
}

/// Adds an error for each organisation that an intent names but that is not declared.
void checkReferences(const Declarations &declarations, std::vector<SettingsReader> &intents)
{
    std::set<std::string> declared;
    for (const auto &organisation : declarations.organisations) {
        declared.insert(organisation.name);
    }
    for (std::size_t i = 0; i < intents.size(); ++i) {
        for (const auto &name : declarations.intents[i].organisations) {
            if (!declared.contains(name)) {
                intents[i].error("organisations", "no organisation is named \"" + name + '"');
            }
        }
    }
}

} // namespace

std::optional<Declarations> parseDeclarations(std::string_view yaml,
                                              const std::string &fileName,
                                              SettingsErrors &errors)
{
    const auto errorsBefore = errors.messages().size();
    auto reader = SettingsReader::parse(yaml, fileName, errors);
    if (!reader) {
        return std::nullopt;
    }
    Declarations declarations;
    std::set<std::string> organisationNames;
    std::set<std::string> tokens;
    for (auto &section : reader->sections("organisations")) {
        declarations.organisations.push_back(readOrganisation(section));
        requireUnique(section, "name", declarations.organisations.back().name, organisationNames);
        requireUnique(section, "token", declarations.organisations.back().token, tokens);
    }
    std::set<std::string> intentNames;
    auto intents = reader->sections("intents");
    for (auto &section : intents) {
        declarations.intents.push_back(readIntent(section));
        requireUnique(section, "name", declarations.intents.back().name, intentNames);
    }
    std::set<std::string> serverNames;
    std::set<std::string> addresses;
    for (auto &section : reader->sections("backends")) {
        declarations.backends.push_back(readBackend(section));
        requireUnique(section, "name", declarations.backends.back().name, serverNames);
        requireUnique(section, "address", declarations.backends.back().address, addresses);
    }
    declarations.objective = readObjective(reader->section("objective"));
    declarations.limits = readLimits(reader->section("limits"));
    checkReferences(declarations, intents);
    reader->finish();
    if (errors.messages().size() != errorsBefore) {
        return std::nullopt;
    }
    return declarations;
}

} // namespace pomeloport

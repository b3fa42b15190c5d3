#include "pomeloport/state/declarationsdiff.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace pomeloport
{

namespace
{

using Fields = std::map<std::string, std::string>;

std::string numberText(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end};
}

std::string listText(const std::vector<std::string> &texts)
{
    std::string result;
    for (const auto &text : texts) {
        result += (result.empty() ? "" : ",") + text;
    }
    return result;
}

std::string labelText(const Labels &labels)
{
    std::string result;
    for (const auto &[name, value] : labels) {
        result += (result.empty() ? "" : ",") + name + '=' + value;
    }
    return result;
}

std::string tokenDigest(const std::string &token)
{
    constexpr int Hexadecimal = 16;
    std::array<char, 32> buffer{};
    const auto digest = XXH64(token.data(), token.size(), 0);
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), digest, Hexadecimal);
    return "digest:" + std::string(buffer.data(), end);
}

void addOrganisation(Fields &fields, const Organisation &organisation)
{
    const auto path = "organisations/" + organisation.name + '/';
    fields[path + "token"] = tokenDigest(organisation.token);
    fields[path + "share_weight"] = numberText(organisation.shareWeight);
}

void addIntent(Fields &fields, const Intent &intent, std::size_t position)
{
    const auto path = "intents/" + intent.name + '/';
    fields[path + "position"] = std::to_string(position);
    fields[path + "organisations"] = listText(intent.organisations);
    fields[path + "kinds"] = listText(intent.kinds);
    fields[path + "work"] = labelText(intent.work.matchLabels);
    fields[path + "engines"] = labelText(intent.engines.matchLabels);
    fields[path + "model"] = intent.model;
    fields[path + "adapter"] = intent.adapter;
    fields[path + "version"] = intent.version;
    fields[path + "priority"] = nameOf(intent.priority);
    fields[path + "worth"] = numberText(intent.worth);
}

void addBackend(Fields &fields, const BackendServer &server)
{
    const auto path = "backends/" + server.name + '/';
    fields[path + "kind"] = nameOf(server.kind);
    fields[path + "address"] = server.address;
    fields[path + "region"] = server.region;
    fields[path + "failure_domain"] = server.failureDomain;
    fields[path + "labels"] = labelText(server.labels);
    fields[path + "kv_tokens"] = std::to_string(server.kvTokens);
    fields[path + "checks_fencing"] = server.checksFencing ? "yes" : "no";
    fields[path + "load"] = listText(server.load);
}

void addObjective(Fields &fields, const Objective &objective)
{
    fields["objective/worth_weight"] = numberText(objective.worthWeight);
    fields["objective/short_slowdown_weight"] = numberText(objective.shortSlowdownWeight);
    fields["objective/short_only_share"] = numberText(objective.shortOnlyShare);
    fields["objective/short_prompt_tokens"] = std::to_string(objective.shortPromptTokens);
}

void addLimits(Fields &fields, const ServiceLimits &limits)
{
    fields["limits/discovery_lifetime"] = std::to_string(limits.discoveryLifetimeMs) + "ms";
    fields["limits/key_retention"] = std::to_string(limits.keyRetentionMs) + "ms";
    fields["limits/default_deadline"] = std::to_string(limits.defaultDeadlineMs) + "ms";
    fields["limits/maximum_deadline"] = std::to_string(limits.maximumDeadlineMs) + "ms";
    fields["limits/weight_loads_per_minute"] = std::to_string(limits.weightLoadsPerMinute);
}

} // namespace

std::map<std::string, std::string> flatten(const Declarations &declarations)
{
    Fields fields;
    for (const auto &organisation : declarations.organisations) {
        addOrganisation(fields, organisation);
    }
    for (std::size_t i = 0; i < declarations.intents.size(); ++i) {
        addIntent(fields, declarations.intents[i], i + 1);
    }
    for (const auto &server : declarations.backends) {
        addBackend(fields, server);
    }
    addObjective(fields, declarations.objective);
    addLimits(fields, declarations.limits);
    std::erase_if(fields, [](const auto &field) { return field.second.empty(); });
    return fields;
}

std::vector<DeclarationChange> difference(const Declarations &before, const Declarations &after)
{
    const auto oldFields = flatten(before);
    auto newFields = flatten(after);
    std::map<std::string, DeclarationChange> changes;
    for (const auto &[path, value] : oldFields) {
        const auto found = newFields.find(path);
        const auto newValue = found == newFields.end() ? std::string() : found->second;
        if (newValue != value) {
            changes[path] = {path, value, newValue};
        }
        newFields.erase(path);
    }
    for (const auto &[path, value] : newFields) {
        changes[path] = {path, "", value};
    }
    std::vector<DeclarationChange> result;
    result.reserve(changes.size());
    for (auto &[path, change] : changes) {
        result.push_back(std::move(change));
    }
    return result;
}

} // namespace pomeloport

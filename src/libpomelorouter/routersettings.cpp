#include "pomelorouter/routersettings.h"

namespace pomelorouter
{

namespace
{

using namespace std::chrono_literals;
using pomeloport::SettingsReader;

void readHttp(SettingsReader reader, pomeloport::HttpLimits &limits)
{
    constexpr std::uint64_t Kibibyte = 1024;
    constexpr std::uint64_t Mebibyte = 1024 * Kibibyte;
    limits.headerBytes = reader.number("header_bytes", limits.headerBytes, Kibibyte, Mebibyte);
    limits.bodyBytes = reader.number("body_bytes", limits.bodyBytes, Kibibyte, 256 * Mebibyte);
    limits.headerTimeout = reader.duration("header_timeout", limits.headerTimeout, 100ms, 60s);
    limits.idleTimeout = reader.duration("idle_timeout", limits.idleTimeout, 1s, 1h);
    reader.finish();
}

void readRequest(SettingsReader reader, RouterSettings &settings)
{
    constexpr std::uint64_t MaximumTokens = 10'000'000;
    auto &request = settings.request;
    request.maximumTokens = reader.number("maximum_tokens", request.maximumTokens, 1, MaximumTokens);
    request.defaultTokens = reader.number("default_tokens", request.defaultTokens, 1, request.maximumTokens);
    auto &flow = settings.flow;
    flow.maximumAttempts = static_cast<std::uint32_t>(reader.number("maximum_attempts", flow.maximumAttempts, 1, 100));
    flow.stallTimeout = reader.duration(
        "stall_timeout", std::chrono::duration_cast<std::chrono::milliseconds>(flow.stallTimeout), 100ms, 10min);
    settings.callerBufferBytes = reader.number("caller_buffer_bytes", settings.callerBufferBytes, 256, 1024UL * 1024);
    reader.finish();
}

void readMain(SettingsReader &reader, RouterSettings &settings)
{
    constexpr std::uint64_t MaximumThreads = 256;
    constexpr std::uint64_t MaximumRequests = 1'000'000;
    constexpr std::uint64_t MaximumOrganisations = 10'000;
    settings.instance = reader.requiredText("instance");
    settings.region = reader.requiredText("region");
    settings.failureDomain = reader.requiredText("failure_domain");
    settings.listen = reader.address("listen");
    settings.controller = reader.address("controller");
    settings.linkKey = reader.requiredText("shared_key");
    settings.platform = reader.address("platform");
    settings.platformTimeout = reader.duration("platform_timeout", settings.platformTimeout, 10ms, 60s);
    settings.operatorToken = reader.requiredText("operator_token");
    settings.logLevel = reader.text("log_level", settings.logLevel);
    settings.threads = reader.number("threads", settings.threads, 1, MaximumThreads);
    settings.maximumOpenRequests =
        reader.number("maximum_open_requests", settings.maximumOpenRequests, 1, MaximumRequests);
    settings.metricsOrganisations =
        reader.number("metrics_organisations", settings.metricsOrganisations, 1, MaximumOrganisations);
    settings.traceRequests = reader.number("trace_requests", settings.traceRequests, 1, MaximumRequests);
    settings.controllerGrace = reader.duration("controller_grace", settings.controllerGrace, 100ms, 1h);
    settings.drainPropagation = reader.duration("drain_propagation", settings.drainPropagation, 0ms, 10min);
    const auto drainLimit = reader.duration("drain_limit", 0ms, 0ms, 24h);
    if (drainLimit > 0ms) {
        settings.drainLimit = drainLimit;
    }
}

void checkInstanceName(SettingsReader &reader, const std::string &name)
{
    constexpr std::size_t MaximumNameLength = 64;
    const bool validCharacters =
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == std::string::npos;
    if (!validCharacters || name.size() > MaximumNameLength) {
        reader.error("instance", "expected up to 64 letters, digits, hyphens and underscores");
    }
}

} // namespace

std::optional<RouterSettings> loadRouterSettings(const std::string &fileName, pomeloport::SettingsErrors &errors)
{
    auto reader = SettingsReader::loadFile(fileName, errors);
    if (!reader) {
        return std::nullopt;
    }
    RouterSettings settings;
    readMain(*reader, settings);
    checkInstanceName(*reader, settings.instance);
    readHttp(reader->section("http"), settings.http);
    readRequest(reader->section("request"), settings);
    if (!settings.listen.empty() && (settings.listen == settings.controller || settings.listen == settings.platform)) {
        reader->error("listen", "expected an address other than those of the controller and the platform");
    }
    reader->finish();
    return errors.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

} // namespace pomelorouter

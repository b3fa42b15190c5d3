#include "controllersettings.h"

namespace pomelocontroller
{

using namespace std::chrono_literals;

std::optional<ControllerSettings> loadControllerSettings(const std::string &fileName,
                                                         pomeloport::SettingsErrors &errors)
{
    auto reader = pomeloport::SettingsReader::loadFile(fileName, errors);
    if (!reader) {
        return std::nullopt;
    }
    ControllerSettings settings;
    settings.instance = reader->requiredText("instance");
    settings.region = reader->requiredText("region");
    settings.failureDomain = reader->requiredText("failure_domain");
    settings.listen = reader->address("listen");
    settings.router = reader->address("router");
    settings.peers = reader->address("peers");
    settings.datagrams = reader->address("datagrams");
    settings.seeds = reader->addresses("seeds");
    settings.sharedKey = reader->requiredText("shared_key");
    settings.platform = reader->address("platform");
    settings.platformTimeout = reader->duration("platform_timeout", settings.platformTimeout, 10ms, 60s);
    settings.pollInterval = reader->duration("poll_interval", settings.pollInterval, 50ms, 60s);
    settings.pollTimeout = reader->duration("poll_timeout", settings.pollTimeout, 50ms, 60s);
    settings.sweepInterval = reader->duration("sweep_interval", settings.sweepInterval, 100ms, 1h);
    settings.leaseDuration = reader->duration("lease_duration", settings.leaseDuration, 1s, 1h);
    settings.longestOrder = reader->duration("longest_order", settings.longestOrder, 1s, 1h);
    settings.logLevel = reader->text("log_level", settings.logLevel);
    if (!settings.listen.empty() && (settings.listen == settings.peers || settings.listen == settings.router)) {
        reader->error("listen", "expected an address other than those of peers and router");
    }
    reader->finish();
    return errors.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

} // namespace pomelocontroller

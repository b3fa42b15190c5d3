#include "allocations.h"
#include "scenarios.h"

#include "pomeloport/coordination/backendtable.h"
#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/settings.h"

#include <chrono>
#include <unordered_set>

namespace benchcontrol
{

using namespace pomelofake;
using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// Instances and engines of one region at the target.
constexpr std::size_t TargetRegions = 7;
constexpr std::size_t RegionInstances = 53;
constexpr std::size_t RegionEngines = 371;
constexpr std::size_t BlocksPerEngine = 4096;
constexpr double ChangesPerDay = 1'900;
constexpr double SecondsPerDay = 86'400;

/// A snapshot update as it waits to be sent, and the encoded form beside it.
std::size_t snapshotBytes(const Declarations &declarations, const BackendTable &backends)
{
    const auto before = allocatedBytes();
    link::SnapshotUpdate update;
    update.declarationsIncluded = true;
    update.snapshot.declarations = declarations;
    update.snapshot.backends = backends.views(Instant{1s});
    const auto encoded = encode(LinkMessage(update));
    return allocatedBytes() - before + encoded.capacity();
}

} // namespace

void measureMemory(const Options &options, Report &report)
{
    const Fleet region{RegionInstances, TargetRegions, RegionEngines / RegionInstances, 5500, 2600};
    const auto add = [&](const char *part, double value, std::optional<double> bound) {
        report.add({"controller_memory", 370, std::string("part=") + part, value, "B", bound});
    };
    double sum = 0;
    const auto take = [&](const char *part, std::size_t before) {
        const auto value = static_cast<double>(allocatedBytes() - before);
        sum += value;
        add(part, value, std::nullopt);
    };
    auto begin = allocatedBytes();
    const auto text = declarationsText(region, 1);
    take("declarations_text", begin);

    begin = allocatedBytes();
    SettingsErrors errors;
    const auto parseBegin = std::chrono::steady_clock::now();
    const auto declarations = parseDeclarations(text, "declarations", errors);
    const std::chrono::duration<double> parsing = std::chrono::steady_clock::now() - parseBegin;
    take("declarations", begin);
    const double share = parsing.count() * ChangesPerDay / SecondsPerDay;
    report.add({"control_core_share", 370, "part=parse_changes", share, "cores", std::nullopt});
    if (!declarations) {
        add("declarations_unusable", 1, 0);
        return;
    }
    begin = allocatedBytes();
    BackendTable backends({"entry-0", 1}, "region-0");
    backends.setDeclarations(*declarations);
    take("backend_table", begin);

    begin = allocatedBytes();
    std::vector<std::unordered_set<std::uint64_t>> cache(RegionEngines / RegionInstances);
    for (auto &blocks : cache) {
        for (std::uint64_t i = 0; i < BlocksPerEngine; ++i) {
            blocks.insert(i * 0x9e3779b97f4a7c15ULL);
        }
    }
    take("cached_blocks", begin);

    begin = allocatedBytes();
    Fleet small = region;
    small.regions = 1;
    small.organisations = 1;
    small.backends = 1;
    ControlNetwork network(networkSettings(small, 0, options.seed, SpreadPolicy::Random));
    bringUp(network, small);
    network.run(20s);
    const double plane = static_cast<double>(allocatedBytes() - begin) / static_cast<double>(RegionInstances);
    sum += plane;
    add("membership_and_reports", plane, std::nullopt);

    const auto snapshot = static_cast<double>(snapshotBytes(*declarations, backends));
    sum += snapshot;
    add("snapshot_in_flight", snapshot, std::nullopt);
    add("all", sum, ControlMemoryBytes);
}

} // namespace benchcontrol

#include "fleet.h"

#include <algorithm>

namespace benchcontrol
{

using namespace pomelofake;

std::vector<Fleet> allFleets()
{
    return {{9, 1, 2, 10, 19}, {90, 2, 7, 1300, 630}, {370, 7, 7, 5500, 2600}};
}

ControlNetworkSettings networkSettings(const Fleet &fleet,
                                       double loss,
                                       std::uint64_t seed,
                                       pomeloport::SpreadPolicy policy)
{
    ControlNetworkSettings settings;
    settings.regions = fleet.regions;
    settings.instances = fleet.nodes;
    settings.enginesPerInstance = fleet.enginesPerNode;
    settings.loss = loss;
    settings.seed = seed;
    settings.policy = policy;
    return settings;
}

std::string declarationsText(const Fleet &fleet, std::size_t edit)
{
    std::string text = "organisations:\n";
    for (std::size_t i = 0; i < fleet.organisations; ++i) {
        const auto number = std::to_string(i);
        const auto share = i == edit % fleet.organisations ? std::to_string(2 + edit) : "1";
        text += "  - {name: org-" + number + ", token: 0123456789abcdef0123456789" + number + ", share_weight: " + share
            + "}\n";
    }
    text += "intents:\n  - {name: questions, kinds: [lookup], model: yard, priority: interactive}\nbackends:\n";
    for (std::size_t i = 0; i < fleet.backends; ++i) {
        const auto number = std::to_string(i);
        text += "  - {name: engine-" + number + ", kind: engine, address: \"10.2." + std::to_string(i / 250) + '.'
            + std::to_string(i % 250) + ":8000\", region: region-" + std::to_string(i % fleet.regions)
            + ", failure_domain: domain-" + std::to_string(i % 3)
            + ", kv_tokens: 600000, checks_fencing: yes, load: [yard@1, ledger@1]}\n";
    }
    return text;
}

bool bringUp(ControlNetwork &network, const Fleet &fleet)
{
    using namespace std::chrono_literals;
    network.writeConfig(declarationsText(fleet, 0));
    network.startAll(1s);
    const auto ready = [&] {
        return std::ranges::all_of(network.nodes(),
                                   [](const auto &node) { return node.running && node.plane->config().admitting(); });
    };
    return network.runUntil(ready, 30s) && network.runUntil([&] { return network.agreed(); }, 60s);
}

} // namespace benchcontrol

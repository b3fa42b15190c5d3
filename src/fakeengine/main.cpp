#include "enginehost.h"
#include "pomelofake/program.h"
#include "pomeloport/lastreason.h"

#include <iostream>

/// A stand-in for a model engine, with the HTTP interface of protocol/enginemessages.h.
namespace
{

namespace po = boost::program_options;

constexpr auto Summary = "Usage: fake-engine --listen IP:PORT --name NAME [OPTIONS]\n"
                         "Serves a simulated model engine. POST /faults switches faults, GET /counts counts calls.\n"
                         "Exit codes: 0 stopped by a signal, 1 cannot listen, 2 bad command line.";

po::options_description optionsOf(pomelofake::EngineModelSettings &settings, fakeengine::HostFaults &faults)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("listen", po::value<std::string>()->required(), "numeric address to serve on, IP:PORT");
    add("name", po::value(&settings.engine)->required(), "name of the engine");
    add("platform",
        po::value<std::string>()->default_value(""),
        "address of the platform: list of instances and weight store");
    add("kv-tokens", po::value(&settings.kvTokens)->default_value(settings.kvTokens), "KV memory in tokens");
    add("prefix-tokens",
        po::value(&settings.prefixCacheTokens)->default_value(settings.prefixCacheTokens),
        "memory of the prefix cache in tokens");
    add("prefill-rate",
        po::value(&settings.prefillTokensPerSecond)->default_value(settings.prefillTokensPerSecond),
        "prompt tokens computed a second at an empty context");
    add("decode-step-ms", po::value<double>(), "duration of a decode step with one stream, default 20");
    add("max-queued",
        po::value(&settings.maximumQueued)->default_value(settings.maximumQueued),
        "streams waiting at a time, at most");
    add("load", po::value(&settings.loaded)->multitoken(), "models, adapters and versions in memory at the start");
    add("load-time-ms", po::value<std::uint64_t>(), "time to bring one more item into memory, default 2000");
    add("ignore-fencing", po::bool_switch(), "accept orders that carry an old fencing number");
    add("lag-ms", po::value<std::uint64_t>(), "age of load reports and cache events, default 300");
    add("lose-events", po::value(&faults.loseEvents)->default_value(0), "share of cache events lost, 0 to 1");
    return options;
}

void apply(const po::variables_map &values, pomelofake::EngineModelSettings &settings, fakeengine::HostFaults &faults)
{
    constexpr double MillisecondsPerSecond = 1000;
    settings.epoch = pomelofake::wallMilliseconds();
    settings.checksFencing = !values["ignore-fencing"].as<bool>();
    if (values.contains("decode-step-ms")) {
        settings.decodeStep = pomeloport::fromSeconds(values["decode-step-ms"].as<double>() / MillisecondsPerSecond);
    }
    if (values.contains("load-time-ms")) {
        settings.loadTime = std::chrono::milliseconds(values["load-time-ms"].as<std::uint64_t>());
    }
    if (values.contains("lag-ms")) {
        faults.lag = std::chrono::milliseconds(values["lag-ms"].as<std::uint64_t>());
    }
}

} // namespace

int main(int argc, char **argv)
{
    pomelofake::EngineModelSettings settings;
    fakeengine::HostFaults faults;
    const auto line = pomelofake::parseCommandLine(argc, argv, Summary, optionsOf(settings, faults));
    if (!line.values) {
        return line.exitCode;
    }
    apply(*line.values, settings, faults);
    const auto name = settings.engine;
    const auto platform = (*line.values)["platform"].as<std::string>();
    settings.waitsForWeights = !platform.empty();
    boost::asio::io_context context(1);
    fakeengine::EngineHost host(context, std::move(settings), faults, platform);
    const auto server = pomeloport::HttpServer::listen(context,
                                                       (*line.values)["listen"].as<std::string>(),
                                                       {},
                                                       [&host](const auto &exchange) { host.handle(exchange); });
    if (!server) {
        std::cerr << pomeloport::lastReason() << '\n';
        return 1;
    }
    pomelofake::registerAtPlatform(context,
                                   {(*line.values)["platform"].as<std::string>(), name, server->address(), "engine"});
    pomelofake::runUntilSignal(context);
    return 0;
}

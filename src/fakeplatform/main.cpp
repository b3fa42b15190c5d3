#include "platformhost.h"
#include "pomelofake/program.h"
#include "pomeloport/lastreason.h"

#include <iostream>

/// A stand-in for the platform: object store, instance list and weight store.
namespace
{

namespace po = boost::program_options;

constexpr auto Summary = "Usage: fake-platform --listen IP:PORT [OPTIONS]\n"
                         "Serves a simulated platform. POST /faults switches faults, GET /counts counts calls.\n"
                         "Exit codes: 0 stopped by a signal, 1 cannot listen, 2 bad command line.";

po::options_description optionsOf(pomelofake::PlatformModelSettings &settings)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("listen", po::value<std::string>()->required(), "numeric address to serve on, IP:PORT");
    add("writes-per-second",
        po::value(&settings.writesPerSecond)->default_value(settings.writesPerSecond),
        "rate limit of writes");
    add("reads-per-second",
        po::value(&settings.readsPerSecond)->default_value(settings.readsPerSecond),
        "rate limit of reads");
    add("weight-loads-per-minute",
        po::value(&settings.weightLoadsPerMinute)->default_value(settings.weightLoadsPerMinute),
        "rate limit of the weight store");
    add("list-lag-ms", po::value<std::uint64_t>()->default_value(2000), "age of the instance list as read");
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    pomelofake::PlatformModelSettings settings;
    const auto line = pomelofake::parseCommandLine(argc, argv, Summary, optionsOf(settings));
    if (!line.values) {
        return line.exitCode;
    }
    settings.instanceListLag = std::chrono::milliseconds((*line.values)["list-lag-ms"].as<std::uint64_t>());
    boost::asio::io_context context(1);
    fakeplatform::PlatformHost host(context, settings);
    const auto server = pomeloport::HttpServer::listen(context,
                                                       (*line.values)["listen"].as<std::string>(),
                                                       {},
                                                       [&host](const auto &exchange) { host.handle(exchange); });
    if (!server) {
        std::cerr << pomeloport::lastReason() << '\n';
        return 1;
    }
    pomelofake::runUntilSignal(context);
    return 0;
}

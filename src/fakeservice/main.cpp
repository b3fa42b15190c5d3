#include "pomelofake/program.h"
#include "pomeloport/lastreason.h"
#include "servicehost.h"

#include <iostream>

/// A stand-in for a plain service that counts how often each action ran.
namespace
{

namespace po = boost::program_options;

constexpr auto Summary = "Usage: fake-service --listen IP:PORT --name NAME [OPTIONS]\n"
                         "Serves a simulated plain service. GET /runs counts runs by action key, POST /faults switches "
                         "faults.\n"
                         "Exit codes: 0 stopped by a signal, 1 cannot listen, 2 bad command line.";

po::options_description optionsOf(fakeservice::ServiceSettings &settings)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("listen", po::value<std::string>()->required(), "numeric address to serve on, IP:PORT");
    add("name", po::value(&settings.name)->required(), "name of the service");
    add("platform", po::value<std::string>()->default_value(""), "address of the platform to register at");
    add("service-time-ms", po::value<std::uint64_t>()->default_value(20), "time that a call takes");
    add("max-running",
        po::value(&settings.maximumRunning)->default_value(settings.maximumRunning),
        "calls under way at a time, at most");
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    fakeservice::ServiceSettings settings;
    const auto line = pomelofake::parseCommandLine(argc, argv, Summary, optionsOf(settings));
    if (!line.values) {
        return line.exitCode;
    }
    settings.serviceTime = std::chrono::milliseconds((*line.values)["service-time-ms"].as<std::uint64_t>());
    boost::asio::io_context context(1);
    fakeservice::ServiceHost host(context, settings);
    const auto server = pomeloport::HttpServer::listen(context,
                                                       (*line.values)["listen"].as<std::string>(),
                                                       {},
                                                       [&host](const auto &exchange) { host.handle(exchange); });
    if (!server) {
        std::cerr << pomeloport::lastReason() << '\n';
        return 1;
    }
    pomelofake::registerAtPlatform(
        context, {(*line.values)["platform"].as<std::string>(), settings.name, server->address(), "service"});
    pomelofake::runUntilSignal(context);
    return 0;
}

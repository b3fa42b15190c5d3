#include "pomelofake/program.h"

#include "pomeloport/transport/httpclient.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>
#include <memory>

namespace pomelofake
{

namespace po = boost::program_options;

namespace
{

constexpr auto RegistrationRetryDelay = std::chrono::seconds(1);
constexpr unsigned HttpOk = 200;

/// Repeats the registration until the platform has taken it; keeps itself alive by shared ownership.
class Registrar : public std::enable_shared_from_this<Registrar>
{
public:
    Registrar(boost::asio::io_context &context, const Registration &registration)
        : m_client(context)
        , m_timer(context)
        , m_platform(registration.platform)
        , m_body(serialize(boost::json::value{{"name", registration.name},
                                              {"address", registration.address},
                                              {"kind", registration.kind},
                                              {"state", registration.state}}))
    {
    }

    void start()
    {
        auto self = shared_from_this();
        m_client.send({m_platform, "POST", "/v1/instances", m_body, {}},
                      [self](const std::optional<pomeloport::HttpReply> &reply, bool /*sent*/) {
                          if (!reply || reply->status != HttpOk) {
                              self->startLater();
                          }
                      });
    }

private:
    void startLater()
    {
        m_timer.expires_after(RegistrationRetryDelay);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->start();
            }
        });
    }

    pomeloport::HttpClient m_client;
    boost::asio::steady_timer m_timer;
    std::string m_platform;
    std::string m_body;
};

} // namespace

CommandLine parseCommandLine(int argc,
                             const char *const *argv,
                             const std::string &summary,
                             po::options_description options)
{
    options.add_options()("help,h", "print this help and exit");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.contains("help")) {
            std::cout << summary << "\n\n" << options;
            return {std::nullopt, 0};
        }
        po::notify(values);
        return {std::move(values), 0};
    } catch (const po::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return {std::nullopt, UsageExitCode};
    }
}

void runUntilSignal(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code & /*error*/, int /*signal*/) { context.stop(); });
    context.run();
}

void registerAtPlatform(boost::asio::io_context &context, const Registration &registration)
{
    if (!registration.platform.empty()) {
        std::make_shared<Registrar>(context, registration)->start();
    }
}

} // namespace pomelofake

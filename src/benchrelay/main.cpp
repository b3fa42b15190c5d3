#include "allocations.h"
#include "callers.h"
#include "upstream.h"
#include "worker.h"

#include "pomelorouter/router.h"

#include "pomeloport/logging.h"
#include "pomeloport/protocol/enginemessages.h"

#include <boost/program_options.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>

/// The program bench-relay: what the router adds between callers and engines.
namespace benchrelay
{

namespace
{

namespace po = boost::program_options;
using namespace pomeloport;
using namespace std::chrono_literals;

constexpr double TokensPerSecondAim = 100'000;
constexpr double BytesPerStreamAim = 16 * 1024;
constexpr std::size_t OpenStreamsAim = 10'000;
constexpr std::uint64_t PromptBytes = 4096;
/// Sockets that one stream takes in this process: of the caller, two of the router, and of the engine.
constexpr std::size_t FilesPerStream = 4;
constexpr std::size_t FilesReserved = 200;
constexpr auto Patience = 120s;

struct Options
{
    std::string network = "127.42";
    std::size_t streams = 1000;
    /// 520,000 tokens for 2,100 requests a second, the peak of the target.
    std::uint64_t tokens = 248;
    std::size_t openStreams = OpenStreamsAim;
    std::size_t samples = 300;
};

/// What a figure is held against.
enum class BoundKind {
    /// Reported only.
    None,
    /// Failures must not exceed it.
    AtMost,
    /// The stated aims, printed as met or missed.
    AimAtMost,
    AimAtLeast,
};

std::string_view verdictOf(double value, BoundKind kind, double bound)
{
    switch (kind) {
    case BoundKind::None:
        return "info";
    case BoundKind::AtMost:
        return value <= bound ? "pass" : "fail";
    case BoundKind::AimAtMost:
        return value <= bound ? "aim_met" : "aim_missed";
    case BoundKind::AimAtLeast:
        return value >= bound ? "aim_met" : "aim_missed";
    }
    return "info";
}

/// Prints one result and returns whether it holds; a missed aim is no failure.
bool report(const char *metric, double value, BoundKind kind = BoundKind::None, double bound = 0)
{
    const auto verdict = verdictOf(value, kind, bound);
    std::printf("metric=%s value=%.6g bound=", metric, value);
    if (kind == BoundKind::None) {
        std::printf("none");
    } else {
        std::printf("%s%.6g", kind == BoundKind::AimAtLeast ? ">=" : "<=", bound);
    }
    std::printf(" verdict=%s\n", std::string(verdict).c_str());
    std::fflush(stdout);
    return verdict != "fail";
}

std::size_t raiseFileLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Callers, one router and one engine, each on a thread of its own.
class Bench
{
public:
    explicit Bench(const Options &options)
        : m_options(options)
        , m_upstream(m_upstreamWorker.context(), options.network + ".1.1:0")
        , m_callers(m_callerWorker.context())
    {
        pomelorouter::RouterSettings settings;
        settings.instance = "bench";
        settings.listen = options.network + ".1.2:0";
        settings.maximumOpenRequests = 1'000'000;
        settings.flow.stallTimeout = Patience;
        m_router = pomelorouter::Router::start(m_routerWorker.context(), settings, 1);
        if (m_router) {
            m_router->publish(snapshot());
        }
    }

    ~Bench()
    {
        m_callerWorker.stop();
        m_routerWorker.stop();
        m_upstreamWorker.stop();
    }

    bool ready() const
    {
        return m_router && !m_upstream.address().empty();
    }

    /// Whether no stream failed.
    bool passed() const
    {
        return m_passed;
    }

    /// Tokens relayed in a second of the router's processor time.
    void measureTokens(const char *metric, std::chrono::milliseconds step, BoundKind kind)
    {
        setPlan({m_options.tokens, 0ms, step, 0});
        const auto before = results();
        const auto used = m_routerWorker.processorSeconds();
        start(routerPlan(), m_options.streams, 200us);
        const auto after = waitFor(before.whole + before.failed + m_options.streams, &Bench::endedCount);
        const double tokens = static_cast<double>((after.whole - before.whole) * m_options.tokens);
        report(metric, tokens / (m_routerWorker.processorSeconds() - used), kind, TokensPerSecondAim);
        reportFailures(after.failed - before.failed);
    }

    /// Time to the first token, directly and through the router.
    void measureFirstToken()
    {
        setPlan({1, 20ms, 0ms, 0});
        const auto direct = medianFirstToken(directPlan());
        const auto routed = medianFirstToken(routerPlan());
        report("first_token_direct_us", direct);
        report("first_token_routed_us", routed);
        report("first_token_added_us", routed - direct);
        report("first_token_ratio", routed / direct);
    }

    /// Memory and number of streams that are open at the same time.
    void measureOpenStreams(std::size_t fileLimit)
    {
        const auto possible = (fileLimit - FilesReserved) / FilesPerStream;
        const auto count = std::min(m_options.openStreams, possible);
        setPlan({2, 0ms, 0ms, 1});
        const auto before = results();
        const auto heapBefore = countedBytes();
        const auto residentBefore = residentBytes();
        start(routerPlan(), count, 200us);
        waitFor(before.started + count, &Bench::startedCount);
        std::this_thread::sleep_for(200ms);
        const auto open = static_cast<double>(m_router->openRequests());
        const auto heap = static_cast<double>(countedBytes() - heapBefore);
        const auto resident = residentBytes() - residentBefore;
        m_upstreamWorker.run([this] { m_upstream.releaseHeld(); });
        const auto after = waitFor(before.whole + before.failed + count, &Bench::endedCount);
        std::printf("# file limit %zu allows %zu streams with both ends in this process\n", fileLimit, possible);
        report("open_streams", open, BoundKind::AimAtLeast, static_cast<double>(OpenStreamsAim));
        report("router_heap_bytes_per_open_stream", heap / open, BoundKind::AimAtMost, BytesPerStreamAim);
        report("resident_bytes_per_open_stream_with_both_ends", resident / open);
        reportFailures(after.failed - before.failed);
    }

private:
    std::shared_ptr<const Snapshot> snapshot() const
    {
        auto result = std::make_shared<Snapshot>();
        result->self = {"bench", 1};
        result->configVersion = 1;
        result->admitting = true;
        result->declarations.organisations = {{"bench", "bench-token", 1}};
        result->declarations.intents = {{"ask", {}, {"ask"}, {}, {}, "model", "", ""}};
        BackendView engine;
        engine.server.name = "engine";
        engine.server.address = m_upstream.address();
        engine.server.kvTokens = 1ULL << 40U;
        engine.server.load = {"model"};
        engine.report.engine = "engine";
        engine.report.kvTokensTotal = engine.server.kvTokens;
        engine.report.prefillTokensPerSecond = 1e9;
        engine.report.loaded = {"model"};
        result->backends = {engine};
        return result;
    }

    static std::string httpRequest(const std::string &address, const std::string &path, const std::string &body)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: " + address
            + "\r\nAuthorization: Bearer bench-token\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    CallerPlan routerPlan() const
    {
        const auto body = R"({"kind":"ask","stream":true,"deadline_ms":600000,"max_tokens":)"
            + std::to_string(m_options.tokens) + R"(,"prompt":")" + std::string(PromptBytes, 'p') + "\"}";
        return {m_router->address(), httpRequest(m_router->address(), "/v1/requests", body), "event: end"};
    }

    CallerPlan directPlan() const
    {
        GenerateCall call;
        call.stream = {{"direct", 1}, 1, 1};
        call.model = "model";
        call.maxTokens = m_options.tokens;
        call.prompt = std::string(PromptBytes, 'p');
        return {m_upstream.address(), httpRequest(m_upstream.address(), "/v1/generate", encode(call)), "\"end\":"};
    }

    double medianFirstToken(const CallerPlan &plan)
    {
        const auto before = results();
        m_callerWorker.run([&] { m_callers.startSequence(plan, m_options.samples); });
        auto times = waitFor(before.whole + before.failed + m_options.samples, &Bench::endedCount).firstToken;
        times.erase(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(before.firstToken.size()));
        std::ranges::sort(times);
        return times.empty() ? 0 : static_cast<double>(times[times.size() / 2].count()) / 1e3;
    }

    void setPlan(const UpstreamPlan &plan)
    {
        m_upstreamWorker.run([&] { m_upstream.setPlan(plan); });
    }

    void start(const CallerPlan &plan, std::size_t count, std::chrono::microseconds interval)
    {
        m_callerWorker.run([&] { m_callers.start(plan, count, interval); });
    }

    CallerResults results()
    {
        CallerResults copy;
        m_callerWorker.run([&] { copy = m_callers.results(); });
        return copy;
    }

    static std::size_t endedCount(const CallerResults &results)
    {
        return results.whole + results.failed;
    }

    static std::size_t startedCount(const CallerResults &results)
    {
        return results.started + results.failed;
    }

    CallerResults waitFor(std::size_t count, std::size_t (*counted)(const CallerResults &))
    {
        const auto until = std::chrono::steady_clock::now() + Patience;
        auto now = results();
        while (counted(now) < count && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(20ms);
            now = results();
        }
        return now;
    }

    void reportFailures(std::size_t failed)
    {
        m_passed = report("failed_streams", static_cast<double>(failed), BoundKind::AtMost, 0) && m_passed;
    }

    Options m_options;
    Worker m_callerWorker;
    Worker m_routerWorker{countAllocationsOfThisThread};
    Worker m_upstreamWorker;
    Upstream m_upstream;
    Callers m_callers;
    std::shared_ptr<pomelorouter::Router> m_router;
    bool m_passed = true;
};

std::optional<Options> parseOptions(int argc, char **argv, int &exitCode)
{
    Options options;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "show this help");
    add("version", "show the version");
    add("network",
        po::value(&options.network)->default_value(options.network),
        "first two parts of loopback addresses");
    add("streams", po::value(&options.streams)->default_value(options.streams), "streams of the token measurement");
    add("tokens", po::value(&options.tokens)->default_value(options.tokens), "tokens of each of these streams");
    add("open-streams", po::value(&options.openStreams)->default_value(options.openStreams), "streams held open");
    add("samples", po::value(&options.samples)->default_value(options.samples), "requests for the first token");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "bench-relay: " << error.what() << "; see bench-relay --help\n";
        exitCode = 2;
        return std::nullopt;
    }
    if (values.contains("help") || values.contains("version")) {
        exitCode = 0;
        values.contains("help") ? std::cout << "Usage: bench-relay [options]\n\nMeasures what the router adds between "
                                               "callers and engines, all in one process.\nPrints one line a metric; "
                                               "exit code 0 when no stream failed, 1 otherwise, 2 wrong usage.\n\n"
                                            << description
                                : std::cout << "bench-relay 0.1.0\n";
        return std::nullopt;
    }
    return options;
}

int run(const Options &options)
{
    const auto fileLimit = raiseFileLimit();
    Bench bench(options);
    if (!bench.ready()) {
        std::cerr << "bench-relay: cannot listen on " << options.network << ".1.1 and .1.2\n";
        return 1;
    }
    bench.measureFirstToken();
    bench.measureTokens("tokens_per_router_core_second_paced", 20ms, BoundKind::AimAtLeast);
    bench.measureTokens("tokens_per_router_core_second_unpaced", 0ms, BoundKind::None);
    bench.measureOpenStreams(fileLimit);
    return bench.passed() ? 0 : 1;
}

} // namespace

} // namespace benchrelay

int main(int argc, char **argv)
{
    pomeloport::startLogging("bench-relay", "error");
    int exitCode = 0;
    const auto options = benchrelay::parseOptions(argc, argv, exitCode);
    return options ? benchrelay::run(*options) : exitCode;
}

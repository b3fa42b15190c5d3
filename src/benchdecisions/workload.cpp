#include "workload.h"

#include "pomeloport/protocol/enginemessages.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <xxhash.h>

namespace benchdecisions
{

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr double LongestPromptTokens = 990'000;
// A few organisations are large.
constexpr std::array<double, 10> OrganisationShares{0.30, 0.20, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02};
constexpr std::size_t DocumentsPerOrganisation = 12;
constexpr double DocumentPart = 0.8;

// One class of requests: how often, how long, how urgent and of what worth.
struct RequestKind
{
    const char *name;
    double share;
    double shortestPrompt;
    double longestPrompt;
    double answerTokens;
    Duration deadline;
    double worth;
    IntentPriority priority;
    // How often the prompt starts with a document that others start with as well.
    double sharedDocument;
};

constexpr std::array<RequestKind, 5> Kinds{{
    {"question", 0.66, 1'000, 8'192, 160, 20s, 1, IntentPriority::Interactive, 0.5},
    {"booking", 0.12, 1'000, 4'000, 100, 20s, 3, IntentPriority::Interactive, 0.5},
    {"summary", 0.16, 8'200, 32'768, 400, 45s, 2, IntentPriority::Standard, 0.5},
    {"history", 0.04, 32'800, 99'000, 500, 150s, 4, IntentPriority::Standard, 0.3},
    {"review", 0.02, 100'001, LongestPromptTokens, 600, 900s, 30, IntentPriority::Background, 0.2},
}};

// Prompts above 100,000 tokens thin out as a power law up to the longest.
double reviewTokens(double uniform)
{
    constexpr double Exponent = 1.3;
    constexpr double Shortest = 100'001;
    const auto least = std::pow(Shortest / LongestPromptTokens, Exponent);
    return Shortest / std::pow(least + uniform * (1 - least), 1 / Exponent);
}

double logUniform(double low, double high, double uniform)
{
    return low * std::pow(high / low, uniform);
}

std::vector<std::uint64_t> blocksOf(std::uint64_t document, std::uint64_t tokens)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t digest = document;
    for (std::uint64_t block = 0; block < tokens / PrefixBlockTokens; ++block) {
        digest = XXH64(&block, sizeof(block), digest);
        blocks.push_back(digest);
    }
    return blocks;
}

// Draws every value of a request from its own generator, so that requests do not influence each other.
class RequestMaker
{
public:
    RequestMaker(const Deployment &deployment, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
    {
    }

    TraceRequest make(Instant arrival, const RequestKind *forced)
    {
        const auto &kind = forced == nullptr ? drawKind() : *forced;
        TraceRequest request;
        request.router = m_random() % m_deployment.routers;
        auto &spec = request.spec;
        const auto organisation = drawOrganisation();
        spec.organisation = "org-" + std::to_string(organisation);
        spec.kind = kind.name;
        spec.intent = kind.name;
        spec.model = "reader";
        spec.priority = kind.priority;
        spec.arrival = arrival;
        spec.deadline = arrival + kind.deadline;
        spec.worth = kind.worth * (0.5 + uniform());
        drawPrompt(spec, kind, organisation);
        spec.maxTokens =
            std::max<std::uint64_t>(8, static_cast<std::uint64_t>(kind.answerTokens * (0.4 + 1.2 * uniform())));
        return request;
    }

    static const RequestKind &review()
    {
        return Kinds.back();
    }

private:
    double uniform()
    {
        return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
    }

    const RequestKind &drawKind()
    {
        auto draw = uniform();
        for (const auto &kind : Kinds) {
            draw -= kind.share;
            if (draw < 0) {
                return kind;
            }
        }
        return Kinds.front();
    }

    std::size_t drawOrganisation()
    {
        auto draw = uniform();
        for (std::size_t index = 0; index < OrganisationShares.size(); ++index) {
            draw -= OrganisationShares.at(index);
            if (draw < 0) {
                return index;
            }
        }
        return 0;
    }

    void drawPrompt(RequestSpec &spec, const RequestKind &kind, std::size_t organisation)
    {
        const bool isReview = &kind == &review();
        const auto document = static_cast<std::uint64_t>(uniform() * uniform() * DocumentsPerOrganisation);
        const bool shared = uniform() < kind.sharedDocument;
        std::mt19937_64 documentRandom(1 + document + 100 * organisation
                                       + 10'000 * static_cast<std::uint64_t>(kind.longestPrompt));
        const auto fixed = static_cast<double>(documentRandom() >> 11U) * 0x1.0p-53;
        const auto draw = shared ? fixed : uniform();
        const auto tokens = isReview ? reviewTokens(draw) : logUniform(kind.shortestPrompt, kind.longestPrompt, draw);
        spec.promptTokens = static_cast<std::uint64_t>(std::clamp(tokens, kind.shortestPrompt, kind.longestPrompt));
        spec.promptDigest = m_random();
        if (shared) {
            const auto documentId = documentRandom();
            spec.prefixBlocks = blocksOf(documentId, static_cast<std::uint64_t>(DocumentPart * tokens));
        }
    }

    const Deployment &m_deployment;
    std::mt19937_64 m_random;
};

} // namespace

std::vector<Deployment> deployments()
{
    Deployment clipback;
    clipback.name = "clipback";
    clipback.engines = 16;
    clipback.networkDelay = 500us;
    clipback.objective.worthWeight = 1;
    clipback.objective.shortSlowdownWeight = 0.25;
    clipback.objective.shortOnlyShare = 0.125;
    Deployment kandy;
    kandy.name = "kandy";
    kandy.engines = 20;
    kandy.networkDelay = 1ms;
    kandy.objective.worthWeight = 0.25;
    kandy.objective.shortSlowdownWeight = 1;
    kandy.objective.shortOnlyShare = 0.4;
    return {clipback, kandy};
}

Duration lengthOf(const Scenario &scenario)
{
    Duration total{};
    for (const auto &phase : scenario.phases) {
        total += phase.length;
    }
    return total;
}

Trace makeTrace(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed)
{
    Trace trace;
    std::mt19937_64 arrivals(seed);
    std::exponential_distribution<double> gap(1.0);
    std::uint64_t number = 0;
    Instant begin{};
    for (std::size_t index = 0; index < scenario.phases.size(); ++index) {
        const auto &phase = scenario.phases[index];
        const auto rate = phase.load * RequestsPerEngineSecond * static_cast<double>(deployment.engines);
        auto time = begin + fromSeconds(gap(arrivals) / rate);
        while (time < begin + phase.length) {
            auto request = RequestMaker(deployment, seed + ++number * 7919).make(time, nullptr);
            request.inCrest = index >= scenario.firstCrestPhase && index < scenario.endCrestPhase;
            const bool isLong = promptClass(request.spec.promptTokens) >= PromptClass::Long;
            if (scenario.longPrompts || !isLong) {
                trace.push_back(std::move(request));
            }
            time += fromSeconds(gap(arrivals) / rate);
        }
        begin += phase.length;
    }
    for (std::size_t extra = 0; extra < scenario.longBurst; ++extra) {
        const auto time = Instant{} + lengthOf(scenario) / 2 + extra * Duration(5s) / scenario.longBurst;
        trace.push_back(RequestMaker(deployment, seed + ++number * 7919).make(time, &RequestMaker::review()));
    }
    std::ranges::stable_sort(trace, {}, [](const TraceRequest &request) { return request.spec.arrival; });
    return trace;
}

} // namespace benchdecisions

#include "measures.h"

#include "pomeloport/coordination/costmodel.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace benchdecisions
{

using namespace pomeloport;

namespace
{

constexpr double Never = std::numeric_limits<double>::infinity();
// Time of a full prefill step with and without decoding, in the engine model's default settings.
constexpr double DecodingFactor = (0.041 + 0.024) / 0.041;
constexpr double ModelPrefillRate = 100'000;
constexpr double ModelHalfSpeedContext = 500'000;

double at(const std::vector<double> &sorted, double part)
{
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

double floorOf(const RequestSpec &spec)
{
    pomelofake::EngineModelSettings settings;
    settings.kvTokens = kvTokensOf(spec);
    settings.emission = pomelofake::EmissionMode::FirstAndLast;
    settings.loaded = {spec.model};
    pomelofake::EngineModel engine(settings);
    GenerateCall call;
    call.stream.owner.instance = "entry-0";
    call.model = spec.model;
    call.promptTokens = spec.promptTokens;
    call.maxTokens = spec.maxTokens;
    engine.submit(call, Instant{});
    while (true) {
        const auto next = engine.nextEventAt();
        const auto outputs = engine.advance(next);
        if (!outputs.empty()) {
            return seconds(next - Instant{});
        }
    }
}

} // namespace

Percentiles percentilesOf(std::vector<double> samples)
{
    if (samples.empty()) {
        return {};
    }
    std::ranges::sort(samples);
    return {at(samples, 0.5), at(samples, 0.95), at(samples, 0.99), samples.size()};
}

Figures figuresOf(const Trace &trace, const RunResult &result)
{
    Figures figures;
    std::array<std::vector<double>, PromptClasses> firstToken;
    std::vector<double> all;
    std::vector<double> between;
    std::size_t attempts = 0;
    std::size_t attempted = 0;
    for (std::size_t index = 0; index < trace.size(); ++index) {
        const auto &spec = trace[index].spec;
        const auto &outcome = result.outcomes[index];
        const bool answered = outcome.endedAt && *outcome.endedAt <= spec.deadline;
        const bool review = promptClass(spec.promptTokens) == PromptClass::Huge;
        ++figures.requests;
        figures.worthOffered += trace[index].inCrest ? spec.worth : 0;
        attempts += outcome.attempts;
        attempted += outcome.attempts > 0 ? 1 : 0;
        figures.late += outcome.closedAt > spec.deadline ? 1 : 0;
        if (outcome.failure) {
            figures.notRunThatRan += outcome.failure->verdict == Verdict::NotRun && outcome.ran ? 1 : 0;
        }
        if (!outcome.admitted) {
            ++figures.refused;
            continue;
        }
        ++figures.admitted;
        figures.reviewsAdmitted += review ? 1 : 0;
        const auto first = outcome.firstChunkAt ? seconds(*outcome.firstChunkAt - spec.arrival) : Never;
        firstToken.at(static_cast<std::size_t>(promptClass(spec.promptTokens))).push_back(first);
        all.push_back(first);
        if (!answered) {
            ++figures.failedAfterAdmission;
            continue;
        }
        ++figures.answered;
        figures.reviewsAnswered += review ? 1 : 0;
        figures.worthAnswered += spec.worth;
        figures.worthAtCrest += trace[index].inCrest ? spec.worth : 0;
        between.push_back(seconds(outcome.chunkInterval));
    }
    for (std::size_t index = 0; index < PromptClasses; ++index) {
        figures.firstToken.at(index) = percentilesOf(std::move(firstToken.at(index)));
    }
    figures.firstTokenOfAll = percentilesOf(std::move(all));
    figures.betweenTokens = percentilesOf(std::move(between));
    figures.attemptsPerRequest =
        static_cast<double>(attempts) / static_cast<double>(std::max<std::size_t>(1, attempted));
    return figures;
}

Floors floorsOf(const Trace &trace)
{
    std::array<std::vector<double>, PromptClasses> floors;
    std::vector<double> all;
    for (const auto &request : trace) {
        const auto floor = floorOf(request.spec);
        floors.at(static_cast<std::size_t>(promptClass(request.spec.promptTokens))).push_back(floor);
        all.push_back(floor);
    }
    Floors result;
    for (std::size_t index = 0; index < PromptClasses; ++index) {
        result.byClass.at(index) = percentilesOf(std::move(floors.at(index)));
    }
    result.all = percentilesOf(std::move(all));
    return result;
}

double offeredUtilisation(const Deployment &deployment, const Scenario &scenario, const Trace &trace, bool crestOnly)
{
    double work = 0;
    for (const auto &request : trace) {
        if (!crestOnly || request.inCrest) {
            work += emptyContextTokens(0, request.spec.promptTokens, ModelHalfSpeedContext) / ModelPrefillRate;
        }
    }
    Duration length{};
    for (std::size_t index = 0; index < scenario.phases.size(); ++index) {
        const bool crest = index >= scenario.firstCrestPhase && index < scenario.endCrestPhase;
        length += !crestOnly || crest ? scenario.phases[index].length : Duration::zero();
    }
    return work * DecodingFactor / (seconds(length) * static_cast<double>(deployment.engines));
}

} // namespace benchdecisions

#include "pomelofake/trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace pomelofake
{

using pomeloport::Duration;
using std::chrono::milliseconds;

namespace
{

constexpr double CrestShare = 0.25;

std::vector<TraceClass> clipbackClasses()
{
    return {{"lookup", 60, 1'000, 4'000, 16, 48, milliseconds(10'000), false, true},
            {"damage_notes", 21, 4'000, 32'000, 32, 96, milliseconds(20'000), false, true},
            {"site_history", 8, 32'000, 100'000, 64, 160, milliseconds(40'000), false, true},
            {"hire_history", 2, 100'001, 1'000'000, 64, 200, milliseconds(120'000), false, true},
            {"book_pickup", 5, 20, 200, 1, 1, milliseconds(10'000), true, false},
            {"issue_credit", 4, 20, 200, 1, 1, milliseconds(10'000), true, true}};
}

std::vector<TraceClass> kandyClasses()
{
    return {{"order_summary", 56, 1'000, 6'000, 24, 64, milliseconds(10'000), false, true},
            {"artisan_question", 23, 4'000, 24'000, 32, 96, milliseconds(20'000), false, false},
            {"batch_history", 11, 24'000, 100'000, 64, 200, milliseconds(40'000), false, true},
            {"season_review", 2, 100'001, 1'000'000, 100, 250, milliseconds(120'000), false, true},
            {"deposit_confirmation", 4, 20, 200, 1, 1, milliseconds(10'000), true, false},
            {"place_order", 4, 20, 200, 1, 1, milliseconds(10'000), true, true}};
}

std::vector<TraceClass> classesOf(LoadShape shape)
{
    return shape == LoadShape::Clipback ? clipbackClasses() : kandyClasses();
}

/// Draws a length so that each doubling is equally likely.
std::uint64_t drawLength(std::uint64_t minimum, std::uint64_t maximum, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> exponent(std::log(static_cast<double>(minimum)),
                                                    std::log(static_cast<double>(maximum) + 1));
    const auto length = static_cast<std::uint64_t>(std::exp(exponent(random)));
    return std::clamp(length, minimum, maximum);
}

double rateAt(const TraceSettings &settings, Duration at)
{
    const auto phase = static_cast<double>((at % settings.swingPeriod).count());
    const bool crest = phase >= (1 - CrestShare) * static_cast<double>(settings.swingPeriod.count());
    return settings.baseRate * (crest ? settings.crestFactor : 1);
}

std::size_t drawOrganisation(std::size_t count, std::mt19937_64 &random)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i) {
        weights.push_back(1.0 / static_cast<double>(i + 1));
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

/// The class with the most time, which is that of the longest prompts also where the lengths are cut.
std::size_t longestClass(const std::vector<TraceClass> &classes)
{
    const auto longest = std::ranges::max_element(classes, {}, &TraceClass::deadline);
    return static_cast<std::size_t>(longest - classes.begin());
}

/// Draws the arrival times: candidates at the crest's rate, thinned out between the crests.
std::vector<Duration> drawArrivals(const TraceSettings &settings, std::mt19937_64 &random)
{
    const auto highest = settings.baseRate * std::max(1.0, settings.crestFactor);
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> chance(0, highest);
    std::vector<Duration> arrivals;
    for (auto at = pomeloport::fromSeconds(gap(random)); at < settings.length;
         at += pomeloport::fromSeconds(gap(random))) {
        if (chance(random) < rateAt(settings, at)) {
            arrivals.push_back(at);
        }
    }
    return arrivals;
}

} // namespace

std::vector<TraceClass> traceClasses(const TraceSettings &settings)
{
    auto classes = classesOf(settings.shape);
    for (auto &each : classes) {
        each.maximumPromptTokens = std::min(each.maximumPromptTokens, settings.maximumPromptTokens);
        each.minimumPromptTokens = std::min(each.minimumPromptTokens, each.maximumPromptTokens);
        const auto deadline = static_cast<double>(each.deadline.count()) * settings.deadlineFactor;
        each.deadline = milliseconds(static_cast<std::int64_t>(deadline));
    }
    return classes;
}

std::vector<TraceEntry> makeTrace(const TraceSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    const auto classes = traceClasses(settings);
    std::vector<double> weights;
    for (const auto &each : classes) {
        weights.push_back(each.weight);
    }
    std::discrete_distribution<std::size_t> drawClass(weights.begin(), weights.end());
    std::vector<TraceEntry> trace;
    for (const auto at : drawArrivals(settings, random)) {
        const auto index = drawClass(random);
        const auto &drawn = classes[index];
        trace.push_back({at,
                         index,
                         drawOrganisation(settings.organisations, random),
                         drawLength(drawn.minimumPromptTokens, drawn.maximumPromptTokens, random),
                         drawLength(drawn.minimumAnswerTokens, drawn.maximumAnswerTokens, random),
                         0});
    }
    const auto longest = longestClass(classes);
    for (const auto &extra : settings.extraPrompts) {
        trace.push_back({extra.at, longest, 0, extra.promptTokens, classes[longest].minimumAnswerTokens, 0});
    }
    std::ranges::stable_sort(trace, {}, &TraceEntry::at);
    for (std::size_t i = 0; i < trace.size(); ++i) {
        trace[i].number = i;
    }
    return trace;
}

} // namespace pomelofake

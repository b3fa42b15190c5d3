#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Traces of requests for load tests: when each arrives, from whom, of which length. A trace follows from its settings
/// and its seed alone.
namespace pomelofake
{

/// Deployments whose mix of requests a trace follows.
enum class LoadShape {
    Clipback,
    Kandy,
};

constexpr pomeloport::NameTable<LoadShape, 2> nameTable(LoadShape /*unused*/)
{
    return {{{LoadShape::Clipback, "clipback"}, {LoadShape::Kandy, "kandy"}}};
}

/// A kind of request with its share of the trace, its lengths and its time limit.
struct TraceClass
{
    std::string kind;
    /// Share of all requests, relative to the other classes.
    double weight = 1;
    std::uint64_t minimumPromptTokens = 1;
    std::uint64_t maximumPromptTokens = 1;
    std::uint64_t minimumAnswerTokens = 1;
    std::uint64_t maximumAnswerTokens = 1;
    std::chrono::milliseconds deadline{10'000};
    /// Whether requests are non-idempotent actions with a key.
    bool action = false;
    /// Whether the answer is streamed.
    bool stream = true;
};

/// One request of a trace.
struct TraceEntry
{
    /// Time from the start of the trace.
    pomeloport::Duration at{};
    /// Index into the classes of the trace.
    std::size_t classIndex = 0;
    /// Index of the organisation.
    std::size_t organisation = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0;
    /// Position in the trace, from 0.
    std::uint64_t number = 0;
};

/// A prompt of a given length at a given time, beside the random ones.
struct ExtraPrompt
{
    pomeloport::Duration at{};
    std::uint64_t promptTokens = 0;
};

/// What a trace looks like.
struct TraceSettings
{
    LoadShape shape = LoadShape::Clipback;
    pomeloport::Duration length = std::chrono::seconds(30);
    /// Requests a second between the crests.
    double baseRate = 20;
    /// Rate at the crest over the rate between crests.
    double crestFactor = 3;
    /// Time from one crest to the next; the crest takes a quarter of it.
    pomeloport::Duration swingPeriod = std::chrono::seconds(8);
    /// Number of organisations; the first ones send more.
    std::size_t organisations = 3;
    /// Longest prompt; classes are cut there.
    std::uint64_t maximumPromptTokens = 1'000'000;
    /// Multiplies the time limits of the classes.
    double deadlineFactor = 1;
    std::vector<ExtraPrompt> extraPrompts;
    std::uint64_t seed = 1;
};

/// The classes of a shape. One prompt in fifty is longer than 100,000 tokens.
std::vector<TraceClass> traceClasses(const TraceSettings &settings);

/// The requests of a trace in order of time. Arrivals follow a Poisson process whose rate swings.
std::vector<TraceEntry> makeTrace(const TraceSettings &settings);

} // namespace pomelofake

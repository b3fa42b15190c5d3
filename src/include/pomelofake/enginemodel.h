#pragma once

#include "pomelofake/prefixcache.h"
#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// A model engine on a virtual clock. The process fake-engine, the in-process benchmarks and the fault matrix use it.
namespace pomelofake
{

/// Which outputs a model emits for an answer.
enum class EmissionMode {
    /// Every chunk with its text.
    EveryChunk,
    /// The first and the last chunk without text, and a zero digest, for benchmarks.
    FirstAndLast,
};

/// Size, speed and behaviour of an engine.
struct EngineModelSettings
{
    std::string engine = "engine";
    /// Start of the process in milliseconds of calendar time, as told in load reports; restart() raises it by one.
    std::uint64_t epoch = 1;
    /// KV memory in tokens, shared by running streams and exported blobs.
    std::uint64_t kvTokens = 400'000;
    /// Memory of the prefix cache in tokens, beside the KV memory.
    std::uint64_t prefixCacheTokens = 200'000;
    /// Prefill speed at an empty context.
    double prefillTokensPerSecond = 100'000;
    /// Context length at which the prefill speed has halved, in tokens.
    double halfSpeedContext = 500'000;
    /// Duration of a decode step with one stream.
    pomeloport::Duration decodeStep = std::chrono::milliseconds(20);
    /// What each further decoding stream adds to the step.
    pomeloport::Duration decodeStepPerStream = std::chrono::microseconds(200);
    /// Prompt tokens computed in one step, at most.
    std::uint64_t prefillTokensPerStep = 4096;
    /// Of these, tokens of class Bulk while streams of other classes are present.
    std::uint64_t bulkTokensPerStep = 1024;
    /// Streams running at a time, at most.
    std::size_t maximumRunning = 256;
    /// Streams waiting at a time, at most; further ones are refused as Full.
    std::size_t maximumQueued = 64;
    /// Whether orders with a fencing number below the highest seen are refused.
    bool checksFencing = true;
    /// Models, adapters and versions in memory at the start, as in LoadReport::loaded.
    std::vector<std::string> loaded;
    /// Time to bring one more item into memory.
    pomeloport::Duration loadTime = std::chrono::seconds(2);
    /// Whether a load starts only once grantWeights() says that the weight store has granted the item.
    bool waitsForWeights = false;
    EmissionMode emission = EmissionMode::EveryChunk;
};

/// A chunk as it leaves the engine.
struct ChunkOut
{
    pomeloport::StreamAddress stream;
    std::uint64_t index = 0;
    std::string text;
    pomeloport::Instant at{};
};

/// The end of a stream as it leaves the engine.
struct EndOut
{
    pomeloport::StreamAddress stream;
    pomeloport::StreamEnd end;
    pomeloport::Instant at{};
};

using EngineOutput = std::variant<ChunkOut, EndOut>;

/// What a cancel found.
struct CancelResult
{
    bool existed = false;
    /// Whether the stream had left the queue. A stream that existed and had not started never runs.
    bool started = false;
};

/// An engine with continuous batching: each step decodes one token for every decoding stream and computes a bounded
/// part of the waiting prompts, most urgent first. A stream starts when its prompt segment and its answer fit into KV
/// memory, and holds both until it ends; the queue is served by priority, then in order of arrival. Exported segments
/// become blobs that hold memory until freed. The leading blocks found in the prefix cache are not computed again.
///
/// The clock is passed in and must not go backwards. Outputs are collected by advance(), in order of time. A dead
/// engine answers nothing: check alive() before each call, as a host would find its connection refused.
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);
    ~EngineModel();
    EngineModel(EngineModel &&) noexcept;
    EngineModel &operator=(EngineModel &&) noexcept;

    /// Accepts a call, or returns why not; a refused call never runs.
    std::optional<pomeloport::Refusal> submit(const pomeloport::GenerateCall &call, pomeloport::Instant now);

    /// Runs up to the given time and returns what was produced since the last call.
    std::vector<EngineOutput> advance(pomeloport::Instant now);

    /// When the next step ends or an item is loaded; Instant::max() when idle, dead or stalled.
    pomeloport::Instant nextEventAt() const;

    /// Removes a queued or running stream and frees its memory at once.
    CancelResult cancel(const pomeloport::StreamAddress &stream, pomeloport::Instant now);

    /// Frees an exported segment. Returns whether it existed.
    bool freeBlob(const std::string &blob, pomeloport::Instant now);

    /// Returns whether a blob is held, for engines that read it while they compute.
    bool holdsBlob(const std::string &blob) const;

    /// All streams and blobs with their memory.
    pomeloport::EngineHoldings holdings() const;

    /// A report of this moment, with the next sequence number; delay it to model the lag.
    pomeloport::LoadReport loadReport(pomeloport::Instant now);

    /// Cache events after the given sequence number; delay and drop them to model late and incomplete delivery.
    pomeloport::CacheEvents cacheEvents(std::uint64_t since) const;

    /// Sets the wanted models and the role, or refuses with Fenced. Items missing from the order are dropped at once;
    /// new ones are loaded one after the other.
    std::optional<pomeloport::Refusal> order(const pomeloport::EngineOrder &order, pomeloport::Instant now);

    /// The item whose weights are needed next and not granted yet; nothing without waitsForWeights.
    std::optional<std::string> awaitedWeights() const;

    /// Starts to load the awaited item, if it is still the one awaited.
    void grantWeights(const std::string &item, pomeloport::Instant now);

    /// The role of the last order.
    const std::string &role() const;

    /// Highest fencing number of an accepted order.
    std::uint64_t fencingNumber() const;

    /// Loses all streams, blobs and cached blocks, without outputs.
    void kill(pomeloport::Instant now);

    /// Starts a dead engine, empty and with a new epoch; loads nothing but what the settings name.
    void restart(pomeloport::Instant now);

    bool alive() const;

    /// Multiplies the duration of the following steps.
    void setSlowdown(double factor);

    /// A stalled engine accepts calls and finishes no step.
    void setStalled(bool stalled, pomeloport::Instant now);

    /// A leaving engine refuses new calls as Leaving and finishes the accepted ones.
    void setLeaving(bool leaving);

    /// A refusing engine answers every new call with Full.
    void setRefusing(bool refusing);

    /// Makes the engine cold until a time. A cold engine dies of more than this number of calls in one second; the call
    /// that kills it is lost like all others.
    void setCold(pomeloport::Instant until, std::size_t callsPerSecond);

    /// Most calls in one second while the engine was cold.
    std::size_t mostColdCalls() const;

    /// KV memory held by streams and blobs, in tokens.
    std::uint64_t kvTokensUsed() const;

    const EngineModelSettings &settings() const;

private:
    struct Stream;
    struct Blob
    {
        pomeloport::StreamAddress stream;
        std::uint64_t tokens = 0;
    };
    using StreamPointer = std::unique_ptr<Stream>;

    std::optional<pomeloport::RefusalCode> refusalFor(const pomeloport::GenerateCall &call) const;
    bool isLoaded(const pomeloport::GenerateCall &call) const;
    void catchUp(pomeloport::Instant now);
    bool diesOfColdCall(pomeloport::Instant now);
    void finishLoads(pomeloport::Instant now);
    void startLoad(pomeloport::Instant at);
    void startStep(pomeloport::Instant at);
    void startQueued();
    void planPrefill();
    std::uint64_t planPrefillOf(pomeloport::EnginePriority priority, std::uint64_t limit);
    pomeloport::Duration stepDuration() const;
    double prefillSeconds(const Stream &stream) const;
    void finishStep();
    void finishPrefill(Stream &stream);
    void emitChunk(Stream &stream);
    void emitEnd(Stream &stream, pomeloport::StreamEnd end);
    void exportSegment(Stream &stream);
    void removeFinished();

    EngineModelSettings m_settings;
    PrefixCache m_cache;
    /// In order of priority, then of arrival.
    std::deque<StreamPointer> m_queue;
    std::vector<StreamPointer> m_running;
    std::map<pomeloport::StreamAddress, Stream *> m_streams;
    std::map<std::string, Blob> m_blobs;
    std::vector<EngineOutput> m_outputs;
    std::uint64_t m_kvTokensUsed = 0;
    std::uint64_t m_blobSequence = 0;
    std::uint64_t m_reportSequence = 0;
    std::uint64_t m_fencingNumber = 0;
    std::string m_role = "general";
    std::vector<std::string> m_loaded;
    std::deque<std::string> m_loading;
    pomeloport::Instant m_loadEnds = pomeloport::Instant::max();
    bool m_stepRunning = false;
    pomeloport::Instant m_stepBegan{};
    pomeloport::Instant m_stepEnds{};
    double m_slowdown = 1;
    bool m_alive = true;
    bool m_stalled = false;
    bool m_leaving = false;
    bool m_refusing = false;
    pomeloport::Instant m_coldUntil{};
    std::size_t m_coldLimit = 0;
    /// Times of the calls of the last second while the engine is cold.
    std::deque<pomeloport::Instant> m_coldCalls;
    std::size_t m_mostColdCalls = 0;
    std::uint64_t m_prefilledSinceReport = 0;
    double m_prefillSecondsSinceReport = 0;
    std::uint64_t m_decodeStepsSinceReport = 0;
    double m_decodeSecondsSinceReport = 0;
};

} // namespace pomelofake

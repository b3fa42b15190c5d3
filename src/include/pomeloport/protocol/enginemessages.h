#pragma once

#include "pomeloport/nametable.h"
#include "pomeloport/protocol/identity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of a model engine's HTTP interface, with their JSON codecs.
///
/// POST /v1/generate takes a GenerateCall and answers 200 with one JSON object a line: StreamChunk lines, then one
/// StreamEnd. A refusal before the start is answered with status 429 or 503 and a Refusal; it promises that nothing
/// ran. POST /v1/cancel takes {"stream": ADDRESS} and answers {"started": bool, "existed": bool}. GET /v1/holdings
/// answers EngineHoldings. GET /v1/load answers a LoadReport. DELETE /v1/kv/BLOB frees an exported blob.
/// POST /v1/orders takes an EngineOrder and answers 200 {}, or 409 and a Refusal with the code Fenced.
/// GET /v1/events?since=N answers CacheEvents with the events after sequence number N.
namespace pomeloport
{

/// Scheduling classes of an engine, most urgent first.
enum class EnginePriority {
    Urgent,
    Normal,
    Bulk,
};

constexpr NameTable<EnginePriority, 3> nameTable(EnginePriority /*unused*/)
{
    return {{{EnginePriority::Urgent, "urgent"}, {EnginePriority::Normal, "normal"}, {EnginePriority::Bulk, "bulk"}}};
}

/// A part of the KV cache that is held by another engine and read by the called engine during its computation.
struct KvReference
{
    std::string engine;
    std::string blob;
    std::uint64_t tokens = 0;
};

/// Asks an engine for one attempt of a request, or for one segment of its prefill.
struct GenerateCall
{
    StreamAddress stream;
    std::string model;
    std::string adapter;
    std::string version;
    /// Digest of the whole prompt; together with the model it determines the answer of a deterministic engine.
    std::uint64_t promptDigest = 0;
    /// Tokens of the whole prompt.
    std::uint64_t promptTokens = 0;
    /// Chained digests of the prompt's leading blocks of PrefixBlockTokens tokens, for the prefix cache.
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t maxTokens = 0;
    EnginePriority priority = EnginePriority::Normal;
    /// The half-open range of prompt tokens that this engine computes; the whole prompt when both are zero.
    std::uint64_t segmentBegin = 0;
    std::uint64_t segmentEnd = 0;
    /// Earlier segments, held by other engines.
    std::vector<KvReference> imports;
    /// True for all segments but the last: the engine stops after prefill and keeps the segment as a blob.
    bool exportOnly = false;
    /// Index of the first chunk to send; earlier ones were delivered by a previous attempt.
    std::uint64_t resumeFrom = 0;
    /// The prompt itself; empty in the in-process bench.
    std::string prompt;
};

/// Tokens in one block of the prefix cache.
constexpr std::uint64_t PrefixBlockTokens = 512;

/// One numbered piece of an answer.
struct StreamChunk
{
    std::uint64_t index = 0;
    std::string text;
};

/// Ends an answer: the number of chunks from index 0, and the xxHash64 of all their texts in order. For an exported
/// segment it names the blob that holds the segment.
struct StreamEnd
{
    std::uint64_t count = 0;
    std::uint64_t digest = 0;
    std::string blob;
};

/// Why an engine refused a call before starting it.
enum class RefusalCode {
    Full,
    Leaving,
    ModelNotLoaded,
    Fenced,
    Bad,
};

constexpr NameTable<RefusalCode, 5> nameTable(RefusalCode /*unused*/)
{
    return {{{RefusalCode::Full, "full"},
             {RefusalCode::Leaving, "leaving"},
             {RefusalCode::ModelNotLoaded, "model_not_loaded"},
             {RefusalCode::Fenced, "fenced"},
             {RefusalCode::Bad, "bad"}}};
}

/// A refusal before the start of a call.
struct Refusal
{
    RefusalCode code = RefusalCode::Full;
};

/// Load of an engine at some time in the past.
struct LoadReport
{
    std::string engine;
    /// Rises with each report of one engine process.
    std::uint64_t sequence = 0;
    /// Start of the engine process, in milliseconds of calendar time; tells a restarted engine from a late report.
    std::uint64_t epoch = 0;
    std::uint64_t kvTokensTotal = 0;
    std::uint64_t kvTokensUsed = 0;
    /// Prompt tokens accepted but not yet computed.
    std::uint64_t queuedPrefillTokens = 0;
    /// Of these, the tokens of prompts of class Bulk.
    std::uint64_t queuedBulkTokens = 0;
    std::uint32_t runningStreams = 0;
    std::uint32_t queuedStreams = 0;
    /// Rates measured by the engine since its last report; zero when idle.
    double prefillTokensPerSecond = 0;
    double decodeStepSeconds = 0;
    bool leaving = false;
    /// Models with adapters and versions in memory, as "model", "model+adapter" or "model@version".
    std::vector<std::string> loaded;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(engine, sequence, epoch, kvTokensTotal, kvTokensUsed, queuedPrefillTokens, queuedBulkTokens);
        archive(runningStreams, queuedStreams, prefillTokensPerSecond, decodeStepSeconds, leaving, loaded);
    }
};

/// One stream or blob that holds memory of an engine.
struct Holding
{
    StreamAddress stream;
    /// Empty for a running or queued stream.
    std::string blob;
    std::uint64_t tokens = 0;
};

/// All streams and blobs that hold memory of an engine, as recorded by the engine itself.
struct EngineHoldings
{
    std::string engine;
    std::vector<Holding> holdings;
};

/// The models and the role that an engine should have. Orders are declarative and idempotent.
struct EngineOrder
{
    /// Refused as Fenced when lower than one seen before, by engines that check it.
    std::uint64_t fencingNumber = 0;
    std::vector<std::string> load;
    /// "general" or "short_only".
    std::string role;
};

/// A change of an engine's prefix cache: a block was stored or evicted.
struct CacheEvent
{
    /// Rises by one with each event of one engine process; a jump shows that events were lost.
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool stored = true;
};

/// Cache events as published by an engine. They may arrive late and with gaps.
struct CacheEvents
{
    std::string engine;
    /// As in LoadReport; sequence numbers start again with each process.
    std::uint64_t epoch = 0;
    /// Sequence number of the newest event published so far.
    std::uint64_t lastSequence = 0;
    std::vector<CacheEvent> events;
};

/// Codecs. The encoders write compact JSON; the decoders return nothing, with a last reason, for malformed input.
std::string encode(const GenerateCall &call);
std::string encode(const StreamChunk &chunk);
std::string encode(const StreamEnd &end);
std::string encode(const Refusal &refusal);
std::string encode(const LoadReport &report);
std::string encode(const EngineHoldings &holdings);
std::string encode(const EngineOrder &order);
std::string encode(const CacheEvents &events);
std::optional<GenerateCall> decodeGenerateCall(std::string_view json);
std::optional<StreamChunk> decodeStreamChunk(std::string_view json);
std::optional<StreamEnd> decodeStreamEnd(std::string_view json);
std::optional<Refusal> decodeRefusal(std::string_view json);
std::optional<LoadReport> decodeLoadReport(std::string_view json);
std::optional<EngineHoldings> decodeEngineHoldings(std::string_view json);
std::optional<EngineOrder> decodeEngineOrder(std::string_view json);
std::optional<CacheEvents> decodeCacheEvents(std::string_view json);

} // namespace pomeloport

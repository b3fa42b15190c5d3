#include "pomeloport/protocol/enginemessages.h"

#include "jsonfields.h"

namespace pomeloport
{

namespace
{

using detail::digestText;
using detail::JsonReader;

boost::json::array textArray(const std::vector<std::string> &texts)
{
    boost::json::array result;
    for (const auto &text : texts) {
        result.emplace_back(text);
    }
    return result;
}

boost::json::array digestArray(const std::vector<std::uint64_t> &digests)
{
    boost::json::array result;
    for (const auto digest : digests) {
        result.emplace_back(digestText(digest));
    }
    return result;
}

boost::json::array referenceArray(const std::vector<KvReference> &references)
{
    boost::json::array result;
    for (const auto &reference : references) {
        result.push_back({{"engine", reference.engine}, {"blob", reference.blob}, {"tokens", reference.tokens}});
    }
    return result;
}

std::vector<KvReference> readReferences(JsonReader &reader)
{
    std::vector<KvReference> result;
    for (const auto &entry : reader.array("imports")) {
        JsonReader fields(entry);
        result.push_back({fields.text("engine", true), fields.text("blob", true), fields.number("tokens", true)});
        if (!fields.ok()) {
            reader.fail("imports: " + lastReason());
        }
    }
    return result;
}

StreamAddress readStream(JsonReader &reader)
{
    const auto address = parseStreamAddress(reader.text("stream", true));
    if (!address) {
        reader.fail(lastReason());
    }
    return address.value_or(StreamAddress{});
}

template<typename Message>
std::optional<Message> finish(const JsonReader &reader, Message message)
{
    if (!reader.ok()) {
        return std::nullopt;
    }
    return message;
}

template<typename Enum>
Enum readEnum(JsonReader &reader, std::string_view key)
{
    const auto value = valueOf<Enum>(reader.text(key, true));
    if (!value) {
        reader.fail(std::string(key) + " has an unknown value");
    }
    return value.value_or(Enum{});
}

} // namespace

std::string encode(const GenerateCall &call)
{
    return serialize(boost::json::value{{"stream", toString(call.stream)},
                                        {"model", call.model},
                                        {"adapter", call.adapter},
                                        {"version", call.version},
                                        {"prompt_digest", digestText(call.promptDigest)},
                                        {"prompt_tokens", call.promptTokens},
                                        {"prefix_blocks", digestArray(call.prefixBlocks)},
                                        {"max_tokens", call.maxTokens},
                                        {"priority", nameOf(call.priority)},
                                        {"segment_begin", call.segmentBegin},
                                        {"segment_end", call.segmentEnd},
                                        {"imports", referenceArray(call.imports)},
                                        {"export_only", call.exportOnly},
                                        {"resume_from", call.resumeFrom},
                                        {"prompt", call.prompt}});
}

std::string encode(const StreamChunk &chunk)
{
    return serialize(boost::json::value{{"index", chunk.index}, {"text", chunk.text}});
}

std::string encode(const StreamEnd &end)
{
    return serialize(boost::json::value{
        {"end", true}, {"count", end.count}, {"digest", digestText(end.digest)}, {"blob", end.blob}});
}

std::string encode(const Refusal &refusal)
{
    return serialize(boost::json::value{{"refused", nameOf(refusal.code)}});
}

std::string encode(const LoadReport &report)
{
    return serialize(boost::json::value{{"engine", report.engine},
                                        {"sequence", report.sequence},
                                        {"epoch", report.epoch},
                                        {"kv_tokens_total", report.kvTokensTotal},
                                        {"kv_tokens_used", report.kvTokensUsed},
                                        {"queued_prefill_tokens", report.queuedPrefillTokens},
                                        {"queued_bulk_tokens", report.queuedBulkTokens},
                                        {"running_streams", report.runningStreams},
                                        {"queued_streams", report.queuedStreams},
                                        {"prefill_tokens_per_second", report.prefillTokensPerSecond},
                                        {"decode_step_seconds", report.decodeStepSeconds},
                                        {"leaving", report.leaving},
                                        {"loaded", textArray(report.loaded)}});
}

std::string encode(const EngineHoldings &holdings)
{
    boost::json::array entries;
    for (const auto &holding : holdings.holdings) {
        entries.push_back({{"stream", toString(holding.stream)}, {"blob", holding.blob}, {"tokens", holding.tokens}});
    }
    return serialize(boost::json::value{{"engine", holdings.engine}, {"holdings", std::move(entries)}});
}

std::string encode(const EngineOrder &order)
{
    return serialize(boost::json::value{
        {"fencing_number", order.fencingNumber}, {"load", textArray(order.load)}, {"role", order.role}});
}

std::string encode(const CacheEvents &events)
{
    boost::json::array entries;
    for (const auto &event : events.events) {
        entries.push_back({{"sequence", event.sequence}, {"block", digestText(event.block)}, {"stored", event.stored}});
    }
    return serialize(boost::json::value{{"engine", events.engine},
                                        {"epoch", events.epoch},
                                        {"last_sequence", events.lastSequence},
                                        {"events", std::move(entries)}});
}

std::optional<GenerateCall> decodeGenerateCall(std::string_view json)
{
    JsonReader reader(json);
    GenerateCall call;
    call.stream = readStream(reader);
    call.model = reader.text("model", true);
    call.adapter = reader.text("adapter");
    call.version = reader.text("version");
    call.promptDigest = reader.digest("prompt_digest");
    call.promptTokens = reader.number("prompt_tokens", true);
    call.prefixBlocks = reader.digests("prefix_blocks");
    call.maxTokens = reader.number("max_tokens", true);
    call.priority = readEnum<EnginePriority>(reader, "priority");
    call.segmentBegin = reader.number("segment_begin");
    call.segmentEnd = reader.number("segment_end");
    call.imports = readReferences(reader);
    call.exportOnly = reader.boolean("export_only");
    call.resumeFrom = reader.number("resume_from");
    call.prompt = reader.text("prompt");
    return finish(reader, std::move(call));
}

std::optional<StreamChunk> decodeStreamChunk(std::string_view json)
{
    JsonReader reader(json);
    return finish(reader, StreamChunk{reader.number("index", true), reader.text("text", true)});
}

std::optional<StreamEnd> decodeStreamEnd(std::string_view json)
{
    JsonReader reader(json);
    if (!reader.boolean("end")) {
        reader.fail("not an end marker");
    }
    return finish(reader, StreamEnd{reader.number("count", true), reader.digest("digest"), reader.text("blob")});
}

std::optional<Refusal> decodeRefusal(std::string_view json)
{
    JsonReader reader(json);
    return finish(reader, Refusal{readEnum<RefusalCode>(reader, "refused")});
}

std::optional<LoadReport> decodeLoadReport(std::string_view json)
{
    JsonReader reader(json);
    LoadReport report;
    report.engine = reader.text("engine", true);
    report.sequence = reader.number("sequence", true);
    report.epoch = reader.number("epoch");
    report.kvTokensTotal = reader.number("kv_tokens_total", true);
    report.kvTokensUsed = reader.number("kv_tokens_used", true);
    report.queuedPrefillTokens = reader.number("queued_prefill_tokens");
    report.queuedBulkTokens = reader.number("queued_bulk_tokens");
    report.runningStreams = static_cast<std::uint32_t>(reader.number("running_streams"));
    report.queuedStreams = static_cast<std::uint32_t>(reader.number("queued_streams"));
    report.prefillTokensPerSecond = reader.real("prefill_tokens_per_second");
    report.decodeStepSeconds = reader.real("decode_step_seconds");
    report.leaving = reader.boolean("leaving");
    report.loaded = reader.texts("loaded");
    return finish(reader, std::move(report));
}

std::optional<EngineHoldings> decodeEngineHoldings(std::string_view json)
{
    JsonReader reader(json);
    EngineHoldings result;
    result.engine = reader.text("engine", true);
    for (const auto &entry : reader.array("holdings")) {
        JsonReader fields(entry);
        result.holdings.push_back({readStream(fields), fields.text("blob"), fields.number("tokens", true)});
        if (!fields.ok()) {
            reader.fail("holdings: " + lastReason());
        }
    }
    return finish(reader, std::move(result));
}

std::optional<EngineOrder> decodeEngineOrder(std::string_view json)
{
    JsonReader reader(json);
    return finish(reader,
                  EngineOrder{reader.number("fencing_number", true), reader.texts("load"), reader.text("role")});
}

std::optional<CacheEvents> decodeCacheEvents(std::string_view json)
{
    JsonReader reader(json);
    CacheEvents result;
    result.engine = reader.text("engine", true);
    result.epoch = reader.number("epoch");
    result.lastSequence = reader.number("last_sequence", true);
    for (const auto &entry : reader.array("events")) {
        JsonReader fields(entry);
        result.events.push_back({fields.number("sequence", true), fields.digest("block"), fields.boolean("stored")});
        if (!fields.ok()) {
            reader.fail("events: " + lastReason());
        }
    }
    return finish(reader, std::move(result));
}

} // namespace pomeloport

#include "pomelofake/enginemodel.h"

#include "enginestream.h"
#include "pomelofake/answer.h"

#include <algorithm>
#include <utility>

namespace pomelofake
{

using pomeloport::Duration;
using pomeloport::EnginePriority;
using pomeloport::GenerateCall;
using pomeloport::Instant;
using pomeloport::Refusal;
using pomeloport::RefusalCode;
using pomeloport::StreamAddress;

namespace
{

struct Segment
{
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
};

Segment segmentOf(const GenerateCall &call)
{
    if (call.segmentEnd == 0) {
        return {0, call.promptTokens};
    }
    return {call.segmentBegin, call.segmentEnd};
}

std::uint64_t importedTokens(const GenerateCall &call)
{
    std::uint64_t tokens = 0;
    for (const auto &reference : call.imports) {
        tokens += reference.tokens;
    }
    return tokens;
}

bool isValid(const GenerateCall &call)
{
    const auto [begin, end] = segmentOf(call);
    const bool wholeContext = importedTokens(call) == begin;
    const bool decodes = end == call.promptTokens && call.maxTokens > 0;
    return begin < end && end <= call.promptTokens && wholeContext && (call.exportOnly || decodes)
        && call.resumeFrom <= call.maxTokens;
}

std::uint64_t tokensToReserve(const GenerateCall &call)
{
    const auto [begin, end] = segmentOf(call);
    return end - begin + (call.exportOnly ? 0 : call.maxTokens);
}

} // namespace

EngineModel::EngineModel(EngineModelSettings settings)
    : m_settings(std::move(settings))
    , m_cache(m_settings.prefixCacheTokens)
    , m_loaded(m_settings.loaded)
{
}

EngineModel::~EngineModel() = default;
EngineModel::EngineModel(EngineModel &&) noexcept = default;
EngineModel &EngineModel::operator=(EngineModel &&) noexcept = default;

std::optional<Refusal> EngineModel::submit(const GenerateCall &call, Instant now)
{
    catchUp(now);
    if (diesOfColdCall(now)) {
        return std::nullopt;
    }
    if (const auto code = refusalFor(call)) {
        return Refusal{*code};
    }
    const auto [begin, end] = segmentOf(call);
    auto stream = std::make_unique<Stream>();
    stream->address = call.stream;
    stream->priority = call.priority;
    stream->seed = answerSeed({call.promptDigest, call.model, call.adapter, call.version});
    stream->contextBegin = begin;
    stream->segmentTokens = end - begin;
    stream->prefillTokens = end - begin + (call.exportOnly ? 0 : call.resumeFrom);
    stream->reservedTokens = tokensToReserve(call);
    stream->nextChunk = call.resumeFrom;
    stream->firstChunk = call.resumeFrom;
    stream->maximumTokens = call.maxTokens;
    stream->exportOnly = call.exportOnly;
    stream->prefixBlocks = call.prefixBlocks;
    m_streams.emplace(call.stream, stream.get());
    const auto place = std::ranges::upper_bound(
        m_queue, stream->priority, {}, [](const StreamPointer &queued) { return queued->priority; });
    m_queue.insert(place, std::move(stream));
    if (!m_stepRunning) {
        startStep(now);
    }
    return std::nullopt;
}

std::vector<EngineOutput> EngineModel::advance(Instant now)
{
    catchUp(now);
    return std::exchange(m_outputs, {});
}

Instant EngineModel::nextEventAt() const
{
    if (!m_alive || m_stalled) {
        return Instant::max();
    }
    return m_stepRunning ? std::min(m_stepEnds, m_loadEnds) : m_loadEnds;
}

CancelResult EngineModel::cancel(const StreamAddress &address, Instant now)
{
    catchUp(now);
    const auto found = m_streams.find(address);
    if (found == m_streams.end()) {
        return {};
    }
    auto *stream = found->second;
    const bool started = stream->started;
    const auto isStream = [stream](const StreamPointer &other) {
        return other.get() == stream;
    };
    m_streams.erase(found);
    if (started) {
        m_kvTokensUsed -= stream->reservedTokens;
        std::erase_if(m_running, isStream);
    } else {
        std::erase_if(m_queue, isStream);
    }
    return {true, started};
}

bool EngineModel::freeBlob(const std::string &blob, Instant now)
{
    catchUp(now);
    const auto found = m_blobs.find(blob);
    if (found == m_blobs.end()) {
        return false;
    }
    m_kvTokensUsed -= found->second.tokens;
    m_blobs.erase(found);
    if (!m_stepRunning) {
        startStep(now);
    }
    return true;
}

std::optional<RefusalCode> EngineModel::refusalFor(const GenerateCall &call) const
{
    if (m_leaving) {
        return RefusalCode::Leaving;
    }
    if (!isValid(call) || m_streams.contains(call.stream)) {
        return RefusalCode::Bad;
    }
    if (!isLoaded(call)) {
        return RefusalCode::ModelNotLoaded;
    }
    const bool neverFits = tokensToReserve(call) > m_settings.kvTokens;
    if (m_refusing || neverFits || m_queue.size() >= m_settings.maximumQueued) {
        return RefusalCode::Full;
    }
    return std::nullopt;
}

bool EngineModel::isLoaded(const GenerateCall &call) const
{
    const auto holds = [this](const std::string &item) {
        return std::ranges::find(m_loaded, item) != m_loaded.end();
    };
    const auto isAnyVersion = [&call](const std::string &item) {
        return item == call.model || item.starts_with(call.model + '@');
    };
    const bool model =
        call.version.empty() ? std::ranges::any_of(m_loaded, isAnyVersion) : holds(call.model + '@' + call.version);
    return model && (call.adapter.empty() || holds(call.model + '+' + call.adapter));
}

void EngineModel::catchUp(Instant now)
{
    if (!m_alive || m_stalled) {
        return;
    }
    finishLoads(now);
    while (m_stepRunning && m_stepEnds <= now) {
        finishStep();
        startStep(m_stepEnds);
    }
}

void EngineModel::startStep(Instant at)
{
    startQueued();
    planPrefill();
    m_stepRunning = false;
    for (const auto &stream : m_running) {
        stream->decodesInStep = stream->prefillDone();
        m_stepRunning = m_stepRunning || stream->decodesInStep || stream->plannedPrefill > 0;
    }
    m_stepBegan = at;
    m_stepEnds = at + stepDuration();
}

void EngineModel::startQueued()
{
    while (!m_queue.empty() && m_running.size() < m_settings.maximumRunning) {
        auto &stream = *m_queue.front();
        if (m_kvTokensUsed + stream.reservedTokens > m_settings.kvTokens) {
            return;
        }
        m_kvTokensUsed += stream.reservedTokens;
        stream.started = true;
        if (stream.contextBegin == 0) {
            const auto cached = m_cache.lookUp(stream.prefixBlocks) * pomeloport::PrefixBlockTokens;
            // The last prompt token is always computed: it yields the first chunk.
            stream.prefilled = std::min<std::uint64_t>(cached, stream.segmentTokens - 1);
        }
        m_running.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
}

void EngineModel::planPrefill()
{
    const bool othersPresent = std::ranges::any_of(
        m_running, [](const StreamPointer &stream) { return stream->priority != EnginePriority::Bulk; });
    auto left = m_settings.prefillTokensPerStep;
    left -= planPrefillOf(EnginePriority::Urgent, left);
    left -= planPrefillOf(EnginePriority::Normal, left);
    planPrefillOf(EnginePriority::Bulk, othersPresent ? std::min(left, m_settings.bulkTokensPerStep) : left);
}

std::uint64_t EngineModel::planPrefillOf(EnginePriority priority, std::uint64_t limit)
{
    std::uint64_t planned = 0;
    for (const auto &stream : m_running) {
        if (stream->priority == priority) {
            stream->plannedPrefill = std::min(stream->prefillLeft(), limit - planned);
            planned += stream->plannedPrefill;
        }
    }
    return planned;
}

double EngineModel::prefillSeconds(const Stream &stream) const
{
    const auto context = static_cast<double>(stream.contextBegin + stream.prefilled);
    const auto rate = m_settings.prefillTokensPerSecond / (1 + context / m_settings.halfSpeedContext);
    return static_cast<double>(stream.plannedPrefill) / rate;
}

Duration EngineModel::stepDuration() const
{
    double seconds = 0;
    std::size_t decoding = 0;
    for (const auto &stream : m_running) {
        seconds += prefillSeconds(*stream);
        decoding += stream->decodesInStep ? 1 : 0;
    }
    if (decoding > 0) {
        seconds += pomeloport::seconds(m_settings.decodeStep);
        seconds += pomeloport::seconds(m_settings.decodeStepPerStream) * static_cast<double>(decoding - 1);
    }
    constexpr auto ShortestStep = Duration(1);
    return std::max(ShortestStep, pomeloport::fromSeconds(seconds * m_slowdown));
}

void EngineModel::finishStep()
{
    bool decoded = false;
    const auto stepSeconds = pomeloport::seconds(m_stepEnds - m_stepBegan);
    for (const auto &stream : m_running) {
        if (stream->decodesInStep) {
            decoded = true;
            emitChunk(*stream);
        } else if (stream->plannedPrefill > 0) {
            m_prefillSecondsSinceReport += prefillSeconds(*stream) * m_slowdown;
            m_prefilledSinceReport += stream->plannedPrefill;
            stream->prefilled += std::exchange(stream->plannedPrefill, 0);
            if (stream->prefillDone()) {
                finishPrefill(*stream);
            }
        }
    }
    if (decoded) {
        ++m_decodeStepsSinceReport;
        m_decodeSecondsSinceReport += stepSeconds;
    }
    removeFinished();
}

void EngineModel::finishPrefill(Stream &stream)
{
    const auto firstBlock = (stream.contextBegin + pomeloport::PrefixBlockTokens - 1) / pomeloport::PrefixBlockTokens;
    const auto endBlock = (stream.contextBegin + stream.segmentTokens) / pomeloport::PrefixBlockTokens;
    m_cache.store(stream.prefixBlocks, firstBlock, endBlock);
    if (stream.exportOnly) {
        exportSegment(stream);
        return;
    }
    emitChunk(stream);
}

void EngineModel::emitChunk(Stream &stream)
{
    const bool everyChunk = m_settings.emission == EmissionMode::EveryChunk;
    const bool last = stream.nextChunk + 1 >= stream.maximumTokens;
    const bool nothingLeft = stream.nextChunk >= stream.maximumTokens;
    if (!nothingLeft && (everyChunk || last || stream.nextChunk == stream.firstChunk)) {
        auto text = everyChunk ? chunkText(stream.seed, stream.nextChunk) : std::string();
        m_outputs.emplace_back(ChunkOut{stream.address, stream.nextChunk, std::move(text), m_stepEnds});
    }
    ++stream.nextChunk;
    if (last) {
        const auto digest = everyChunk ? answerDigest(stream.seed, stream.maximumTokens) : 0;
        emitEnd(stream, {stream.maximumTokens, digest, {}});
    }
}

void EngineModel::emitEnd(Stream &stream, pomeloport::StreamEnd end)
{
    m_outputs.emplace_back(EndOut{stream.address, std::move(end), m_stepEnds});
    stream.finished = true;
}

void EngineModel::exportSegment(Stream &stream)
{
    auto name = m_settings.engine + '-' + std::to_string(m_settings.epoch) + '-' + std::to_string(++m_blobSequence);
    m_blobs[name] = {stream.address, stream.segmentTokens};
    m_kvTokensUsed += stream.segmentTokens;
    emitEnd(stream, {0, 0, std::move(name)});
}

void EngineModel::removeFinished()
{
    std::erase_if(m_running, [this](const StreamPointer &stream) {
        if (stream->finished) {
            m_kvTokensUsed -= stream->reservedTokens;
            m_streams.erase(stream->address);
        }
        return stream->finished;
    });
}

} // namespace pomelofake

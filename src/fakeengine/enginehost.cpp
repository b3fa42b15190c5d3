#include "enginehost.h"

#include "pomelofake/answer.h"
#include "pomelofake/httpreplies.h"
#include "pomelofake/program.h"
#include "pomeloport/protocol/jsonfields.h"

#include <boost/json.hpp>

namespace fakeengine
{

using pomelofake::ExchangePointer;
using pomelofake::HttpStatus;
using pomelofake::replyDone;
using pomelofake::replyError;
using pomelofake::replyJson;
using pomelofake::steadyNow;
using pomeloport::Refusal;
using pomeloport::RefusalCode;

namespace
{

constexpr auto SampleInterval = std::chrono::milliseconds(50);
/// Asks the weight store at most once in this many samples, which is four times a second.
constexpr std::uint64_t SamplesPerWeightQuestion = 5;
void refuse(const ExchangePointer &exchange, RefusalCode code)
{
    const auto status = code == RefusalCode::Full ? HttpStatus::TooManyRequests : HttpStatus::Unavailable;
    replyJson(exchange, status, encode(Refusal{code}));
}

/// A call that carries its whole prompt must carry the digest of this prompt.
bool matchesPrompt(const pomeloport::GenerateCall &call)
{
    const bool whole = !call.prompt.empty() && pomelofake::promptTokens(call.prompt.size()) == call.promptTokens;
    return !whole || pomelofake::digestOf(call.prompt) == call.promptDigest;
}

/// Decides by its number alone whether an event is lost, so that each reader misses the same ones.
bool isLost(std::uint64_t sequence, double share)
{
    constexpr double Steps = 1'000;
    const auto number = pomelofake::digestOf(std::to_string(sequence)) % static_cast<std::uint64_t>(Steps);
    return static_cast<double>(number) < share * Steps;
}

} // namespace

EngineHost::EngineHost(boost::asio::io_context &context,
                       pomelofake::EngineModelSettings settings,
                       HostFaults faults,
                       std::string platform)
    : m_model(std::move(settings))
    , m_faults(faults)
    , m_stepTimer(context)
    , m_sampleTimer(context)
    , m_client(context)
    , m_platform(std::move(platform))
{
    sample();
}

void EngineHost::handle(const ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const auto route = request.method + ' ' + request.path;
    ++m_counts[request.path.starts_with("/v1/kv/") ? "DELETE /v1/kv" : route];
    if (route == "POST /v1/generate") {
        generate(exchange);
    } else if (route == "POST /v1/cancel") {
        cancel(exchange);
    } else if (route == "GET /v1/holdings") {
        replyJson(exchange, HttpStatus::Ok, encode(m_model.holdings()));
    } else if (route == "GET /v1/load") {
        replyJson(exchange, HttpStatus::Ok, published().load);
    } else if (request.method == "DELETE" && request.path.starts_with("/v1/kv/")) {
        freeBlob(exchange);
    } else if (route == "POST /v1/orders") {
        takeOrder(exchange);
    } else if (route == "GET /v1/events") {
        publishEvents(exchange);
    } else if (route == "POST /faults") {
        setFaults(exchange);
    } else if (route == "GET /counts") {
        replyJson(exchange, HttpStatus::Ok, serialize(boost::json::value_from(m_counts)));
    } else {
        replyError(exchange, HttpStatus::NotFound, "no such resource");
    }
}

void EngineHost::generate(const ExchangePointer &exchange)
{
    auto call = pomeloport::decodeGenerateCall(exchange->takeBody());
    if (!call || !matchesPrompt(*call)) {
        refuse(exchange, RefusalCode::Bad);
        return;
    }
    call->prompt.clear();
    if (const auto refusal = m_model.submit(*call, steadyNow())) {
        refuse(exchange, refusal->code);
        return;
    }
    m_streams[call->stream].exchange = exchange;
    exchange->beginStream(static_cast<unsigned>(HttpStatus::Ok), "application/x-ndjson");
    exchange->onClosed([this, address = call->stream] { readerGone(address); });
    pump();
}

void EngineHost::readerGone(const pomeloport::StreamAddress &address)
{
    m_streams.erase(address);
    if (m_faults.cancelOnDisconnect) {
        m_model.cancel(address, steadyNow());
        pump();
    }
}

void EngineHost::cancel(const ExchangePointer &exchange)
{
    pomeloport::detail::JsonReader reader(exchange->request().body);
    const auto address = pomeloport::parseStreamAddress(reader.text("stream", true));
    if (!address) {
        replyError(exchange, HttpStatus::BadRequest, pomeloport::lastReason());
        return;
    }
    const auto result = m_model.cancel(*address, steadyNow());
    const auto open = m_streams.find(*address);
    if (open != m_streams.end()) {
        open->second.exchange->endStream();
        m_streams.erase(open);
    }
    replyJson(exchange,
              HttpStatus::Ok,
              serialize(boost::json::value{{"existed", result.existed}, {"started", result.started}}));
    pump();
}

void EngineHost::freeBlob(const ExchangePointer &exchange)
{
    const auto blob = exchange->request().path.substr(std::string_view("/v1/kv/").size());
    const bool existed = m_model.freeBlob(blob, steadyNow());
    replyJson(
        exchange, existed ? HttpStatus::Ok : HttpStatus::NotFound, serialize(boost::json::value{{"existed", existed}}));
    pump();
}

void EngineHost::takeOrder(const ExchangePointer &exchange)
{
    const auto order = pomeloport::decodeEngineOrder(exchange->request().body);
    if (!order) {
        replyError(exchange, HttpStatus::BadRequest, pomeloport::lastReason());
        return;
    }
    if (const auto refusal = m_model.order(*order, steadyNow())) {
        replyJson(exchange, HttpStatus::Conflict, encode(*refusal));
        return;
    }
    replyDone(exchange);
    pump();
}

void EngineHost::publishEvents(const ExchangePointer &exchange)
{
    const auto &query = exchange->request().query;
    const auto since = query.find("since");
    auto events = m_model.cacheEvents(since == query.end() ? 0 : std::strtoull(since->second.c_str(), nullptr, 10));
    events.lastSequence = published().lastEvent;
    std::erase_if(events.events, [this, &events](const pomeloport::CacheEvent &event) {
        return event.sequence > events.lastSequence || isLost(event.sequence, m_faults.loseEvents);
    });
    replyJson(exchange, HttpStatus::Ok, encode(events));
}

void EngineHost::setFaults(const ExchangePointer &exchange)
{
    pomeloport::detail::JsonReader reader(exchange->request().body);
    const auto share = [&reader](std::string_view key, double &value) {
        value = reader.find(key) ? reader.real(key) : value;
    };
    double slowdown = 0;
    share("duplicate_chunks", m_faults.duplicateChunks);
    share("swap_chunks", m_faults.swapChunks);
    share("cut_streams", m_faults.cutStreams);
    share("lose_events", m_faults.loseEvents);
    share("slowdown", slowdown);
    if (reader.find("lag_ms")) {
        m_faults.lag = std::chrono::milliseconds(reader.number("lag_ms"));
    }
    if (reader.find("cancel_on_disconnect")) {
        m_faults.cancelOnDisconnect = reader.boolean("cancel_on_disconnect");
    }
    if (slowdown > 0) {
        m_model.setSlowdown(slowdown);
    }
    if (reader.find("stalled")) {
        m_model.setStalled(reader.boolean("stalled"), steadyNow());
    }
    if (reader.find("leaving")) {
        m_model.setLeaving(reader.boolean("leaving"));
    }
    if (reader.find("refusing")) {
        m_model.setRefusing(reader.boolean("refusing"));
    }
    if (!reader.ok()) {
        replyError(exchange, HttpStatus::BadRequest, pomeloport::lastReason());
        return;
    }
    replyDone(exchange);
    pump();
}

void EngineHost::pump()
{
    for (const auto &output : m_model.advance(steadyNow())) {
        std::visit([this](const auto &value) { send(value); }, output);
    }
    arm();
}

void EngineHost::arm()
{
    const auto next = m_model.nextEventAt();
    if (next == pomeloport::Instant::max()) {
        m_stepTimer.cancel();
        return;
    }
    m_stepTimer.expires_at(next);
    m_stepTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            pump();
        }
    });
}

void EngineHost::send(const pomelofake::ChunkOut &chunk)
{
    const auto open = m_streams.find(chunk.stream);
    if (open == m_streams.end()) {
        return;
    }
    auto &[exchange, heldBack] = open->second;
    if (happens(m_faults.cutStreams)) {
        exchange->abort();
        m_streams.erase(open);
        return;
    }
    auto line = encode(pomeloport::StreamChunk{chunk.index, chunk.text}) + '\n';
    if (heldBack.empty() && happens(m_faults.swapChunks)) {
        heldBack = std::move(line);
        return;
    }
    if (happens(m_faults.duplicateChunks)) {
        line += line;
    }
    exchange->write(line + std::exchange(heldBack, {}), [](bool /*ok*/) {});
}

void EngineHost::send(const pomelofake::EndOut &end)
{
    const auto open = m_streams.find(end.stream);
    if (open == m_streams.end()) {
        return;
    }
    auto &[exchange, heldBack] = open->second;
    exchange->write(heldBack + encode(end.end) + '\n', [](bool /*ok*/) {});
    exchange->endStream();
    m_streams.erase(open);
}

void EngineHost::sample()
{
    const auto now = steadyNow();
    m_published.push_back({now, encode(m_model.loadReport(now)), m_model.cacheEvents(~0ULL).lastSequence});
    while (m_published.size() > 1 && m_published[1].at + m_faults.lag <= now) {
        m_published.pop_front();
    }
    if (++m_samples % SamplesPerWeightQuestion == 0) {
        askForWeights();
    }
    m_sampleTimer.expires_after(SampleInterval);
    m_sampleTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sample();
        }
    });
}

/// Asks the weight store for the item awaited, if any; it is asked again later when it refuses.
void EngineHost::askForWeights()
{
    const auto item = m_model.awaitedWeights();
    if (!item || std::exchange(m_askingForWeights, true)) {
        return;
    }
    m_client.send({m_platform, "POST", "/v1/weights/" + *item, {}, {}},
                  [this, item = *item](const std::optional<pomeloport::HttpReply> &reply, bool /*sent*/) {
                      m_askingForWeights = false;
                      if (reply && reply->status == static_cast<unsigned>(HttpStatus::Ok)) {
                          m_model.grantWeights(item, steadyNow());
                          pump();
                      }
                  });
}

const EngineHost::Published &EngineHost::published() const
{
    return m_published.front();
}

bool EngineHost::happens(double share)
{
    return share > 0 && std::uniform_real_distribution<double>()(m_random) < share;
}

} // namespace fakeengine

#include "upstream.h"

#include "pomeloport/protocol/enginemessages.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace benchrelay
{

using namespace pomeloport;

namespace
{

constexpr std::chrono::milliseconds Tick{1};
constexpr std::size_t SlotCount = 20;

std::string tokenText(std::uint64_t index)
{
    return " token" + std::to_string(index);
}

std::uint64_t digestOf(std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t index = 0; index < tokens; ++index) {
        text += tokenText(index);
    }
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

Upstream::Upstream(boost::asio::io_context &context, const std::string &address)
    : m_context(context)
    , m_timer(context)
    , m_server(HttpServer::listen(context,
                                  address,
                                  {},
                                  [this](const std::shared_ptr<HttpExchange> &exchange) { accept(exchange); }))
    , m_slots(SlotCount)
    , m_nextTick(std::chrono::steady_clock::now())
{
    tick();
}

std::string Upstream::address() const
{
    return m_server ? m_server->address() : std::string();
}

void Upstream::setPlan(const UpstreamPlan &plan)
{
    m_plan = plan;
}

void Upstream::accept(const std::shared_ptr<HttpExchange> &exchange)
{
    auto stream = std::make_shared<Stream>(Stream{exchange, m_plan});
    if (m_plan.prefill.count() == 0) {
        begin(stream);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_plan.prefill);
    timer->async_wait([this, stream, timer](boost::system::error_code) { begin(stream); });
}

void Upstream::begin(const std::shared_ptr<Stream> &stream)
{
    stream->exchange->beginStream(200, "application/x-ndjson");
    if (stream->plan.step.count() > 0) {
        m_slots[m_accepted++ % SlotCount].push_back(stream);
    }
    sendNext(stream);
}

void Upstream::sendNext(const std::shared_ptr<Stream> &stream)
{
    if (stream->next == stream->plan.tokens) {
        const StreamEnd end{stream->next, digestOf(stream->next), {}};
        ++stream->next;
        stream->exchange->write(encode(end) + "\n", [](bool) {});
        stream->exchange->endStream();
        return;
    }
    if (stream->plan.holdAfter > 0 && stream->next == stream->plan.holdAfter) {
        m_held.push_back(stream);
        return;
    }
    const StreamChunk chunk{stream->next, tokenText(stream->next)};
    ++stream->next;
    const bool paced = stream->plan.step.count() > 0;
    stream->exchange->write(encode(chunk) + "\n", [this, stream, paced](bool ok) {
        if (ok && !paced) {
            sendNext(stream);
        }
    });
}

/// Sends one token of each stream in the slot whose turn it is; all slots take one step.
void Upstream::tick()
{
    auto &slot = m_slots[m_slot++ % SlotCount];
    for (const auto &stream : slot) {
        sendNext(stream);
    }
    std::erase_if(slot, [](const auto &stream) { return stream->next > stream->plan.tokens; });
    m_nextTick += Tick;
    m_timer.expires_at(m_nextTick);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void Upstream::releaseHeld()
{
    for (const auto &stream : std::exchange(m_held, {})) {
        stream->plan.holdAfter = 0;
        sendNext(stream);
    }
}

} // namespace benchrelay

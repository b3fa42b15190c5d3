#include "claimrunner.h"
#include "controllerlink.h"
#include "requestsession.h"

#include "pomeloport/logging.h"
#include "pomeloport/protocol/jsonfields.h"

#include <algorithm>
#include <utility>

/// The part of RequestSession that carries out the actions of its flow.
namespace pomelorouter
{

using namespace pomeloport;

namespace
{

constexpr std::chrono::milliseconds CancelTimeout{1000};
/// Number of chunks per attempt whose arrival times are passed to placement, which estimates the pace of the engine.
constexpr std::uint64_t TimedChunksPerAttempt = 32;
constexpr unsigned StatusOk = 200;

std::string_view describeResult(event::ClaimResult result)
{
    switch (result) {
    case event::ClaimResult::Acquired:
        return "acquired";
    case event::ClaimResult::Finished:
        return "finished before";
    case event::ClaimResult::InProgress:
        return "held by another request";
    case event::ClaimResult::Uncertain:
        return "uncertain";
    case event::ClaimResult::KeyReused:
        return "key reused";
    case event::ClaimResult::KeyExpired:
        return "key expired";
    case event::ClaimResult::Unavailable:
        return "store unavailable";
    }
    return "unknown";
}

std::string encodeServiceCall(const StreamAddress &address, const RequestSpec &spec, const std::string &body)
{
    return serialize(boost::json::value{
        {"stream", toString(address)}, {"kind", spec.kind}, {"key", spec.idempotencyKey}, {"body", body}});
}

} // namespace

void RequestSession::execute(action::ReserveGroup &action)
{
    const auto &spec = m_flow.spec();
    link::GroupReserve message;
    message.stream = m_address;
    message.model = action.need.model;
    message.adapter = spec.adapter;
    message.version = spec.version;
    message.engines = spec.engines;
    message.tokens = action.need.tokens;
    message.promptTokens = spec.promptTokens;
    message.worth = spec.worth;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(spec.deadline - monotonicNow()).count();
    message.deadlineMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, left));
    trace("asking for a group with " + std::to_string(action.need.tokens) + " tokens of memory");
    if (!m_core->link) {
        feed(event::GroupRefused{
            {Verdict::NotRun, ReasonCode::GroupUnavailable, "this router has no controller", std::nullopt}});
        return;
    }
    m_core->link->reserveGroup(std::move(message),
                               [self = shared_from_this()](FlowEvent event) { self->post(std::move(event)); });
}

void RequestSession::execute(action::ReleaseGroup &action)
{
    if (m_core->link) {
        m_core->link->releaseGroup({action.reservation, m_flow.spec().model, m_address});
    }
}

StreamCall RequestSession::makeCall(const action::OpenAttempt &action, const std::string &serverAddress) const
{
    const auto &spec = m_flow.spec();
    const auto stream = address(action.attempt);
    if (spec.backendKind == BackendKind::Service) {
        return {StreamCallKind::Service, serverAddress, encodeServiceCall(stream, spec, m_prompt)};
    }
    const auto &member = action.route.members[action.member];
    GenerateCall call;
    call.stream = stream;
    call.model = spec.model;
    call.adapter = spec.adapter;
    call.version = spec.version;
    call.promptDigest = spec.promptDigest;
    call.promptTokens = spec.promptTokens;
    call.prefixBlocks = spec.prefixBlocks;
    call.maxTokens = spec.maxTokens;
    call.priority = action.route.priority;
    call.segmentBegin = member.segmentBegin;
    call.segmentEnd = member.segmentEnd;
    call.imports = action.imports;
    call.exportOnly = action.member + 1 < action.route.members.size();
    call.resumeFrom = action.resumeFrom;
    call.prompt = m_prompt;
    return {StreamCallKind::Generate, serverAddress, encode(call)};
}

void RequestSession::execute(action::OpenAttempt &action)
{
    const auto &member = action.route.members[action.member];
    const auto now = monotonicNow();
    if (std::exchange(m_lastAttempt, action.attempt) == 0) {
        m_series->recordQueueWait(now - m_flow.spec().arrival);
    }
    trace("attempt " + std::to_string(action.attempt) + " opens at " + member.backend);
    logEvent(LogLevel::Debug,
             "attempt_opened",
             {{"request", m_id}, {"attempt", action.attempt}, {"backend", member.backend}});
    m_core->placement.attemptOpened(address(action.attempt), m_flow.spec(), member, now);
    const auto serverAddress = m_core->backendAddress(member.backend);
    if (serverAddress.empty()) {
        feed(event::AttemptRefused{action.attempt, RefusalCode::Leaving});
        return;
    }
    OpenStream open{action.attempt, action.member, member.backend, action.member + 1 < action.route.members.size()};
    open.stream = std::make_unique<EngineStream>(
        m_core->client.pool(),
        m_executor,
        makeCall(action, serverAddress),
        [weak = weak_from_this(), attempt = action.attempt, index = action.member](EngineStreamEvent event) {
            if (const auto self = weak.lock()) {
                self->dispatchStreamEvent(attempt, index, std::move(event));
            }
        });
    if (m_paused) {
        open.stream->pause();
    }
    m_streams.push_back(std::move(open));
}

RequestSession::OpenStream *RequestSession::findStream(std::uint32_t attempt, std::size_t member)
{
    const auto found = std::ranges::find_if(
        m_streams, [&](const OpenStream &open) { return open.attempt == attempt && open.member == member; });
    return found == m_streams.end() ? nullptr : &*found;
}

void RequestSession::dispatchStreamEvent(std::uint32_t attempt, std::size_t member, EngineStreamEvent event)
{
    if (auto *open = findStream(attempt, member)) {
        std::visit([this, open](auto &value) { handleStreamEvent(*open, value); }, event);
    }
}

void RequestSession::handleStreamEvent(OpenStream &open, streamevent::Sending & /*event*/)
{
    feed(event::AttemptSending{open.attempt});
}

void RequestSession::handleStreamEvent(OpenStream &open, streamevent::Refused &event)
{
    const auto why = event.unreachable ? std::string_view("unreachable") : nameOf(event.code);
    trace("attempt " + std::to_string(open.attempt) + " refused by " + open.backend + ": " + std::string(why));
    feed(event::AttemptRefused{open.attempt, event.code});
}

void RequestSession::handleStreamEvent(OpenStream &open, streamevent::Chunk &event)
{
    m_batching = true;
    const auto number = open.chunks++;
    if (number == 0) {
        m_core->placement.firstChunk(address(open.attempt), open.backend, monotonicNow());
    } else if (number < TimedChunksPerAttempt) {
        m_core->placement.nextChunk(address(open.attempt), open.backend, monotonicNow());
    }
    feed(event::ChunkArrived{open.attempt, event.chunk.index, std::move(event.chunk.text)});
}

void RequestSession::handleStreamEvent(OpenStream & /*open*/, streamevent::Drained & /*event*/)
{
    m_batching = false;
    m_writer.flush();
}

void RequestSession::handleStreamEvent(OpenStream &open, streamevent::End &event)
{
    m_batching = false;
    if (open.exporting) {
        feed(event::SegmentReady{open.attempt, open.member, std::move(event.end.blob)});
        return;
    }
    feed(event::AttemptEnded{open.attempt, event.end.count, event.end.digest});
}

void RequestSession::handleStreamEvent(OpenStream &open, streamevent::Broken &event)
{
    m_batching = false;
    trace("attempt " + std::to_string(open.attempt) + " broke at " + open.backend + ": " + event.detail);
    logEvent(LogLevel::Warning,
             "attempt_broken",
             {{"request", m_id}, {"attempt", open.attempt}, {"backend", open.backend}, {"detail", event.detail}});
    feed(event::AttemptBroken{open.attempt});
}

void RequestSession::execute(action::CancelAttempt &action)
{
    const auto serverAddress = m_core->backendAddress(action.backend);
    if (serverAddress.empty()) {
        feed(event::CancelSettled{action.attempt, false, false});
        return;
    }
    HttpCall call{serverAddress, "POST", "/v1/cancel", {}, {{"Content-Type", "application/json"}}, CancelTimeout};
    call.body = serialize(boost::json::value{{"stream", toString(address(action.attempt))}});
    m_core->client.send(std::move(call),
                        [self = shared_from_this(), attempt = action.attempt](std::optional<HttpReply> reply, bool) {
                            self->handleCancelReply(attempt, reply);
                        });
}

void RequestSession::handleCancelReply(std::uint32_t attempt, const std::optional<HttpReply> &reply)
{
    event::CancelSettled settled{attempt, false, false};
    if (reply && reply->status == StatusOk) {
        detail::JsonReader reader(std::string_view{reply->body});
        const bool existed = reader.boolean("existed");
        const bool started = reader.boolean("started");
        settled.confirmed = reader.ok() && existed;
        settled.neverRan = settled.confirmed && !started;
    }
    post(settled);
}

void RequestSession::execute(action::FreeBlob &action)
{
    const auto serverAddress = m_core->backendAddress(action.backend);
    if (!serverAddress.empty()) {
        m_core->client.send({serverAddress, "DELETE", "/v1/kv/" + action.blob, {}, {}, CancelTimeout},
                            [](const std::optional<HttpReply> &, bool) {});
    }
}

void RequestSession::execute(action::CloseAttempt &action)
{
    const auto closes = [&action](const OpenStream &open) {
        return open.attempt == action.attempt && open.backend == action.backend;
    };
    m_batching = false;
    std::erase_if(m_streams, closes);
    m_core->placement.attemptClosed(address(action.attempt), action.backend, action.outcome, monotonicNow());
    m_core->notifyNextWaiting();
}

void RequestSession::execute(action::DeliverChunk &action)
{
    const auto now = monotonicNow();
    if (m_deliveredChunks++ == 0) {
        m_series->recordTimeToFirstToken(now - m_flow.spec().arrival);
        trace("first token");
    } else {
        m_series->recordInterTokenLatency(now - m_lastChunkAt);
    }
    m_lastChunkAt = now;
    if (m_callerDisconnected) {
        return;
    }
    m_writer.chunk(action.index, action.text);
    if (m_writer.pendingBytes() > m_core->settings.callerBufferBytes) {
        setPaused(true);
    }
}

void RequestSession::execute(action::DeliverEnd &action)
{
    m_writer.end(action.count, action.digest);
    reportOutcome(Verdict::Ran, std::nullopt);
}

void RequestSession::execute(action::DeliverFailure &action)
{
    m_writer.failure(action.failure);
    reportOutcome(action.failure.verdict, action.failure.reason);
}

void RequestSession::execute(action::Close & /*action*/)
{
    m_flowClosed = true;
}

void RequestSession::execute(action::AcquireClaim & /*action*/)
{
    const auto &spec = m_flow.spec();
    if (!m_claim) {
        m_claim = ClaimRunner::make(m_core, m_executor, m_address, spec, [weak = weak_from_this()](FlowEvent event) {
            if (const auto self = weak.lock()) {
                self->handleClaimEvent(std::move(event));
            }
        });
    }
    if (!m_claim) {
        feed(event::ClaimSettled{event::ClaimResult::Unavailable, {}});
        return;
    }
    m_claim->acquire();
}

void RequestSession::handleClaimEvent(FlowEvent event)
{
    if (const auto *settled = std::get_if<event::ClaimSettled>(&event)) {
        trace("claim: " + std::string(describeResult(settled->result)));
    }
    post(std::move(event));
}

void RequestSession::execute(action::ReleaseClaim & /*action*/)
{
    m_claim ? m_claim->release() : feed(event::ClaimReleased{true});
}

void RequestSession::execute(action::RecordOutcome &action)
{
    m_claim ? m_claim->record(std::move(action.answer)) : feed(event::OutcomeRecorded{false});
}

} // namespace pomelorouter

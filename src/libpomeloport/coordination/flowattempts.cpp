#include "flowcontext.h"

#include <algorithm>

/// The part of FlowContext that runs an attempt: opens its members in order, handles their chunks and ends, and frees
/// segments and reservations.
namespace pomeloport::detail
{

void FlowContext::openMember()
{
    const bool decoding = m_member + 1 == m_routes.back().members.size();
    m_attemptOpen = true;
    m_attemptSent = false;
    m_chunkSeen = false;
    emit(action::OpenAttempt{static_cast<std::uint32_t>(m_routes.size()),
                             m_routes.back(),
                             m_member,
                             m_segments,
                             decoding ? m_answer.nextIndex() : 0});
    m_phase = FlowPhase::Attempting;
}

void FlowContext::attemptSending()
{
    m_attemptSent = true;
    m_sentAt = m_now;
}

void FlowContext::attemptRefused(const event::AttemptRefused &refused)
{
    if (m_chunkSeen) {
        attemptBroken();
        return;
    }
    m_attemptSent = false;
    m_avoidedBackends.push_back(currentBackend());
    closeMember(action::CloseAttempt::Outcome::Refused);
    if (m_failure) {
        releaseGroupResources();
        settleClaim();
        return;
    }
    if (refused.code == RefusalCode::Bad) {
        fail({Verdict::NotRun, ReasonCode::BackendRefused, "the backend server refused the request", std::nullopt});
        return;
    }
    --m_countedAttempts;
    retry(refused.code == RefusalCode::Leaving);
}

void FlowContext::segmentReady(const event::SegmentReady &ready)
{
    const std::vector<RouteMember> &members = m_routes.back().members;
    if (ready.member != m_member || m_member + 1 >= members.size()) {
        freeLateSegment(ready);
        return;
    }
    const RouteMember &member = members[m_member];
    m_mayHaveRun = true;
    m_segments.push_back({member.backend, ready.blob, member.segmentEnd - member.segmentBegin});
    closeMember(action::CloseAttempt::Outcome::Completed);
    ++m_member;
    openMember();
}

void FlowContext::chunkArrived(const event::ChunkArrived &chunk)
{
    m_attemptSent = true;
    m_chunkSeen = true;
    m_stallAt = m_now + m_limits.stallTimeout;
    m_answer.addChunk(chunk.index, chunk.text, [this](std::uint64_t index, std::string text) {
        emit(action::DeliverChunk{index, std::move(text)});
    });
    finishIfComplete();
}

void FlowContext::attemptEnded(const event::AttemptEnded &ended)
{
    m_attemptSent = true;
    m_chunkSeen = true;
    m_stallAt = m_now + m_limits.stallTimeout;
    m_answer.setEndMarker(ended.count, ended.digest);
    finishIfComplete();
}

void FlowContext::finishIfComplete()
{
    const AnswerAssembler::State state = m_answer.state();
    if (state == AnswerAssembler::State::Incomplete) {
        return;
    }
    if (state == AnswerAssembler::State::Corrupt) {
        m_mayHaveRun = true;
        m_attemptSent = false;
        closeMember(action::CloseAttempt::Outcome::Broken);
        fail({Verdict::MayHaveRun,
              ReasonCode::StreamBroken,
              "the chunk count or digest of the answer does not match",
              std::nullopt});
        return;
    }
    m_ran = true;
    closeMember(action::CloseAttempt::Outcome::Completed);
    releaseGroupResources();
    emit(action::DeliverEnd{m_answer.nextIndex(), m_answer.digest()});
    m_outcomeDelivered = true;
    if (!m_claimPossible) {
        emit(action::Close{});
        m_phase = FlowPhase::Closed;
        return;
    }
    emit(action::RecordOutcome{m_answer.text()});
    m_phase = FlowPhase::Recording;
}

void FlowContext::closeMember(action::CloseAttempt::Outcome outcome)
{
    emit(action::CloseAttempt{static_cast<std::uint32_t>(m_routes.size()), currentBackend(), outcome});
    m_attemptOpen = false;
}

void FlowContext::cancelMember()
{
    emit(action::CancelAttempt{static_cast<std::uint32_t>(m_routes.size()), currentBackend()});
}

void FlowContext::releaseGroupResources()
{
    for (const KvReference &segment : m_segments) {
        emit(action::FreeBlob{segment.engine, segment.blob});
    }
    m_segments.clear();
    if (m_reservation != 0) {
        emit(action::ReleaseGroup{m_reservation});
        m_reservation = 0;
    }
}

void FlowContext::releaseUnusedGroup(const event::GroupGranted &granted)
{
    if (granted.route.reservation != 0 && granted.route.reservation != m_reservation) {
        emit(action::ReleaseGroup{granted.route.reservation});
    }
}

void FlowContext::freeLateSegment(const event::SegmentReady &ready)
{
    const bool inUse = std::any_of(m_segments.begin(), m_segments.end(), [&ready](const KvReference &segment) {
        return segment.blob == ready.blob;
    });
    if (inUse || ready.attempt == 0 || ready.attempt > m_routes.size()) {
        return;
    }
    const std::vector<RouteMember> &members = m_routes[ready.attempt - 1].members;
    if (ready.member < members.size()) {
        emit(action::FreeBlob{members[ready.member].backend, ready.blob});
    }
}

} // namespace pomeloport::detail

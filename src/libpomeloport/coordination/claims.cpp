#include "pomeloport/coordination/claims.h"

#include <algorithm>

namespace pomeloport
{

using link::ClaimHolderState;

ClaimStateMachine::ClaimStateMachine(ClaimKey key,
                                     StreamAddress self,
                                     std::uint64_t bodyDigest,
                                     ClaimLimits limits,
                                     std::uint64_t seed)
    : m_key(std::move(key))
    , m_self(std::move(self))
    , m_bodyDigest(bodyDigest)
    , m_limits(limits)
    , m_random(seed)
{
    m_self.attempt = 0;
}

std::vector<ClaimAction> ClaimStateMachine::handle(const ClaimEvent &event, Instant now, WallTime wall)
{
    m_now = now;
    m_wall = wall;
    m_actions.clear();
    std::visit([this](const auto &typedEvent) { process(typedEvent); }, event);
    return std::move(m_actions);
}

ClaimHolderState ClaimStateMachine::holderState() const
{
    if (m_goal == Goal::Release) {
        return ClaimHolderState::GivenUp;
    }
    return m_done ? ClaimHolderState::Uncertain : ClaimHolderState::Open;
}

bool ClaimStateMachine::done() const
{
    return m_done;
}

void ClaimStateMachine::process(const claimevent::Acquire &event)
{
    m_goal = Goal::Acquire;
    m_objectKnown = event.storeHealthy;
    advance();
}

void ClaimStateMachine::process(const claimevent::Release & /*event*/)
{
    m_goal = Goal::Release;
    m_failureCount = 0;
    advance();
}

void ClaimStateMachine::process(const claimevent::Record &event)
{
    m_goal = Goal::Record;
    m_answer = event.answer;
    m_failureCount = 0;
    advance();
}

void ClaimStateMachine::process(const claimevent::HolderAnswered &event)
{
    if (!m_holderQueryPending) {
        return;
    }
    m_holderQueryPending = false;
    if (m_goal != Goal::Acquire) {
        return;
    }
    switch (event.state) {
    case ClaimHolderState::Open:
        reportResult(event::ClaimResult::InProgress);
        return;
    case ClaimHolderState::GivenUp:
        m_givenUpVersion = objectVersion();
        break;
    case ClaimHolderState::Gone:
    case ClaimHolderState::Uncertain:
        // The outcome may have been recorded while the holder was being queried, so the claim is read once more.
        m_uncertainVersion = objectVersion();
        m_objectKnown = false;
        break;
    case ClaimHolderState::Unreachable:
        if (++m_unreachableCount >= m_limits.maximumHolderQueries) {
            reportResult(event::ClaimResult::Uncertain);
            return;
        }
        m_objectKnown = false;
        scheduleRetry();
        return;
    }
    advance();
}

void ClaimStateMachine::process(const claimevent::RetryDue & /*event*/)
{
    if (m_retryArmed) {
        m_retryArmed = false;
        advance();
    }
}

void ClaimStateMachine::process(const claimevent::StoreAnswered &event)
{
    if (!m_pendingCall || event.reply.id != m_pendingCall->id) {
        return;
    }
    const StoreCall call = *m_pendingCall;
    m_pendingCall.reset();
    const bool write = call.operation != StoreOperation::Get;
    switch (event.reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict:
        if (event.reply.objects.empty()) {
            m_objectKnown = false;
            scheduleRetry();
            return;
        }
        updateObject(event.reply.objects.front());
        if (!m_objectKnown) {
            scheduleRetry();
            return;
        }
        m_failureCount = 0;
        break;
    case StoreStatus::NotFound:
        if (m_object && !write) {
            scheduleRetry();
            return;
        }
        m_object.reset();
        m_record.reset();
        m_objectKnown = true;
        break;
    case StoreStatus::Rejected:
        scheduleRetry();
        return;
    case StoreStatus::Unavailable:
    case StoreStatus::HistoryGone:
        if (write) {
            m_unconfirmedWrite = UnconfirmedWrite{call.operation, call.ifVersion};
        }
        m_objectKnown = false;
        scheduleRetry();
        return;
    }
    advance();
}

/// Reads may be stale, so a version older than one already seen is ignored and the object counts as unknown.
void ClaimStateMachine::updateObject(const StoreObject &object)
{
    m_objectKnown = object.version >= objectVersion();
    if (!m_objectKnown) {
        return;
    }
    m_object = object;
    m_record = decodeClaimRecord(object.value);
}

void ClaimStateMachine::advance()
{
    if (m_pendingCall || m_retryArmed || m_done) {
        return;
    }
    switch (m_goal) {
    case Goal::None:
        return;
    case Goal::Acquire:
        return advanceAcquire();
    case Goal::Release:
        return advanceRelease();
    case Goal::Record:
        return advanceRecord();
    }
}

void ClaimStateMachine::advanceAcquire()
{
    if (m_held || m_holderQueryPending) {
        return;
    }
    if (keyExpired()) {
        reportResult(event::ClaimResult::KeyExpired);
        return;
    }
    if (!m_objectKnown) {
        callStore(StoreOperation::Get);
        return;
    }
    if (!m_object) {
        callStore(StoreOperation::Create);
        return;
    }
    if (ownsRecord() && m_record->phase == ClaimPhase::Held) {
        m_held = true;
        reportResult(event::ClaimResult::Acquired);
        return;
    }
    if (!m_record) {
        reportResult(event::ClaimResult::Uncertain);
        return;
    }
    if (m_record->bodyDigest != m_bodyDigest || m_record->issuedAt != m_key.issuedAt) {
        reportResult(event::ClaimResult::KeyReused);
        return;
    }
    evaluateForeignRecord(*m_record);
}

void ClaimStateMachine::evaluateForeignRecord(const ClaimRecord &record)
{
    if (record.phase == ClaimPhase::Finished) {
        reportResult(record.answerOmitted ? event::ClaimResult::Uncertain : event::ClaimResult::Finished,
                     record.answer);
        return;
    }
    const bool available = record.phase == ClaimPhase::Released || objectVersion() == m_givenUpVersion;
    if (available) {
        callStore(StoreOperation::Update, ClaimPhase::Held);
        return;
    }
    if (objectVersion() == m_uncertainVersion) {
        reportResult(event::ClaimResult::Uncertain);
        return;
    }
    m_holderQueryPending = true;
    m_actions.emplace_back(claimaction::AskHolder{record.holder});
}

void ClaimStateMachine::advanceRelease()
{
    const bool ownClaimHeld = m_held || (m_object && ownsRecord() && m_record->phase == ClaimPhase::Held);
    const bool retentionPassed = m_wall > m_key.issuedAt + m_limits.retention;
    if (retentionPassed || (!ownClaimHeld && !writeMayTakeEffect())) {
        finish(event::ClaimReleased{true});
        return;
    }
    if (!m_objectKnown) {
        callStore(StoreOperation::Get);
        return;
    }
    if (!m_object) {
        // The claim's own creation may still be in transit. Creating the object as released makes that late write fail.
        callStore(StoreOperation::Create, ClaimPhase::Released);
        return;
    }
    if (!ownsRecord() && !writeMayTakeEffect()) {
        m_held = false;
        finish(event::ClaimReleased{true});
        return;
    }
    if (ownsRecord() && m_record->phase == ClaimPhase::Released) {
        finish(event::ClaimReleased{true});
        return;
    }
    callStore(StoreOperation::Update, ClaimPhase::Released);
}

void ClaimStateMachine::advanceRecord()
{
    if (m_wall > m_key.issuedAt + m_limits.retention) {
        finish(event::OutcomeRecorded{false});
        return;
    }
    if (!m_objectKnown) {
        callStore(StoreOperation::Get);
        return;
    }
    if (!m_object || !ownsRecord()) {
        finish(event::OutcomeRecorded{false});
        return;
    }
    if (m_record->phase == ClaimPhase::Finished) {
        finish(event::OutcomeRecorded{true});
        return;
    }
    callStore(StoreOperation::Update, ClaimPhase::Finished);
}

void ClaimStateMachine::callStore(StoreOperation operation, ClaimPhase phase)
{
    StoreCall call;
    call.id = ++m_lastCallId;
    call.operation = operation;
    call.kind = ClaimKind;
    call.name = claimName(m_key);
    if (operation != StoreOperation::Get) {
        const bool answerFits = m_answer.size() <= m_limits.maximumAnswerBytes;
        const bool finished = phase == ClaimPhase::Finished;
        call.value = encode(ClaimRecord{
            phase, m_self, m_bodyDigest, m_key.issuedAt, finished && answerFits ? m_answer : "", !answerFits});
        call.ifVersion = operation == StoreOperation::Update ? objectVersion() : 0;
    }
    m_pendingCall = call;
    m_actions.emplace_back(claimaction::CallStore{std::move(call)});
}

void ClaimStateMachine::scheduleRetry()
{
    Duration delay = m_limits.firstRetryDelay;
    for (std::uint32_t failure = 0; failure < m_failureCount && delay < m_limits.maximumRetryDelay; ++failure) {
        delay *= 2;
    }
    ++m_failureCount;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    delay = fromSeconds(seconds(std::min(delay, m_limits.maximumRetryDelay)) * jitter(m_random));
    m_retryArmed = true;
    m_actions.emplace_back(claimaction::ArmRetry{m_now + delay});
}

void ClaimStateMachine::reportResult(event::ClaimResult result, std::string answer)
{
    if (result != event::ClaimResult::Acquired) {
        m_goal = Goal::None;
    }
    m_actions.emplace_back(claimaction::Tell{event::ClaimSettled{result, std::move(answer)}});
}

void ClaimStateMachine::finish(FlowEvent event)
{
    m_done = true;
    m_actions.emplace_back(claimaction::Tell{std::move(event)});
}

bool ClaimStateMachine::ownsRecord() const
{
    return m_record && m_record->holder == m_self;
}

bool ClaimStateMachine::writeMayTakeEffect() const
{
    if (!m_unconfirmedWrite) {
        return false;
    }
    // A conditional update can no longer take effect once a newer version has been seen, and a creation no longer once
    // any version has been seen.
    return objectVersion() <= m_unconfirmedWrite->ifVersion;
}

bool ClaimStateMachine::keyExpired() const
{
    return m_wall > m_key.issuedAt + m_limits.retention || m_key.issuedAt > m_wall + m_limits.clockSkew;
}

std::uint64_t ClaimStateMachine::objectVersion() const
{
    return m_object ? m_object->version : 0;
}

} // namespace pomeloport

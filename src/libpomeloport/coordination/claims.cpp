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
    std::visit([this](const auto &taken) { take(taken); }, event);
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

void ClaimStateMachine::take(const claimevent::Acquire &event)
{
    m_goal = Goal::Acquire;
    m_known = event.storeHealthy;
    advance();
}

void ClaimStateMachine::take(const claimevent::Release & /*event*/)
{
    m_goal = Goal::Release;
    m_failures = 0;
    advance();
}

void ClaimStateMachine::take(const claimevent::Record &event)
{
    m_goal = Goal::Record;
    m_answer = event.answer;
    m_failures = 0;
    advance();
}

void ClaimStateMachine::take(const claimevent::HolderAnswered &event)
{
    if (!m_asking) {
        return;
    }
    m_asking = false;
    if (m_goal != Goal::Acquire) {
        return;
    }
    switch (event.state) {
    case ClaimHolderState::Open:
        settle(event::ClaimResult::InProgress);
        return;
    case ClaimHolderState::GivenUp:
        m_givenUpVersion = objectVersion();
        break;
    case ClaimHolderState::Gone:
    case ClaimHolderState::Uncertain:
        // The outcome may have been recorded while the holder was asked, so the claim is read once more.
        m_doubtedVersion = objectVersion();
        m_known = false;
        break;
    case ClaimHolderState::Unreachable:
        if (++m_questions >= m_limits.holderQuestions) {
            settle(event::ClaimResult::Uncertain);
            return;
        }
        m_known = false;
        retryLater();
        return;
    }
    advance();
}

void ClaimStateMachine::take(const claimevent::RetryDue & /*event*/)
{
    if (m_retryArmed) {
        m_retryArmed = false;
        advance();
    }
}

void ClaimStateMachine::take(const claimevent::StoreAnswered &event)
{
    if (!m_underWay || event.reply.id != m_underWay->id) {
        return;
    }
    const StoreCall call = *m_underWay;
    m_underWay.reset();
    const bool write = call.operation != StoreOperation::Get;
    switch (event.reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict:
        if (event.reply.objects.empty()) {
            m_known = false;
            retryLater();
            return;
        }
        adopt(event.reply.objects.front());
        if (!m_known) {
            retryLater();
            return;
        }
        m_failures = 0;
        break;
    case StoreStatus::NotFound:
        if (m_object && !write) {
            retryLater();
            return;
        }
        m_object.reset();
        m_record.reset();
        m_known = true;
        break;
    case StoreStatus::Rejected:
        retryLater();
        return;
    case StoreStatus::Unavailable:
    case StoreStatus::HistoryGone:
        if (write) {
            m_openWrite = OpenWrite{call.operation, call.ifVersion};
        }
        m_known = false;
        retryLater();
        return;
    }
    advance();
}

/// A read may lag: a version below one seen before says nothing.
void ClaimStateMachine::adopt(const StoreObject &object)
{
    m_known = object.version >= objectVersion();
    if (!m_known) {
        return;
    }
    m_object = object;
    m_record = decodeClaimRecord(object.value);
}

void ClaimStateMachine::advance()
{
    if (m_underWay || m_retryArmed || m_done) {
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
    if (m_held || m_asking) {
        return;
    }
    if (keyExpired()) {
        settle(event::ClaimResult::KeyExpired);
        return;
    }
    if (!m_known) {
        callStore(StoreOperation::Get);
        return;
    }
    if (!m_object) {
        callStore(StoreOperation::Create);
        return;
    }
    if (isMine() && m_record->phase == ClaimPhase::Held) {
        m_held = true;
        settle(event::ClaimResult::Acquired);
        return;
    }
    if (!m_record) {
        settle(event::ClaimResult::Uncertain);
        return;
    }
    if (m_record->bodyDigest != m_bodyDigest || m_record->issuedAt != m_key.issuedAt) {
        settle(event::ClaimResult::KeyReused);
        return;
    }
    judgeOther(*m_record);
}

void ClaimStateMachine::judgeOther(const ClaimRecord &record)
{
    if (record.phase == ClaimPhase::Finished) {
        settle(record.answerOmitted ? event::ClaimResult::Uncertain : event::ClaimResult::Finished, record.answer);
        return;
    }
    const bool free = record.phase == ClaimPhase::Released || objectVersion() == m_givenUpVersion;
    if (free) {
        callStore(StoreOperation::Update, ClaimPhase::Held);
        return;
    }
    if (objectVersion() == m_doubtedVersion) {
        settle(event::ClaimResult::Uncertain);
        return;
    }
    m_asking = true;
    m_actions.emplace_back(claimaction::AskHolder{record.holder});
}

void ClaimStateMachine::advanceRelease()
{
    const bool mineHeld = m_held || (m_object && isMine() && m_record->phase == ClaimPhase::Held);
    const bool keyForgotten = m_wall > m_key.issuedAt + m_limits.retention;
    if (keyForgotten || (!mineHeld && !mayStillWrite())) {
        finish(event::ClaimReleased{true});
        return;
    }
    if (!m_known) {
        callStore(StoreOperation::Get);
        return;
    }
    if (!m_object) {
        // A record of the release keeps a late write of the claim from taking effect.
        callStore(StoreOperation::Create, ClaimPhase::Released);
        return;
    }
    if (!isMine() && !mayStillWrite()) {
        m_held = false;
        finish(event::ClaimReleased{true});
        return;
    }
    if (isMine() && m_record->phase == ClaimPhase::Released) {
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
    if (!m_known) {
        callStore(StoreOperation::Get);
        return;
    }
    if (!m_object || !isMine()) {
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
        const bool fits = m_answer.size() <= m_limits.maximumAnswerBytes;
        const bool finished = phase == ClaimPhase::Finished;
        call.value =
            encode(ClaimRecord{phase, m_self, m_bodyDigest, m_key.issuedAt, finished && fits ? m_answer : "", !fits});
        call.ifVersion = operation == StoreOperation::Update ? objectVersion() : 0;
    }
    m_underWay = call;
    m_actions.emplace_back(claimaction::CallStore{std::move(call)});
}

void ClaimStateMachine::retryLater()
{
    Duration delay = m_limits.firstRetryDelay;
    for (std::uint32_t failure = 0; failure < m_failures && delay < m_limits.maximumRetryDelay; ++failure) {
        delay *= 2;
    }
    ++m_failures;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    delay = fromSeconds(seconds(std::min(delay, m_limits.maximumRetryDelay)) * jitter(m_random));
    m_retryArmed = true;
    m_actions.emplace_back(claimaction::ArmRetry{m_now + delay});
}

void ClaimStateMachine::settle(event::ClaimResult result, std::string answer)
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

bool ClaimStateMachine::isMine() const
{
    return m_record && m_record->holder == m_self;
}

bool ClaimStateMachine::mayStillWrite() const
{
    if (!m_openWrite) {
        return false;
    }
    // A conditional write can no longer take effect once a later version was seen; a creation, once anything was.
    return objectVersion() <= m_openWrite->ifVersion;
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

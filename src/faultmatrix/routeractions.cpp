#include "router.h"
#include "world.h"

#include "pomeloport/coordination/eligibility.h"
#include "pomeloport/coordination/rendezvous.h"

/// How the router of a run carries out the actions of request lifecycles and claims.
namespace faultmatrix
{

using namespace pomeloport;

namespace
{

constexpr Duration GroupRetry = std::chrono::seconds(1);

} // namespace

void Router::perform(std::uint64_t sequence, const action::AcquireClaim & /*action*/)
{
    if (m_world.mutant(Mutant::SkipClaim)) {
        feedLater(sequence, event::ClaimSettled{event::ClaimResult::Acquired, ""});
        return;
    }
    feedClaim(sequence, claimevent::Acquire{m_storeHealthy});
}

void Router::perform(std::uint64_t sequence, const action::ReleaseClaim & /*action*/)
{
    if (m_world.mutant(Mutant::ForgetRelease) || m_world.mutant(Mutant::SkipClaim)) {
        feedLater(sequence, event::ClaimReleased{true});
        return;
    }
    feedClaim(sequence, claimevent::Release{});
}

void Router::perform(std::uint64_t sequence, const action::RecordOutcome &action)
{
    if (m_world.mutant(Mutant::ForgetRecord) || m_world.mutant(Mutant::SkipClaim)) {
        feedLater(sequence, event::OutcomeRecorded{true});
        return;
    }
    feedClaim(sequence, claimevent::Record{action.answer});
}

void Router::perform(std::uint64_t sequence, const action::ReserveGroup &action)
{
    const Entry &entry = m_entries.at(sequence);
    const RequestSpec &spec = entry.flow->spec();
    const InstanceView *coordinator = groupCoordinatorOf(spec.model, std::string(Region), m_snapshot->instances);
    if (coordinator && m_world.reachable(m_instance, coordinator->id.instance)) {
        GroupNeed need;
        need.stream = addressOf(sequence, 0);
        need.pool = poolKey(spec);
        need.promptTokens = spec.promptTokens;
        need.tokens = action.need.tokens;
        need.deadline = spec.deadline;
        const std::shared_ptr<Controller> asked = m_world.instance(coordinator->id.instance).controller;
        asked->process()->post(2 * NetworkDelay, [asked, need] { asked->reserveGroup({need}); });
    }
    m_process->post(GroupRetry, [this, sequence, action] {
        const auto found = m_entries.find(sequence);
        if (found != m_entries.end() && found->second.flow->stateName() == "grouping") {
            perform(sequence, action);
        }
    });
}

void Router::perform(std::uint64_t sequence, const action::ReleaseGroup & /*action*/)
{
    for (Instance &instance : m_world.instances()) {
        if (m_world.reachable(m_instance, instance.name)) {
            const std::shared_ptr<Controller> told = instance.controller;
            told->process()->post(2 * NetworkDelay,
                                  [told, stream = addressOf(sequence, 0)] { told->releaseGroup(stream); });
        }
    }
}

void Router::perform(std::uint64_t sequence, const action::OpenAttempt &action)
{
    Entry &entry = m_entries.at(sequence);
    entry.routes[action.attempt] = action.route;
    const std::string &backend = action.route.members[action.member].backend;
    m_world.step(Step::Send, {m_instance, backend, entry.sending, addressOf(sequence, action.attempt)});
    whenRunning([this, sequence, action] { openConnection(sequence, action); });
}

/// Does something now, or after the pause that a fault has just begun, or never when the process has just ended.
void Router::whenRunning(const Task &task)
{
    if (m_process->running()) {
        task();
    } else {
        m_process->post({}, task);
    }
}

void Router::openConnection(std::uint64_t sequence, const action::OpenAttempt &action)
{
    const auto found = m_entries.find(sequence);
    if (found == m_entries.end()) {
        return;
    }
    const Entry &entry = found->second;
    const RequestSpec &spec = entry.flow->spec();
    const RouteMember &member = action.route.members[action.member];
    const StreamAddress stream = addressOf(sequence, action.attempt);
    m_world.clock().trace("attempt " + toString(stream) + " goes to " + member.backend + " (member "
                          + std::to_string(action.member) + " of " + std::to_string(action.route.members.size()) + ')');
    m_placement->attemptOpened(stream, spec, member, m_world.clock().now());
    GenerateCall call;
    call.stream = stream;
    call.model = spec.model;
    call.promptDigest = spec.promptDigest;
    call.promptTokens = spec.promptTokens;
    call.maxTokens = spec.maxTokens;
    call.priority = action.route.priority;
    call.imports = action.imports;
    call.resumeFrom = action.resumeFrom;
    if (action.route.members.size() > 1) {
        call.segmentBegin = member.segmentBegin;
        call.segmentEnd = member.segmentEnd;
        call.exportOnly = action.member + 1 < action.route.members.size();
    }
    const ConnectionFault fault = m_world.takeConnectionFault(m_instance);
    const auto sink = [this, sequence, backend = member.backend, stream](const FlowEvent &event) {
        if (std::holds_alternative<event::ChunkArrived>(event)) {
            m_placement->firstChunk(stream, backend, m_world.clock().now());
        }
        const auto *refused = std::get_if<event::AttemptRefused>(&event);
        if (refused && refused->code == RefusalCode::Leaving && !m_world.mutant(Mutant::IgnoreLeaving)) {
            m_leavingBackends[backend] = m_world.clock().now();
            adopt();
        }
        received(sequence, event);
    };
    m_world.backend(member.backend).open(m_process, call, action.member, spec.idempotencyKey, fault, sink);
}

void Router::received(std::uint64_t sequence, FlowEvent event)
{
    announce(sequence, event);
    const auto *broken = std::get_if<event::AttemptBroken>(&event);
    if (broken && m_world.mutant(Mutant::ResendBrokenAction)) {
        event = event::AttemptRefused{broken->attempt, RefusalCode::Full};
    }
    const bool chunk = std::holds_alternative<event::ChunkArrived>(event);
    if (chunk && !m_entries.empty() && m_world.mutant(Mutant::IgnoreStreamAddress)) {
        sequence = m_entries.rbegin()->first;
    }
    whenRunning([this, sequence, event] { feed(sequence, event); });
}

/// Announces the steps that an event from a backend server stands for, before it is handled.
void Router::announce(std::uint64_t sequence, const FlowEvent &event)
{
    const auto found = m_entries.find(sequence);
    if (found == m_entries.end()) {
        return;
    }
    StepContext context{m_instance, {}, found->second.sending, {}};
    const auto place = [&](std::uint32_t attempt) {
        context.stream = addressOf(sequence, attempt);
        context.backend = found->second.routes[attempt].members.back().backend;
    };
    const std::uint64_t chunks = found->second.flow->spec().maxTokens;
    if (const auto *chunk = std::get_if<event::ChunkArrived>(&event)) {
        place(chunk->attempt);
        if (chunk->index == 0) {
            m_world.step(Step::FirstToken, context);
        }
        if (chunk->index == chunks / 2) {
            m_world.step(Step::MidStream, context);
        }
    } else if (const auto *ended = std::get_if<event::AttemptEnded>(&event)) {
        place(ended->attempt);
        m_world.step(Step::End, context);
    }
}

void Router::perform(std::uint64_t sequence, const action::CancelAttempt &action)
{
    const StreamAddress stream = addressOf(sequence, action.attempt);
    m_world.step(Step::Cancel, {m_instance, action.backend, m_entries.at(sequence).sending, stream});
    whenRunning([this, sequence, action] { cancelNow(sequence, action); });
}

void Router::cancelNow(std::uint64_t sequence, const action::CancelAttempt &action)
{
    const StreamAddress stream = addressOf(sequence, action.attempt);
    BackendHost &backend = m_world.backend(action.backend);
    const ConnectionFault fault = m_world.takeConnectionFault(m_instance);
    const auto settled = [this, sequence, action](bool neverRan, bool confirmed) {
        feedLater(sequence, event::CancelSettled{action.attempt, neverRan, confirmed});
    };
    if (fault == ConnectionFault::BeforeSend || !backend.isEngine() || !backend.alive()) {
        m_process->post(2 * NetworkDelay, [settled] { settled(false, false); });
        return;
    }
    m_world.clock().after(NetworkDelay, [this, &backend, stream, fault, settled] {
        if (!backend.alive()) {
            m_process->post(NetworkDelay, [settled] { settled(false, false); });
            return;
        }
        const pomelofake::CancelResult result = backend.cancel(stream);
        const bool answered = fault != ConnectionFault::AfterSend;
        const bool neverRan = answered && result.existed && !result.started;
        m_process->post(NetworkDelay, [settled, neverRan, answered] { settled(neverRan, answered); });
    });
}

void Router::perform(std::uint64_t /*sequence*/, const action::FreeBlob &action)
{
    if (m_world.mutant(Mutant::ForgetBlobs)) {
        return;
    }
    BackendHost &backend = m_world.backend(action.backend);
    m_world.clock().after(NetworkDelay, [&backend, blob = action.blob] {
        if (backend.alive()) {
            backend.freeBlob(blob);
        }
    });
}

void Router::perform(std::uint64_t sequence, const action::CloseAttempt &action)
{
    const StreamAddress stream = addressOf(sequence, action.attempt);
    m_world.backend(action.backend).close(stream);
    m_placement->attemptClosed(stream, action.backend, action.outcome, m_world.clock().now());
    freeCapacity();
}

void Router::perform(std::uint64_t sequence, const action::DeliverChunk &action)
{
    const std::size_t sending = m_entries.at(sequence).sending;
    const int copies = m_world.mutant(Mutant::DeliverTwice) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        m_world.clock().after(NetworkDelay, [this, sending, action] {
            if (!m_world.truth().sendings()[sending].cancelled) {
                m_world.truth().chunk(sending, action.index, action.text);
            }
        });
    }
}

void Router::perform(std::uint64_t sequence, const action::DeliverEnd &action)
{
    const std::size_t sending = m_entries.at(sequence).sending;
    m_world.clock().after(NetworkDelay, [this, sending, action] {
        if (!m_world.truth().sendings()[sending].cancelled) {
            m_world.truth().ended(sending, action.count, action.digest);
        }
    });
}

void Router::perform(std::uint64_t sequence, const action::DeliverFailure &action)
{
    const std::size_t sending = m_entries.at(sequence).sending;
    Failure failure = action.failure;
    if (m_world.mutant(Mutant::TellNotRunAlways)) {
        failure.verdict = Verdict::NotRun;
    }
    m_world.clock().after(NetworkDelay, [this, sending, failure] {
        if (!m_world.truth().sendings()[sending].cancelled) {
            m_world.truth().failed(sending, failure);
        }
    });
}

void Router::perform(std::uint64_t sequence, const action::ArmTimer &action)
{
    if (m_world.mutant(Mutant::DropTimers)) {
        return;
    }
    const std::uint64_t timer = ++m_entries.at(sequence).timer;
    m_process->post(std::max(action.at - m_world.clock().now(), Duration::zero()), [this, sequence, timer] {
        const auto found = m_entries.find(sequence);
        if (found != m_entries.end() && found->second.timer == timer) {
            feed(sequence, event::TimerFired{});
        }
    });
}

void Router::perform(std::uint64_t sequence, const action::Close & /*action*/)
{
    m_placement->abandoned(m_entries.at(sequence).flow->spec());
    m_process->post({}, [this, sequence] { m_entries.erase(sequence); });
}

void Router::performClaim(std::uint64_t sequence, const claimaction::CallStore &action)
{
    const std::size_t sending = m_entries.at(sequence).sending;
    const auto record = decodeClaimRecord(action.call.value);
    if (record && record->phase == ClaimPhase::Held) {
        m_world.step(Step::Claim, {m_instance, {}, sending, {}});
    }
    if (record && record->phase == ClaimPhase::Finished) {
        m_world.step(Step::Record, {m_instance, {}, sending, {}});
    }
    whenRunning([this, sequence, call = action.call] { callStore(sequence, call); });
}

void Router::callStore(std::uint64_t sequence, const StoreCall &call)
{
    m_world.store().call(m_process, m_instance, call, [this, sequence](const StoreReply &reply) {
        m_storeHealthy = reply.status != StoreStatus::Unavailable;
        feedClaim(sequence, claimevent::StoreAnswered{reply});
    });
}

void Router::performClaim(std::uint64_t sequence, const claimaction::AskHolder &action)
{
    const auto state = std::make_shared<link::ClaimHolderState>(link::ClaimHolderState::Unreachable);
    const auto answer = [this, sequence, state] {
        feedClaim(sequence, claimevent::HolderAnswered{*state});
    };
    const auto ask = [state, holder = action.holder](const Router &router) {
        *state = router.holderState(holder);
    };
    m_world.askRouter(m_process, m_instance, action.holder.owner.instance, ask, answer, [this, sequence] {
        feedClaim(sequence, claimevent::HolderAnswered{link::ClaimHolderState::Unreachable});
    });
}

void Router::performClaim(std::uint64_t sequence, const claimaction::Tell &action)
{
    feedLater(sequence, action.event);
}

void Router::performClaim(std::uint64_t sequence, const claimaction::ArmRetry &action)
{
    const std::uint64_t timer = ++m_entries.at(sequence).claimTimer;
    m_process->post(std::max(action.at - m_world.clock().now(), Duration::zero()), [this, sequence, timer] {
        const auto found = m_entries.find(sequence);
        if (found != m_entries.end() && found->second.claimTimer == timer) {
            feedClaim(sequence, claimevent::RetryDue{});
        }
    });
}

} // namespace faultmatrix

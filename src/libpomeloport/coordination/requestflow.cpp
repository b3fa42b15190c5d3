#include "pomeloport/coordination/requestflow.h"

#include "flowcontext.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pomeloport
{

namespace detail
{

/// Events that the lifecycle raises itself: expired timers, and the phase that a decision chose.
namespace raised
{

struct GiveUp
{
    ReasonCode reason = ReasonCode::Internal;
    const char *detail = "";
    std::optional<std::chrono::milliseconds> retryAfter;
};

struct WakeUp
{
};

struct Stalled
{
};

struct CancelUnanswered
{
};

struct DeadlinePassed
{
};

template<FlowPhase Phase>
struct Decided
{
};

} // namespace raised

namespace msm = boost::msm;

/// The state machine of one request. An event in a waiting state runs one decision and enters the state Deciding. From
/// there the event Decided leads to the phase that the decision chose.
class FlowMachineDefinition : public msm::front::state_machine_def<FlowMachineDefinition>
{
public:
    explicit FlowMachineDefinition(FlowContext *context)
        : m_context(context)
    {
    }

    template<FlowPhase Phase>
    struct State : public msm::front::state<>
    {
    };
    struct Deciding : public msm::front::state<>
    {
    };
    using Idle = State<FlowPhase::Idle>;
    using Claiming = State<FlowPhase::Claiming>;
    using Waiting = State<FlowPhase::Waiting>;
    using Grouping = State<FlowPhase::Grouping>;
    using Attempting = State<FlowPhase::Attempting>;
    using Cancelling = State<FlowPhase::Cancelling>;
    using Releasing = State<FlowPhase::Releasing>;
    using Recording = State<FlowPhase::Recording>;
    using Closed = State<FlowPhase::Closed>;
    using initial_state = Idle;
    using no_exception_thrown = int;

    void begin(const event::Begin & /*event*/)
    {
        m_context->begin();
    }
    void claim(const event::ClaimSettled &event)
    {
        m_context->claimSettled(event);
    }
    void wake(const raised::WakeUp & /*event*/)
    {
        m_context->choose();
    }
    void capacity(const event::CapacityFreed & /*event*/)
    {
        m_context->capacityFreed();
    }
    void granted(const event::GroupGranted &event)
    {
        m_context->groupGranted(event);
    }
    void groupRefused(const event::GroupRefused &event)
    {
        m_context->groupRefused(event);
    }
    void sending(const event::AttemptSending & /*event*/)
    {
        m_context->attemptSending();
    }
    void refused(const event::AttemptRefused &event)
    {
        m_context->attemptRefused(event);
    }
    void segment(const event::SegmentReady &event)
    {
        m_context->segmentReady(event);
    }
    void chunk(const event::ChunkArrived &event)
    {
        m_context->chunkArrived(event);
    }
    void ended(const event::AttemptEnded &event)
    {
        m_context->attemptEnded(event);
    }
    void broken(const event::AttemptBroken & /*event*/)
    {
        m_context->attemptBroken();
    }
    void stalled(const raised::Stalled & /*event*/)
    {
        m_context->attemptStalled();
    }
    void cancelled(const event::CancelSettled &event)
    {
        m_context->cancelSettled(event.confirmed && event.neverRan);
    }
    void unanswered(const raised::CancelUnanswered & /*event*/)
    {
        m_context->cancelSettled(false);
    }
    void released(const event::ClaimReleased &event)
    {
        m_context->claimReleased(event.held);
    }
    void recorded(const event::OutcomeRecorded & /*event*/)
    {
        m_context->outcomeRecorded();
    }
    void giveUp(const raised::GiveUp &event)
    {
        m_context->giveUp(event.reason, event.detail, event.retryAfter);
    }
    void abandon(const raised::GiveUp &event)
    {
        m_context->abandon(event.reason, event.detail);
    }
    void deadline(const raised::DeadlinePassed & /*event*/)
    {
        m_context->deliverFailureAtDeadline();
    }

    template<typename Fsm>
    void no_transition(const event::GroupGranted &event, Fsm & /*machine*/, int /*state*/)
    {
        m_context->releaseUnusedGroup(event);
    }
    template<typename Fsm, typename Event>
    void no_transition(const Event & /*event*/, Fsm & /*machine*/, int /*state*/)
    {
    }

    using M = FlowMachineDefinition;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        //     from        event                                   to          decision
        a_row< Idle,       event::Begin,                           Deciding,   &M::begin        >,
        a_row< Claiming,   event::ClaimSettled,                    Deciding,   &M::claim        >,
        a_row< Claiming,   raised::GiveUp,                         Deciding,   &M::giveUp       >,
        a_row< Waiting,    raised::WakeUp,                         Deciding,   &M::wake         >,
        a_row< Waiting,    event::CapacityFreed,                   Deciding,   &M::capacity     >,
        a_row< Waiting,    raised::GiveUp,                         Deciding,   &M::giveUp       >,
        a_row< Grouping,   event::GroupGranted,                    Deciding,   &M::granted      >,
        a_row< Grouping,   event::GroupRefused,                    Deciding,   &M::groupRefused >,
        a_row< Grouping,   raised::GiveUp,                         Deciding,   &M::giveUp       >,
        a_row< Attempting, event::AttemptSending,                  Deciding,   &M::sending      >,
        a_row< Attempting, event::AttemptRefused,                  Deciding,   &M::refused      >,
        a_row< Attempting, event::SegmentReady,                    Deciding,   &M::segment      >,
        a_row< Attempting, event::ChunkArrived,                    Deciding,   &M::chunk        >,
        a_row< Attempting, event::AttemptEnded,                    Deciding,   &M::ended        >,
        a_row< Attempting, event::AttemptBroken,                   Deciding,   &M::broken       >,
        a_row< Attempting, raised::Stalled,                        Deciding,   &M::stalled      >,
        a_row< Attempting, raised::GiveUp,                         Deciding,   &M::giveUp       >,
        a_row< Cancelling, event::CancelSettled,                   Deciding,   &M::cancelled    >,
        a_row< Cancelling, event::AttemptRefused,                  Deciding,   &M::refused      >,
        a_row< Cancelling, raised::CancelUnanswered,               Deciding,   &M::unanswered   >,
        a_row< Cancelling, raised::GiveUp,                         Deciding,   &M::abandon      >,
        a_row< Cancelling, raised::DeadlinePassed,                 Deciding,   &M::deadline         >,
        a_row< Releasing,  event::ClaimReleased,                   Deciding,   &M::released     >,
        a_row< Releasing,  raised::DeadlinePassed,                 Deciding,   &M::deadline         >,
        a_row< Recording,  event::OutcomeRecorded,                 Deciding,   &M::recorded     >,
        _row < Deciding,   raised::Decided<FlowPhase::Claiming>,   Claiming   >,
        _row < Deciding,   raised::Decided<FlowPhase::Waiting>,    Waiting    >,
        _row < Deciding,   raised::Decided<FlowPhase::Grouping>,   Grouping   >,
        _row < Deciding,   raised::Decided<FlowPhase::Attempting>, Attempting >,
        _row < Deciding,   raised::Decided<FlowPhase::Cancelling>, Cancelling >,
        _row < Deciding,   raised::Decided<FlowPhase::Releasing>,  Releasing  >,
        _row < Deciding,   raised::Decided<FlowPhase::Recording>,  Recording  >,
        _row < Deciding,   raised::Decided<FlowPhase::Closed>,     Closed     >
    > {};
    // clang-format on

private:
    FlowContext *m_context;
};

using FlowMachine = msm::back::state_machine<FlowMachineDefinition>;

} // namespace detail

using detail::FlowContext;
using detail::FlowPhase;
namespace raised = detail::raised;

/// Holds the context and the state machine, and translates a fired timer into the events that are due.
struct RequestFlow::Implementation
{
    Implementation(RequestSpec spec, FlowLimits limits, RouteChooser chooser, RetryPermit permit, std::uint64_t seed)
        : context(std::move(spec), limits, std::move(chooser), std::move(permit), seed)
        , machine(&context)
    {
        machine.start();
    }

    template<typename Event>
    void process(const Event &event)
    {
        machine.process_event(event);
        enterDecided();
    }

    void enterDecided()
    {
        switch (context.phase()) {
        case FlowPhase::Claiming:
            return enter<FlowPhase::Claiming>();
        case FlowPhase::Waiting:
            return enter<FlowPhase::Waiting>();
        case FlowPhase::Grouping:
            return enter<FlowPhase::Grouping>();
        case FlowPhase::Attempting:
            return enter<FlowPhase::Attempting>();
        case FlowPhase::Cancelling:
            return enter<FlowPhase::Cancelling>();
        case FlowPhase::Releasing:
            return enter<FlowPhase::Releasing>();
        case FlowPhase::Recording:
            return enter<FlowPhase::Recording>();
        case FlowPhase::Closed:
            return enter<FlowPhase::Closed>();
        case FlowPhase::Idle:
            return;
        }
    }

    template<FlowPhase Phase>
    void enter()
    {
        machine.process_event(raised::Decided<Phase>{});
    }

    /// Raises the events that are due by now, the deadline first.
    void processDueTimers()
    {
        if (context.deadlineDue() || context.claimReleaseDue()) {
            process(raised::GiveUp{ReasonCode::DeadlinePassed, "the deadline passed", std::nullopt});
        }
        if (context.deadlineDue()) {
            process(raised::DeadlinePassed{});
        }
        if (context.stallDue()) {
            process(raised::Stalled{});
        }
        if (context.cancelTimeoutDue()) {
            process(raised::CancelUnanswered{});
        }
        if (context.wakeUpDue()) {
            process(raised::WakeUp{});
        }
    }

    void dispatch(const event::TimerFired & /*event*/)
    {
    }
    void dispatch(const event::CallerCancelled & /*event*/)
    {
        process(raised::GiveUp{ReasonCode::Cancelled, "the caller cancelled", std::nullopt});
    }
    void dispatch(const event::Abandoned &event)
    {
        process(raised::GiveUp{event.reason, event.detail, event.retryAfter});
    }
    void dispatch(const event::SegmentReady &event)
    {
        if (context.isCurrent(event.attempt) && context.phase() == FlowPhase::Attempting) {
            process(event);
            return;
        }
        context.freeLateSegment(event);
    }
    template<typename Event>
    void dispatch(const Event &event)
    {
        if constexpr (requires { event.attempt; }) {
            if (!context.isCurrent(event.attempt)) {
                return;
            }
        }
        process(event);
    }

    FlowContext context;
    detail::FlowMachine machine;
};

RequestFlow::RequestFlow(RequestSpec spec,
                         StreamAddress /*address*/,
                         FlowLimits limits,
                         RouteChooser chooser,
                         RetryPermit permit,
                         std::uint64_t seed)
    : m_implementation(
        std::make_unique<Implementation>(std::move(spec), limits, std::move(chooser), std::move(permit), seed))
{
}

RequestFlow::~RequestFlow() = default;

std::vector<FlowAction> RequestFlow::handle(const FlowEvent &event, Instant now)
{
    m_implementation->context.startEvent(now);
    if (m_implementation->context.phase() != FlowPhase::Idle) {
        m_implementation->processDueTimers();
    }
    std::visit([this](const auto &typedEvent) { m_implementation->dispatch(typedEvent); }, event);
    return m_implementation->context.finishEvent();
}

const RequestSpec &RequestFlow::spec() const
{
    return m_implementation->context.spec();
}

bool RequestFlow::closed() const
{
    return m_implementation->context.phase() == FlowPhase::Closed;
}

Verdict RequestFlow::verdict() const
{
    return m_implementation->context.verdict();
}

std::string_view RequestFlow::stateName() const
{
    return nameOf(m_implementation->context.phase());
}

} // namespace pomeloport

#include "hosts.h"
#include "world.h"

namespace faultmatrix
{

namespace
{

/// Time after which a caller of the store gives up on a reply, beside the wait of a watch.
constexpr Duration StoreTimeout = std::chrono::seconds(1);

} // namespace

using pomeloport::StoreCall;
using pomeloport::StoreOperation;
using pomeloport::StoreReply;
using pomeloport::StoreStatus;

StoreHost::StoreHost(World &world, pomelofake::PlatformModelSettings settings)
    : m_world(world)
    , m_model(settings)
{
}

void StoreHost::call(const std::shared_ptr<Process> &process,
                     const std::string &instance,
                     StoreCall call,
                     const Callback &callback,
                     Duration wait)
{
    const ConnectionFault fault = m_world.takeConnectionFault(instance);
    Waiting waiting{process, callback, std::make_shared<bool>(false), call.id};
    const auto answer = [waiting](StoreStatus status) {
        if (!*waiting.settled) {
            *waiting.settled = true;
            waiting.callback(StoreReply{waiting.id, status, {}, 0});
        }
    };
    if (fault == ConnectionFault::BeforeSend) {
        process->post(NetworkDelay, [answer] { answer(StoreStatus::Rejected); });
        return;
    }
    process->post(StoreTimeout + wait, [answer] { answer(StoreStatus::Unavailable); });
    if (m_world.blocked(instance)) {
        return;
    }
    const bool loseReply = fault == ConnectionFault::AfterSend;
    m_disturbed += m_requestDelay > Duration::zero() ? 1 : 0;
    m_world.clock().after(NetworkDelay + m_requestDelay, [this, call = std::move(call), waiting, wait, loseReply] {
        execute(call, waiting, wait, loseReply);
    });
}

void StoreHost::execute(const StoreCall &call, const Waiting &waiting, Duration wait, bool loseReply)
{
    const pomelofake::PlatformFaults before = m_model.faults();
    const std::uint64_t version = m_model.version();
    const std::uint64_t ticket = m_model.submit(call, m_world.clock().now(), wait);
    const bool written = m_model.version() > version;
    if (written && call.kind == ConfigKind) {
        m_world.truth().configAccepted(m_model.version());
    }
    const bool lost = before.loseNextAnswers > m_model.faults().loseNextAnswers;
    const bool stale = before.staleReads > Duration::zero() && call.operation == StoreOperation::Get;
    m_disturbed += before.outage || before.delay > Duration::zero() || lost || stale ? 1 : 0;
    if (loseReply) {
        m_model.forget(ticket);
    } else {
        m_waiting[ticket] = waiting;
    }
    pump();
}

void StoreHost::pump()
{
    for (const pomelofake::PlatformReply &due : m_model.advance(m_world.clock().now())) {
        const auto found = m_waiting.find(due.ticket);
        if (found == m_waiting.end()) {
            continue;
        }
        const Waiting waiting = std::move(found->second);
        m_waiting.erase(found);
        waiting.process->post(NetworkDelay, [waiting, reply = due.reply] {
            if (!*waiting.settled) {
                *waiting.settled = true;
                waiting.callback(reply);
            }
        });
    }
    const Instant next = m_model.nextEventAt();
    if (next >= m_pumpAt) {
        return;
    }
    m_pumpAt = next;
    m_world.clock().after(next - m_world.clock().now(), [this, next] {
        if (m_pumpAt == next) {
            m_pumpAt = Instant::max();
            pump();
        }
    });
}

pomelofake::PlatformModel &StoreHost::model()
{
    return m_model;
}

void StoreHost::setFaults(const pomelofake::PlatformFaults &faults)
{
    m_disturbed += faults.outage ? 1 : 0;
    m_model.setFaults(faults, m_world.clock().now());
    pump();
}

void StoreHost::setRequestDelay(Duration delay)
{
    m_requestDelay = delay;
}

std::size_t StoreHost::disturbed() const
{
    return m_disturbed;
}

} // namespace faultmatrix

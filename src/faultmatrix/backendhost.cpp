#include "hosts.h"
#include "world.h"

#include "pomelofake/answer.h"

#include <set>

namespace faultmatrix
{

namespace
{

/// Time that a plain service takes for a call.
constexpr Duration ServiceTime = std::chrono::milliseconds(300);
/// How late a late chunk is: beyond the time after which a stream counts as stalled.
constexpr Duration Lateness = std::chrono::seconds(6);

} // namespace

using pomeloport::FlowEvent;
using pomeloport::GenerateCall;
using pomeloport::nameOf;
using pomeloport::RefusalCode;
using pomeloport::StreamAddress;
namespace event = pomeloport::event;

BackendHost::BackendHost(World &world, std::string name, std::optional<pomelofake::EngineModelSettings> engine)
    : m_world(world)
    , m_name(std::move(name))
{
    if (engine) {
        m_engine = std::make_unique<pomelofake::EngineModel>(*engine);
    }
}

const std::string &BackendHost::name() const
{
    return m_name;
}

bool BackendHost::isEngine() const
{
    return m_engine != nullptr;
}

pomelofake::EngineModel &BackendHost::engine()
{
    return *m_engine;
}

void BackendHost::open(const std::shared_ptr<Process> &process,
                       const GenerateCall &call,
                       std::size_t member,
                       const std::string &key,
                       ConnectionFault fault,
                       Sink sink)
{
    const StreamAddress stream = call.stream;
    m_connections[stream] = Connection{process, std::move(sink), member, false, {}};
    if (!m_alive || fault == ConnectionFault::BeforeSend) {
        m_disturbed += m_alive ? 0 : 1;
        deliver(stream, event::AttemptRefused{stream.attempt, RefusalCode::Full}, 2 * NetworkDelay);
        return;
    }
    process->post(2 * NetworkDelay, [this, call, key, fault, stream] {
        const auto connection = m_connections.find(stream);
        if (connection == m_connections.end()) {
            return;
        }
        const Sink sending = connection->second.sink;
        sending(event::AttemptSending{stream.attempt});
        if (!m_connections.contains(stream)) {
            return;
        }
        m_world.clock().after(NetworkDelay, [this, call, key, fault] {
            accept(call, key);
            if (fault == ConnectionFault::AfterSend) {
                breakConnection(call.stream);
            }
        });
    });
}

void BackendHost::accept(const GenerateCall &call, const std::string &key)
{
    const StreamAddress &stream = call.stream;
    if (!m_alive) {
        ++m_disturbed;
        deliver(stream, event::AttemptBroken{stream.attempt}, NetworkDelay);
        return;
    }
    m_world.truth().workArrived(m_name, stream.owner);
    if (!isEngine()) {
        runService(call, key);
        return;
    }
    if (const auto refusal = m_engine->submit(call, m_world.clock().now())) {
        ++m_disturbed;
        m_world.clock().trace(m_name + " refuses " + toString(stream) + ": " + std::string(nameOf(refusal->code)));
        deliver(stream, event::AttemptRefused{stream.attempt, refusal->code}, NetworkDelay);
        return;
    }
    m_disturbed += m_stalled ? 1 : 0;
    pump();
}

void BackendHost::runService(const GenerateCall &call, const std::string &key)
{
    const StreamAddress stream = call.stream;
    if (m_leaving || m_refusing) {
        ++m_disturbed;
        const RefusalCode code = m_leaving ? RefusalCode::Leaving : RefusalCode::Full;
        deliver(stream, event::AttemptRefused{stream.attempt, code}, NetworkDelay);
        return;
    }
    m_world.truth().started(stream);
    const std::string result = pomelofake::serviceResult(key, std::to_string(call.promptDigest));
    m_world.clock().after(ServiceTime, [this, stream, result, generation = m_generation] {
        if (generation != m_generation || m_stalled) {
            ++m_disturbed;
            return;
        }
        emit(stream, event::ChunkArrived{stream.attempt, 0, result});
        emit(stream, event::AttemptEnded{stream.attempt, 1, pomelofake::digestOf(result)});
    });
}

void BackendHost::pump()
{
    if (!isEngine() || !m_alive) {
        return;
    }
    note();
    for (const pomelofake::EngineOutput &output : m_engine->advance(m_world.clock().now())) {
        if (const auto *chunk = std::get_if<pomelofake::ChunkOut>(&output)) {
            emit(chunk->stream, event::ChunkArrived{chunk->stream.attempt, chunk->index, chunk->text});
            continue;
        }
        const auto &ended = std::get<pomelofake::EndOut>(output);
        const auto connection = m_connections.find(ended.stream);
        const std::size_t member = connection == m_connections.end() ? 0 : connection->second.member;
        const std::uint32_t attempt = ended.stream.attempt;
        if (ended.end.blob.empty()) {
            emit(ended.stream, event::AttemptEnded{attempt, ended.end.count, ended.end.digest});
        } else {
            emit(ended.stream, event::SegmentReady{attempt, member, ended.end.blob});
        }
    }
    note();
    const Instant next = m_engine->nextEventAt();
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

/// Tells the truth which streams have left the engine's queue.
void BackendHost::note()
{
    for (const pomeloport::Holding &holding : m_engine->holdings().holdings) {
        if (holding.blob.empty() && holding.tokens > 0) {
            m_world.truth().started(holding.stream);
        }
    }
}

bool BackendHost::chunkFaultHits(const StreamAddress &stream) const
{
    const Sending *sending = m_chunkFault ? m_world.truth().find(stream) : nullptr;
    return sending && sending == &m_world.truth().sendings()[m_chunkFault->second];
}

void BackendHost::emit(const StreamAddress &stream, const FlowEvent &event)
{
    const auto found = m_connections.find(stream);
    if (found == m_connections.end() || found->second.broken) {
        return;
    }
    const bool segment = std::holds_alternative<event::SegmentReady>(event);
    if (segment || !chunkFaultHits(stream)) {
        deliver(stream, event, NetworkDelay);
        return;
    }
    switch (m_chunkFault->first) {
    case Fault::ChunkDuplicated:
        ++m_disturbed;
        deliver(stream, event, NetworkDelay);
        deliver(stream, event, 3 * NetworkDelay);
        return;
    case Fault::ChunkOutOfOrder: {
        auto &held = found->second.held;
        if (!held && std::holds_alternative<event::ChunkArrived>(event)) {
            held = event;
            return;
        }
        deliver(stream, event, NetworkDelay);
        if (held) {
            ++m_disturbed;
            deliver(stream, *held, 2 * NetworkDelay);
            held.reset();
        }
        return;
    }
    case Fault::ChunkLate:
        if (m_world.lateStream().value_or(stream) == stream) {
            m_world.lateStream() = stream;
            ++m_disturbed;
            found->second.process->post(Lateness, [sink = found->second.sink, event] { sink(event); });
            return;
        }
        [[fallthrough]];
    default:
        deliver(stream, event, NetworkDelay);
    }
}

void BackendHost::deliver(const StreamAddress &stream, const FlowEvent &event, Duration delay)
{
    const auto found = m_connections.find(stream);
    if (found == m_connections.end()) {
        return;
    }
    found->second.process->post(delay, [this, stream, event] {
        const auto connection = m_connections.find(stream);
        if (connection != m_connections.end()) {
            const Sink sink = connection->second.sink;
            sink(event);
        }
    });
}

void BackendHost::close(const StreamAddress &stream)
{
    m_connections.erase(stream);
}

pomelofake::CancelResult BackendHost::cancel(const StreamAddress &stream)
{
    pump();
    const auto result = m_engine->cancel(stream, m_world.clock().now());
    pump();
    return result;
}

void BackendHost::freeBlob(const std::string &blob)
{
    m_engine->freeBlob(blob, m_world.clock().now());
    pump();
}

std::optional<pomeloport::Refusal> BackendHost::order(const pomeloport::EngineOrder &order)
{
    auto refusal = m_engine->order(order, m_world.clock().now());
    pump();
    return refusal;
}

void BackendHost::kill()
{
    m_alive = false;
    ++m_generation;
    ++m_disturbed;
    if (isEngine()) {
        m_engine->kill(m_world.clock().now());
    }
    for (const auto &[stream, connection] : m_connections) {
        deliver(stream, event::AttemptBroken{stream.attempt}, NetworkDelay);
    }
}

void BackendHost::restart()
{
    m_alive = true;
    m_stalled = false;
    m_refusing = false;
    m_leaving = false;
    if (isEngine()) {
        m_engine->restart(m_world.clock().now());
    }
}

void BackendHost::setStalled(bool stalled)
{
    m_stalled = stalled;
    m_world.clock().trace(m_name + (stalled ? " stalls" : " goes on"));
    if (isEngine()) {
        m_disturbed += m_engine->holdings().holdings.empty() ? 0 : 1;
        m_engine->setStalled(stalled, m_world.clock().now());
        pump();
    }
}

void BackendHost::setRefusing(bool refusing)
{
    m_refusing = refusing;
    if (isEngine()) {
        m_engine->setRefusing(refusing);
    }
}

void BackendHost::setLeaving(bool leaving)
{
    m_leaving = leaving;
    m_disturbed += leaving ? 1 : 0;
    if (isEngine()) {
        m_engine->setLeaving(leaving);
    }
    pomelofake::PlatformInstance entry;
    entry.name = m_name;
    entry.address = m_name;
    entry.kind = isEngine() ? pomelofake::PlatformInstanceKind::Engine : pomelofake::PlatformInstanceKind::Service;
    entry.state = leaving ? pomelofake::PlatformInstanceState::Leaving : pomelofake::PlatformInstanceState::Live;
    m_world.store().model().registerInstance(entry, m_world.clock().now());
    m_world.truth().leaving(m_name, leaving);
}

bool BackendHost::alive() const
{
    return m_alive;
}

bool BackendHost::leaving() const
{
    return m_leaving;
}

bool BackendHost::isConnected(const StreamAddress &stream) const
{
    return m_connections.contains(stream);
}

void BackendHost::breakConnection(const StreamAddress &stream)
{
    const auto connection = m_connections.find(stream);
    if (connection == m_connections.end()) {
        return;
    }
    ++m_disturbed;
    connection->second.broken = true;
    deliver(stream, event::AttemptBroken{stream.attempt}, NetworkDelay);
}

void BackendHost::armChunkFault(Fault fault, std::size_t sending)
{
    m_chunkFault = {fault, sending};
    m_world.lateStream().reset();
}

std::size_t BackendHost::disturbed() const
{
    return m_disturbed;
}

} // namespace faultmatrix

#include "router.h"

#include "world.h"

namespace faultmatrix
{

using namespace pomeloport;

namespace
{

/// A router without news from its controller for this long does not know the configuration in force.
constexpr Duration SnapshotLifetime = std::chrono::milliseconds(2500);
/// How long a server that refused work because it leaves gets none, whatever others say of it.
constexpr Duration RefusalMemory = std::chrono::seconds(5);
constexpr Duration AdmissionCheck = std::chrono::milliseconds(250);

} // namespace

Router::Router(World &world, std::string instance, std::uint64_t incarnation)
    : m_world(world)
    , m_instance(std::move(instance))
    , m_id{m_instance, incarnation}
    , m_process(std::make_shared<Process>(world.clock()))
    , m_placement(std::make_unique<Placement>(world.random()()))
{
    m_process->repeat(AdmissionCheck, [this] {
        if (admitting()) {
            m_world.truth().admitting(m_instance, m_snapshot->configVersion);
        }
    });
}

const std::shared_ptr<Process> &Router::process() const
{
    return m_process;
}

const OwnerId &Router::id() const
{
    return m_id;
}

void Router::update(std::shared_ptr<const Snapshot> snapshot, Instant madeAt)
{
    const bool older = m_snapshot && snapshot->configVersion < m_snapshot->configVersion;
    if (older) {
        return;
    }
    m_snapshot = std::move(snapshot);
    m_snapshotAt = madeAt;
    adopt();
}

void Router::adopt()
{
    m_snapshot = withRefusals(m_snapshot);
    m_placement->update(m_snapshot, m_world.clock().now());
    freeCapacity();
}

/// Returns the snapshot with the servers as leaving that said so themselves.
std::shared_ptr<const Snapshot> Router::withRefusals(std::shared_ptr<const Snapshot> snapshot)
{
    const Instant now = m_world.clock().now();
    std::erase_if(m_leavingBackends, [now](const auto &entry) { return now > entry.second + RefusalMemory; });
    if (m_leavingBackends.empty()) {
        return snapshot;
    }
    auto copy = std::make_shared<Snapshot>(*snapshot);
    for (BackendView &backend : copy->backends) {
        if (m_leavingBackends.contains(backend.server.name)) {
            backend.state = BackendState::Leaving;
        }
    }
    return copy;
}

std::shared_ptr<const Snapshot> Router::snapshot() const
{
    return m_snapshot;
}

bool Router::admitting() const
{
    if (!m_snapshot || !m_process->running()) {
        return false;
    }
    const Instant now = m_world.clock().now();
    if (m_drainingSince && now > *m_drainingSince + 2 * DiscoveryLifetime) {
        return false;
    }
    if (m_world.mutant(Mutant::AdmitWhenCutOff)) {
        return true;
    }
    return m_snapshot->admitting && now <= m_snapshotAt + SnapshotLifetime;
}

void Router::drain()
{
    m_drainingSince = m_world.clock().now();
}

bool Router::idle() const
{
    return m_entries.empty();
}

RequestSpec Router::specOf(const Sending &sending) const
{
    const Demand &demand = sending.demand;
    RequestSpec spec;
    spec.organisation = "clipback";
    spec.kind = nameOf(demand.work);
    spec.intent = "all";
    spec.backendKind = demand.work == Work::Action ? BackendKind::Service : BackendKind::Engine;
    if (demand.work != Work::Action) {
        spec.model = std::string("m");
    }
    spec.promptTokens = demand.promptTokens;
    spec.promptDigest = demand.promptDigest;
    spec.maxTokens = demand.chunks;
    spec.arrival = m_world.clock().now();
    spec.deadline = sending.deadline;
    spec.nonIdempotent = demand.nonIdempotent();
    spec.idempotencyKey = demand.nonIdempotent() ? demand.key : std::string();
    spec.issuedAt = demand.issuedAt;
    spec.bodyDigest = demand.promptDigest;
    return spec;
}

void Router::request(std::size_t sending)
{
    const Instant now = m_world.clock().now();
    const Sending &asked = m_world.truth().sendings()[sending];
    if (now >= asked.deadline || asked.ended()) {
        return;
    }
    if (!admitting()) {
        refuse(sending, m_drainingSince ? ReasonCode::Stopping : ReasonCode::NotAdmitting);
        return;
    }
    m_world.truth().admitting(m_instance, m_snapshot->configVersion);
    const std::uint64_t sequence = ++m_lastSequence;
    const RequestSpec spec = specOf(asked);
    const StreamAddress address = addressOf(sequence, 0);
    m_world.truth().admitted(sending, address);
    Entry &entry = m_entries[sequence];
    entry.sending = sending;
    const auto choose = [this](const RouteQuery &query, Instant at) {
        return m_placement->choose(query, at);
    };
    const auto permit = [this](Instant at) {
        return m_placement->permitRetry(at);
    };
    entry.flow = std::make_unique<RequestFlow>(spec, address, FlowLimits{}, choose, permit, m_world.random()());
    const ClaimKey key{spec.organisation, spec.idempotencyKey, spec.issuedAt};
    entry.claim = std::make_unique<ClaimStateMachine>(key, address, spec.bodyDigest, ClaimLimits{}, m_world.random()());
    feed(sequence, event::Begin{});
}

void Router::refuse(std::size_t sending, ReasonCode reason)
{
    m_world.clock().after(NetworkDelay, [this, sending, reason] {
        if (!m_world.truth().sendings()[sending].ended()) {
            m_world.truth().failed(sending, Failure{Verdict::NotRun, reason, "", std::nullopt});
        }
    });
}

void Router::callerGone(std::size_t sending)
{
    for (const auto &[sequence, entry] : m_entries) {
        if (entry.sending == sending) {
            feedLater(sequence, event::CallerCancelled{});
        }
    }
}

void Router::groupAnswered(const StreamAddress &stream, const FlowEvent &event)
{
    if (stream.owner == m_id) {
        feed(stream.sequence, event);
    }
}

void Router::feed(std::uint64_t sequence, const FlowEvent &event)
{
    const auto found = m_entries.find(sequence);
    if (found == m_entries.end()) {
        return;
    }
    performAll(sequence, found->second.flow->handle(event, m_world.clock().now()));
}

/// Carries out actions in order; a process that ends or is paused in between leaves or postpones the rest.
void Router::performAll(std::uint64_t sequence, std::vector<FlowAction> actions)
{
    for (auto action = actions.begin(); action != actions.end(); ++action) {
        if (!m_process->running()) {
            m_process->post({}, [this, sequence, rest = std::vector<FlowAction>(action, actions.end())] {
                performAll(sequence, rest);
            });
            return;
        }
        if (m_entries.contains(sequence)) {
            std::visit([this, sequence](const auto &wanted) { perform(sequence, wanted); }, *action);
        }
    }
}

void Router::feedLater(std::uint64_t sequence, FlowEvent event)
{
    m_process->post({}, [this, sequence, event = std::move(event)] { feed(sequence, event); });
}

void Router::feedClaim(std::uint64_t sequence, const ClaimEvent &event)
{
    const auto found = m_entries.find(sequence);
    if (found == m_entries.end()) {
        return;
    }
    const auto actions = found->second.claim->handle(event, m_world.clock().now(), m_world.clock().wall());
    for (const ClaimAction &action : actions) {
        if (m_entries.contains(sequence)) {
            std::visit([this, sequence](const auto &wanted) { performClaim(sequence, wanted); }, action);
        }
    }
}

void Router::freeCapacity()
{
    const RequestSpec *next = m_placement->nextWaiting(m_world.clock().now());
    for (const auto &[sequence, entry] : m_entries) {
        if (next && &entry.flow->spec() == next) {
            feedLater(sequence, event::CapacityFreed{});
            return;
        }
    }
}

StreamAddress Router::addressOf(std::uint64_t sequence, std::uint32_t attempt) const
{
    return StreamAddress{m_id, sequence, attempt};
}

link::LiveStreamsReply Router::liveStreams(const link::LiveStreamsQuery &query) const
{
    link::LiveStreamsReply reply;
    reply.query = query.query;
    reply.answered = true;
    const bool same = query.owner == m_id;
    reply.ownerGone = !same && m_id.incarnation > query.owner.incarnation;
    for (const std::uint64_t sequence : query.sequences) {
        if (same && m_entries.contains(sequence)) {
            reply.live.push_back(sequence);
        }
    }
    return reply;
}

link::ClaimHolderState Router::holderState(const StreamAddress &holder) const
{
    if (m_world.mutant(Mutant::IgnoreClaimHolder)) {
        return link::ClaimHolderState::GivenUp;
    }
    const bool forgotten = m_world.mutant(Mutant::IgnoreIncarnation) && !m_entries.contains(holder.sequence);
    if (forgotten) {
        return link::ClaimHolderState::GivenUp;
    }
    if (holder.owner != m_id) {
        return link::ClaimHolderState::Gone;
    }
    const auto found = m_entries.find(holder.sequence);
    return found == m_entries.end() ? link::ClaimHolderState::Uncertain : found->second.claim->holderState();
}

bool Router::isOpen(const StreamAddress &stream) const
{
    return m_process->alive() && stream.owner == m_id && m_entries.contains(stream.sequence);
}

std::vector<std::size_t> Router::sendings() const
{
    std::vector<std::size_t> result;
    for (const auto &[sequence, entry] : m_entries) {
        result.push_back(entry.sending);
    }
    return result;
}

} // namespace faultmatrix

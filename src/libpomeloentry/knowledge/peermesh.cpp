#include "knowledge/peermesh.h"

#include "session/noticelog.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"
#include "pomeloport/protocol/compactarchive.h"

#include <algorithm>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

/// Interval of full work reports, which also serve as heartbeats: three of them fit into PeerTable::WorkingSilence.
constexpr std::chrono::milliseconds WorkingInterval{250};
/// Added to the interval for each receiver of reports, which bounds the traffic of an instance.
constexpr std::chrono::milliseconds WorkingIntervalPerPeer{2};
/// Interval of heartbeats without work: two of them fit into PeerTable::IdleSilence.
constexpr std::chrono::milliseconds IdleInterval{2'000};
/// Changes are batched for this long.
constexpr std::chrono::milliseconds ChangeInterval{4};
/// Added to QuarantineLimits::settle, since other instances see a crash a little later than this one.
constexpr std::chrono::milliseconds JudgementMargin{10};
/// An instance that is no gateway reports its work for this long after its last prompt has ended, since callers that
/// reach it once tend to come again.
constexpr Duration PromptMemory = std::chrono::seconds(5);
/// Rate of calls, per second, from which an instance that is no gateway reports its work also without prompts. Single
/// calls without a prompt end sooner than a report of them would be of use.
constexpr double ReportedCallRate = 5;
/// Time after a start in which an instance is no gateway, since it does not know its failure domain yet.
constexpr Duration SettlingTime = std::chrono::milliseconds(800);
/// An instance that begins to exchange work tells all instances that it knows, for this long since datagrams may be
/// lost. Gateways of different failure domains that start at the same moment know each other as idle instances only, to
/// which no heartbeats go.
constexpr Duration AnnouncementTime = std::chrono::seconds(1);
/// A strained instance reports this share of its processor time, which ranks it behind all instances of equal strength.
constexpr std::uint32_t StrainedDivisor = 8;
/// Number of other instances named in each heartbeat.
constexpr std::size_t SharedPeers = 4;
/// Number of other instances named in the introduction to a new one; together they fit into one datagram.
constexpr std::size_t IntroducedPeers = 24;
/// The platform's settings provide no secret for authentication, so this fixed key only filters out unrelated
/// datagrams.
constexpr const char *DatagramKey = "pomeloport entry instances";

} // namespace

PeerMesh::PeerMesh(std::shared_ptr<EntryCore> core)
    : m_core(std::move(core))
    , m_heartbeatTimer(m_core->context)
    , m_changeTimer(m_core->context)
    , m_judgementTimer(m_core->context)
    , m_peers(m_core->settings.peerAddress, m_core->settings.failureDomain)
    , m_senders({m_core->settings.instance,
                 m_core->settings.failureDomain,
                 m_core->settings.failureDomainIndex,
                 m_core->settings.failureDomainCount,
                 !m_core->settings.seeds.empty(),
                 m_core->settings.processorMilli,
                 m_core->settings.policy.gateways,
                 steadyNow()})
    , m_startedAt(steadyNow())
{
}

std::shared_ptr<PeerMesh> PeerMesh::start(std::shared_ptr<EntryCore> core)
{
    auto &context = core->context;
    const DatagramSettings settings{core->settings.peerAddress, DatagramKey, core->self};
    const auto seeds = core->settings.seeds;
    auto mesh = std::shared_ptr<PeerMesh>(new PeerMesh(std::move(core)));
    mesh->m_socket = DatagramSocket::open(
        context,
        settings,
        [weak = std::weak_ptr(mesh)](const OwnerId &sender, const std::string &address, const std::string &payload) {
            if (const auto self = weak.lock()) {
                self->onDatagram(sender, address, payload);
            }
        });
    if (!mesh->m_socket) {
        return nullptr;
    }
    for (const auto &seed : seeds) {
        mesh->learn({seed, {}, false});
    }
    mesh->m_core->placement.onWorkChanged([weak = std::weak_ptr(mesh)](WorkChange change) {
        if (const auto self = weak.lock()) {
            self->onWorkChanged(change);
        }
    });
    mesh->m_core->quarantine.onChanged([weak = std::weak_ptr(mesh)](SharedQuarantine::Change change) {
        if (const auto self = weak.lock()) {
            self->onQuarantineChanged(change);
        }
    });
    mesh->m_core->placement.instanceStarted(mesh->m_startedAt);
    mesh->armHeartbeatTimer();
    return mesh;
}

void PeerMesh::learn(const PeerAddress &peer)
{
    bool isContact = false;
    {
        const std::lock_guard lock(m_mutex);
        isContact = m_peers.learn(peer, m_exchangesWork, steadyNow());
    }
    if (isContact && m_socket) {
        sendIntroduction(peer.address, peer.failureDomain);
    }
}

/// Remembers an instance elsewhere, if this one takes part in finding restarted failure domains.
void PeerMesh::remember(const PeerAddress &peer, Instant now)
{
    if (m_core->settings.policy.returns.enabled) {
        const std::lock_guard lock(m_mutex);
        m_peers.remember(peer, now);
    }
}

/// Sends this instance's full state to one peer at once, so that both soon consider each other's work in placement.
void PeerMesh::sendIntroduction(const std::string &address, const std::string &failureDomain)
{
    auto outgoing = message();
    outgoing.description = ownDescription();
    {
        const std::lock_guard lock(m_mutex);
        auto &others = outgoing.description->others;
        others = m_peers.peersFor(failureDomain, IntroducedPeers, steadyNow());
        if (failureDomain != m_core->settings.failureDomain) {
            const auto remembered = m_peers.rememberedIn(failureDomain, IntroducedPeers - others.size());
            others.insert(others.end(), remembered.begin(), remembered.end());
        }
    }
    send(outgoing, m_core->quarantine.fullReport(steadyNow()), {address});
    if (!outgoing.exchangesWork) {
        return;
    }
    outgoing.description.reset();
    for (auto &piece : m_core->placement.snapshots(steadyNow())) {
        outgoing.work = std::move(piece);
        send(outgoing, {address});
    }
}

void PeerMesh::setStoreKnowledge(const KnownChanges &known, bool configured, StoreContact contact)
{
    const std::lock_guard lock(m_mutex);
    m_knownChanges = known;
    m_configured = configured;
    m_storeContact = contact;
}

void PeerMesh::onPeerEvacuations(std::function<void(StoreVersion)> callback)
{
    const std::lock_guard lock(m_mutex);
    m_peerEvacuations = std::move(callback);
}

void PeerMesh::announceKnownChanges()
{
    std::vector<std::string> addresses;
    for (const auto &peer : live()) {
        addresses.push_back(peer.address);
    }
    send(message(), addresses);
}

ReaderCandidate PeerMesh::ownCandidate() const
{
    const std::lock_guard lock(m_mutex);
    return {ownGatewayCandidate().rank, m_core->settings.failureDomain, m_storeContact};
}

void PeerMesh::announce()
{
    updateSenders();
    sendHeartbeat();
}

GatewayCandidate PeerMesh::ownGatewayCandidate() const
{
    const auto &settings = m_core->settings;
    return {{settings.instance, processorMilli()}, settings.callerAddress, m_callRate.perSecond()};
}

/// Processor time that this instance can offer. Requires the mutex.
std::uint32_t PeerMesh::processorMilli() const
{
    const auto declared = m_core->settings.processorMilli;
    return m_strain.isStrained() ? declared / StrainedDivisor : declared;
}

/// Records by how much the heartbeat is late, which shows whether this instance is short of processor time.
void PeerMesh::recordHeartbeatTime(Instant now)
{
    const std::lock_guard lock(m_mutex);
    const bool before = m_strain.isStrained();
    const auto due = std::chrono::time_point_cast<Duration>(m_heartbeatTimer.expiry());
    m_strain.timerFired(now - due, now);
    if (m_strain.isStrained() != before) {
        logEvent(LogLevel::Warning,
                 "processor_strain",
                 {{"strained", m_strain.isStrained()}, {"late_ms", (now - due).count() / 1000}});
    }
}

/// Whether this instance is one of the gateways of its failure domain. Requires the mutex.
bool PeerMesh::isGateway(Instant now) const
{
    if (m_core->leaving || !m_configured || now - m_startedAt < SettlingTime) {
        return false;
    }
    const auto &settings = m_core->settings;
    std::vector<GatewayCandidate> ready{ownGatewayCandidate()};
    for (const auto &[name, peer] : m_peers.all()) {
        if (peer.failureDomain == settings.failureDomain && peer.state == EntryState::Ready && isLive(peer, now)) {
            ready.push_back({{name, peer.processorMilli}, peer.callerAddress, peer.callRate});
        }
    }
    const auto gateways = selectGateways(std::move(ready), settings.policy.gateways, settings.failureDomainCount);
    return std::ranges::any_of(gateways,
                               [&settings](const auto &gateway) { return gateway.rank.instance == settings.instance; });
}

/// Decides whether this instance exchanges work from now on.
void PeerMesh::updateRole()
{
    const auto now = steadyNow();
    const bool hasPrompts = m_core->placement.hasPrompts();
    std::vector<std::string> formerContacts;
    {
        const std::lock_guard lock(m_mutex);
        m_callRate.update(m_core->nextSequence, now);
        m_lastPromptAt = hasPrompts ? now : m_lastPromptAt;
        const bool recentPrompt = m_lastPromptAt != Instant{} && now - m_lastPromptAt < PromptMemory;
        const bool gateway = isGateway(now);
        const bool exchanges = gateway || recentPrompt || m_callRate.perSecond() > ReportedCallRate;
        if (exchanges == m_exchangesWork) {
            return;
        }
        m_exchangesWork = exchanges;
        m_exchangesSince = now;
        if (!exchanges) {
            formerContacts = m_peers.contacts(true);
        }
        logEvent(LogLevel::Info,
                 "work_exchange",
                 {{"exchanges", exchanges}, {"gateway", gateway}, {"contacts", m_peers.contacts(exchanges).size()}});
    }
    if (!formerContacts.empty()) {
        // Instances of other failure domains need no further heartbeats of this one.
        auto outgoing = message();
        outgoing.description = ownDescription();
        send(outgoing, formerContacts);
    }
}

/// Tells the placement this instance's place among those that may send requests to cold servers.
void PeerMesh::updateSenders()
{
    const auto now = steadyNow();
    SenderStanding standing;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, peer] : m_peers.all()) {
            m_senders.heard(peer);
        }
        for (const auto &address : m_peers.unheardAddresses()) {
            m_senders.learned(address, now);
        }
        standing = m_senders.standing(m_core->leaving, now);
    }
    m_core->placement.setSenders(standing, now);
}

EntryState PeerMesh::state() const
{
    const std::lock_guard lock(m_mutex);
    if (m_core->leaving) {
        return EntryState::Leaving;
    }
    return m_configured ? EntryState::Ready : EntryState::Starting;
}

std::vector<std::string> PeerMesh::callerAddresses(const CallerLocation &stated) const
{
    const auto &settings = m_core->settings;
    const auto regionOf = [&settings](const std::string &failureDomain) {
        const auto found = settings.regionOfDomain.find(failureDomain);
        return found == settings.regionOfDomain.end() ? std::string() : found->second;
    };
    const auto ownRegion = regionOf(settings.failureDomain);
    std::vector<ReadyInstance> ready;
    const bool selfReady = state() == EntryState::Ready;
    const auto now = steadyNow();
    {
        const std::lock_guard lock(m_mutex);
        if (selfReady) {
            ready.push_back({settings.failureDomain, ownGatewayCandidate(), ownRegion});
        }
        for (const auto &[name, peer] : m_peers.all()) {
            if (peer.state == EntryState::Ready && isLive(peer, now)) {
                ready.push_back({peer.failureDomain,
                                 {{name, peer.processorMilli}, peer.callerAddress, peer.callRate},
                                 regionOf(peer.failureDomain)});
            }
        }
    }
    const auto caller = locateCaller(stated, settings.regionOfDomain, ownRegion);
    return announcedAddresses(caller, ready, settings.policy.gateways, settings.failureDomainCount);
}

std::vector<PeerView> PeerMesh::live() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers.live(steadyNow());
}

void PeerMesh::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_heartbeatTimer.cancel();
    m_changeTimer.cancel();
    m_judgementTimer.cancel();
}

void PeerMesh::onDatagram(const OwnerId &sender, const std::string &address, const std::string &payload)
{
    const auto message = decodePeerMessage(payload);
    if (!message) {
        logEvent(LogLevel::Warning, "peer_message_unreadable", {{"peer", sender.instance}, {"address", address}});
        return;
    }
    const auto now = steadyNow();
    auto change = PeerChange::None;
    std::function<void(StoreVersion)> peerEvacuations;
    bool servesElsewhere = false;
    {
        const std::lock_guard lock(m_mutex);
        change = m_peers.applyMessage(sender, address, *message, now);
        if (message->known.evacuations > m_knownChanges.evacuations) {
            peerEvacuations = m_peerEvacuations;
        }
        // Only an instance without configuration needs to know that others serve callers.
        servesElsewhere = !m_configured && message->state == EntryState::Ready;
    }
    if (peerEvacuations) {
        peerEvacuations(message->known.evacuations);
    }
    if (servesElsewhere) {
        m_core->placement.readyPeerHeard(now);
    }
    if (change != PeerChange::None) {
        updateSenders();
    }
    if (change == PeerChange::Added) {
        sendIntroduction(address, message->description ? message->description->failureDomain : std::string());
    }
    if (change != PeerChange::None) {
        logEvent(LogLevel::Info,
                 "peer",
                 {{"peer", sender.instance},
                  {"incarnation", sender.incarnation},
                  {"state", nameOf(message->state)},
                  {"address", address}});
    }
    if (message->description) {
        for (const auto &other : message->description->others) {
            remember(other, now);
            learn(other);
        }
    }
    m_core->quarantine.merge(message->quarantine, now);
    recordPeerNotices(*m_core, sender.instance, message->notices);
    if (message->exchangesWork) {
        m_core->placement.applyPeerReport(sender, message->work, now);
    } else {
        m_core->placement.forgetPeer(sender);
    }
}

void PeerMesh::armHeartbeatTimer()
{
    std::chrono::milliseconds interval = IdleInterval;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        if (m_exchangesWork) {
            interval = WorkingInterval + WorkingIntervalPerPeer * m_peers.workingAddresses(steadyNow()).size();
        } else if (steadyNow() - m_startedAt < SettlingTime
                   || (!m_configured && m_core->settings.policy.returns.enabled)) {
            interval = WorkingInterval;
        }
    }
    m_heartbeatTimer.expires_after(interval);
    m_heartbeatTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->recordHeartbeatTime(steadyNow());
            self->updateRole();
            self->updateSenders();
            self->sendHeartbeat();
            self->armHeartbeatTimer();
        }
    });
}

/// Reports changed work: new work at once, since the placement decisions of peers depend on it, other changes together.
void PeerMesh::onWorkChanged(WorkChange change)
{
    if (change == WorkChange::Notice) {
        sendNotices();
        return;
    }
    bool exchanges = false;
    {
        const std::lock_guard lock(m_mutex);
        exchanges = m_exchangesWork;
    }
    if (!exchanges && change == WorkChange::Prompt) {
        updateRole();
        sendHeartbeat();
    } else if (exchanges && change == WorkChange::Progress) {
        armChangeTimer();
    } else if (exchanges) {
        sendChanges();
    }
}

/// Reports evidence of crashes and has it judged. Evidence of one moment goes out together, since the loss of a failure
/// domain breaks many attempts at once.
void PeerMesh::onQuarantineChanged(SharedQuarantine::Change change)
{
    using Change = SharedQuarantine::Change;
    switch (change) {
    case Change::Urgent:
        sendQuarantineChanges();
        return;
    case Change::Evidence:
        armChangeTimer();
        armJudgementTimer();
        return;
    case Change::Learned:
        armJudgementTimer();
        return;
    }
}

void PeerMesh::armJudgementTimer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_judgementDue = m_judgementTimerArmed;
        if (m_stopped || m_judgementTimerArmed) {
            return;
        }
        m_judgementTimerArmed = true;
    }
    m_judgementTimer.expires_after(m_core->settings.policy.quarantine.settle + JudgementMargin);
    m_judgementTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error) {
            return;
        }
        bool again = false;
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_judgementTimerArmed = false;
            again = self->m_judgementDue;
        }
        self->m_core->quarantine.judge(steadyNow());
        if (again) {
            self->armJudgementTimer();
        }
    });
}

void PeerMesh::armChangeTimer()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped || m_changeTimerArmed) {
            return;
        }
        m_changeTimerArmed = true;
    }
    m_changeTimer.expires_after(ChangeInterval);
    m_changeTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            {
                const std::lock_guard lock(self->m_mutex);
                self->m_changeTimerArmed = false;
            }
            self->sendChanges();
        }
    });
}

void PeerMesh::sendChanges()
{
    sendQuarantineChanges();
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_mutex);
        addresses = m_peers.workingAddresses(steadyNow());
    }
    auto outgoing = message();
    if (!outgoing.exchangesWork) {
        return;
    }
    while (auto changes = m_core->placement.takeChanges(steadyNow())) {
        outgoing.work = std::move(*changes);
        send(outgoing, addresses);
    }
}

/// Tells all instances that this one knows, since callers may send a prompt with the same part to any of them.
void PeerMesh::sendQuarantineChanges()
{
    auto changes = m_core->quarantine.takeChanges(steadyNow());
    if (changes.empty()) {
        return;
    }
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_mutex);
        addresses = m_peers.contacts(true);
    }
    auto outgoing = message();
    for (auto &piece : changes) {
        outgoing.quarantine = std::move(piece);
        send(outgoing, addresses);
    }
}

/// Tells all instances that this one knows what backend servers said to it.
void PeerMesh::sendNotices()
{
    auto notices = m_core->placement.noticeMessages(steadyNow());
    if (notices.empty()) {
        return;
    }
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_mutex);
        addresses = m_peers.contacts(true);
    }
    auto outgoing = message();
    outgoing.notices = std::move(notices);
    send(outgoing, addresses);
}

/// Sends all work to the peers that exchange it, and to the other contacts only that this instance is alive.
void PeerMesh::sendHeartbeat()
{
    const auto now = steadyNow();
    auto outgoing = message();
    outgoing.description = ownDescription();
    std::vector<std::string> workers;
    std::vector<std::string> others;
    {
        const std::lock_guard lock(m_mutex);
        m_peers.expire(now);
        outgoing.description->others = m_peers.nextPeers(SharedPeers, now);
        const bool announces = m_exchangesWork && now - m_exchangesSince <= AnnouncementTime;
        others = announces ? m_peers.addresses() : m_peers.contacts(m_exchangesWork);
        const auto silent = m_peers.addressesInSilentDomains(now);
        others.insert(others.end(), silent.begin(), silent.end());
        if (m_exchangesWork) {
            workers = m_peers.workingAddresses(now);
            std::erase_if(others, [&workers](const std::string &address) {
                return std::ranges::find(workers, address) != workers.end();
            });
        }
    }
    sendQuarantineChanges();
    sendNotices();
    const auto quarantine = m_core->quarantine.fullReport(now);
    send(outgoing, quarantine, others);
    auto pieces = m_core->placement.fullReports(now);
    if (!outgoing.exchangesWork) {
        return;
    }
    for (std::size_t i = 0; i + 1 < pieces.size(); ++i) {
        outgoing.work = std::move(pieces[i]);
        send(outgoing, workers);
    }
    outgoing.work = std::move(pieces.back());
    send(outgoing, quarantine, workers);
}

PeerMessage PeerMesh::message() const
{
    PeerMessage result;
    result.state = state();
    const std::lock_guard lock(m_mutex);
    result.exchangesWork = m_exchangesWork;
    result.known = m_knownChanges;
    result.contact = m_storeContact;
    return result;
}

PeerDescription PeerMesh::ownDescription() const
{
    const auto &settings = m_core->settings;
    const std::lock_guard lock(m_mutex);
    return {settings.callerAddress,
            settings.failureDomain,
            processorMilli(),
            static_cast<float>(m_callRate.perSecond()),
            {}};
}

/// Sends a message and a report of quarantined parts, in one datagram if they fit and the report is not empty.
void PeerMesh::send(const PeerMessage &message,
                    const QuarantineReport &quarantine,
                    const std::vector<std::string> &addresses)
{
    auto combined = message;
    combined.quarantine = quarantine;
    if (quarantine.empty() || encodePeerMessage(combined).size() <= MaximumDatagramPayload) {
        send(combined, addresses);
        return;
    }
    send(message, addresses);
    combined.description.reset();
    combined.work = {};
    send(combined, addresses);
}

void PeerMesh::send(const PeerMessage &message, const std::vector<std::string> &addresses)
{
    if (addresses.empty()) {
        return;
    }
    const auto payload = encodePeerMessage(message);
    for (const auto &address : addresses) {
        if (!m_socket->send(address, payload)) {
            logEvent(LogLevel::Warning, "peer_send_failed", {{"address", address}, {"detail", lastReason()}});
        }
    }
}

} // namespace pomeloentry

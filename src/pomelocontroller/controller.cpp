#include "controller.h"

#include "steadynow.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"
#include "pomeloport/settings.h"

#include <algorithm>

namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

/// Interval between ticks of the control logic.
constexpr std::chrono::milliseconds TickInterval{40};
/// Interval between ticks of less urgent tasks; also the shortest time between two snapshots that a change requests.
constexpr Duration SlowTickInterval = std::chrono::milliseconds(50);
/// Interval between this instance's reports to its peers while the state of its backend servers does not change.
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
/// Time for a disconnected router to reconnect before the instance leaves discovery.
constexpr Duration RouterGrace = std::chrono::seconds(2);
/// Time after which a dead instance is presumed to be gone: its group reservations are released, and its streams count
/// as ownerless if its router also refuses connections.
constexpr Duration PresumedGoneDelay = std::chrono::seconds(5);
/// Intervals at which the platform's instance list is read: by configuration watchers, by an instance that knows no
/// peers, and by all others.
constexpr std::chrono::milliseconds WatcherListInterval{2'000};
constexpr std::chrono::milliseconds NoPeersListInterval{3'000};
constexpr std::chrono::milliseconds DefaultListInterval{60'000};
/// Time for the router to report that it drains, once the controller was told to stop.
constexpr Duration StopGrace = std::chrono::seconds(1);
/// Time, counted from the same moment, after which the controller stops even if the leases are not yet released.
constexpr Duration StopTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds FetchTimeout{1'000};
/// Value that stands for a router load of 1 in reports.
constexpr double FullLoadUnits = 255;

control::MemberRecord initialMemberRecord(const ControllerSettings &settings, std::uint64_t incarnation)
{
    control::MemberRecord record;
    record.id = {settings.instance, incarnation};
    record.state = InstanceState::Leaving;
    record.region = settings.region;
    record.failureDomain = settings.failureDomain;
    record.httpAddress = settings.router;
    record.peerAddress = settings.peers;
    record.datagramAddress = settings.datagrams;
    return record;
}

EngineOwner::Limits engineOwnerLimits(const ControllerSettings &settings)
{
    EngineOwner::Limits limits;
    limits.lease.duration = settings.leaseDuration;
    limits.lease.renewalInterval = settings.leaseDuration / 3;
    limits.lease.longestOrder = settings.longestOrder;
    limits.order.longestOrder = settings.longestOrder;
    limits.sweepInterval = settings.sweepInterval;
    limits.callTimeout = settings.pollTimeout;
    return limits;
}

} // namespace

Controller::Controller(boost::asio::io_context &context, const ControllerSettings &settings, std::uint64_t incarnation)
    : m_context(context)
    , m_settings(settings)
    , m_self{settings.instance, incarnation}
    , m_random(std::random_device{}())
    , m_http(std::make_shared<HttpClient>(context))
    , m_platform(std::make_shared<PlatformClient>(context, settings.platform, settings.platformTimeout))
    , m_controlPlane(controlSettings(initialMemberRecord(settings, incarnation), m_random()), steadyNow())
    , m_backends(m_self, settings.region)
    , m_groups(incarnation)
    , m_timer(context)
    , m_routerLostAt(steadyNow() - RouterGrace)
    , m_leaving(true)
{
}

std::shared_ptr<Controller> Controller::start(boost::asio::io_context &context,
                                              const ControllerSettings &settings,
                                              std::uint64_t incarnation)
{
    auto controller = std::make_shared<Controller>(context, settings, incarnation);
    if (!controller->open()) {
        return nullptr;
    }
    controller->handleEvent(membership::AddressesLearned{settings.seeds});
    controller->handleEvent(controlevent::Leaving{true});
    controller->armTick();
    return controller;
}

bool Controller::open()
{
    const auto weak = weak_from_this();
    m_engineOwner = std::make_shared<EngineOwner>(
        m_self,
        m_settings.region,
        engineOwnerLimits(m_settings),
        m_http,
        m_platform,
        [this](const auto &query, auto callback) { askOwner(query, std::move(callback)); });
    BackendPoller::Handlers pollerHandlers;
    pollerHandlers.reported = [this](const LoadReport &report) {
        m_backends.reported(report, steadyNow());
        m_engineOwner->reported(report, steadyNow());
    };
    pollerHandlers.unreachable = [this](const std::string &backend) {
        m_backends.unreachable(backend);
    };
    pollerHandlers.cacheChanged = [this](const link::CacheUpdate &update) {
        cacheChanged(update);
    };
    m_poller = std::make_shared<BackendPoller>(
        m_http, PollLimits{m_settings.pollInterval, m_settings.sweepInterval}, m_settings.pollTimeout, pollerHandlers);

    RouterLink::Handlers routerHandlers;
    routerHandlers.connected = [this] {
        routerConnected();
    };
    routerHandlers.received = [this](LinkMessage message) {
        routerMessageReceived(std::move(message));
    };
    routerHandlers.lost = [this] {
        routerLost();
    };
    m_routerLink = RouterLink::listen(m_context, m_settings.listen, m_settings.sharedKey, std::move(routerHandlers));
    m_peerLinks = std::make_shared<PeerLinks>(m_context, m_settings.sharedKey);
    const auto onPeerMessage = [weak](PeerMessage message, const PeerLinks::Responder &respond) {
        if (const auto self = weak.lock()) {
            self->handlePeerMessage(std::move(message), respond);
        }
    };
    if (!m_routerLink || !m_peerLinks->listen(m_settings.peers, onPeerMessage)) {
        return false;
    }
    const auto onDatagram = [weak](const OwnerId &sender, const std::string &address, const std::string &payload) {
        const auto self = weak.lock();
        auto message = decodeControlMessage(payload);
        if (self && message) {
            self->handleEvent(controlevent::Datagram{sender, address, std::move(*message)});
        }
    };
    m_datagrams = DatagramSocket::open(m_context, {m_settings.datagrams, m_settings.sharedKey, m_self}, onDatagram);
    return m_datagrams != nullptr;
}

void Controller::armTick()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->tick();
            self->armTick();
        }
    });
}

void Controller::tick()
{
    const auto now = steadyNow();
    handleEvent(controlevent::Tick{});
    if (now >= m_nextSlowTick) {
        m_nextSlowTick = now + SlowTickInterval;
        m_poller->tick(std::chrono::steady_clock::now());
        m_engineOwner->tick(now);
        releaseGroupsOfGoneInstances(now);
        m_groups.tick(now);
        processPeerReports();
        updateLeaving(now);
        expireRouterQueries(now);
        checkStop(now);
    }
    const bool stateChanged = m_backends.takeStateChange();
    if (now >= m_nextReport || stateChanged) {
        m_nextReport = now + ReportInterval;
        sendOwnReport(now, stateChanged);
    }
    if (now >= m_nextListRead && !m_listReadInProgress) {
        readPlatformList(now);
    }
    if (now >= m_nextSnapshot || (m_snapshotRequested && now >= m_lastSnapshot + SlowTickInterval)) {
        sendSnapshot(now);
    }
}

// Control logic.

void Controller::handleEvent(const ControlEvent &event)
{
    for (const auto &action : m_controlPlane.handle(event, steadyNow())) {
        execute(action);
    }
}

void Controller::execute(const ControlAction &action)
{
    if (const auto *message = std::get_if<controlaction::Send>(&action)) {
        if (!m_datagrams->send(message->address, encode(message->message))) {
            logEvent(LogLevel::Warning, "datagram_dropped", {{"reason", lastReason()}});
        }
    } else if (std::holds_alternative<controlaction::InstancesChanged>(action)) {
        instancesChanged();
    } else if (const auto *call = std::get_if<configspread::CallStore>(&action)) {
        m_platform->call(call->call, [weak = weak_from_this()](StoreReply reply) {
            if (const auto self = weak.lock()) {
                self->handleEvent(configspread::StoreAnswered{std::move(reply)});
            }
        });
    } else if (const auto *fetch = std::get_if<configspread::Fetch>(&action)) {
        fetchConfig(*fetch);
    } else if (const auto *adopted = std::get_if<configspread::Adopt>(&action)) {
        adopt(*adopted);
    } else if (const auto *admission = std::get_if<configspread::AdmissionChanged>(&action)) {
        logEvent(
            LogLevel::Info, "admission_changed", {{"admitting", admission->admitting}, {"reason", admission->reason}});
        m_snapshotRequested = true;
    }
}

void Controller::adopt(const configspread::Adopt &adopt)
{
    SettingsErrors errors;
    auto declarations = parseDeclarations(*adopt.yaml, "version " + std::to_string(adopt.version), errors);
    if (!declarations) {
        logEvent(LogLevel::Error,
                 "config_unusable",
                 {{"version", adopt.version}, {"reason", errors.messages().empty() ? "" : errors.messages().front()}});
        return;
    }
    m_declarations = std::move(*declarations);
    m_configVersion = adopt.version;
    logEvent(LogLevel::Info, "config_adopted", {{"version", adopt.version}, {"token", adopt.token}});
    m_backends.setDeclarations(m_declarations);
    updateServers();
    m_nextReport = {};
    m_snapshotRequested = true;
}

void Controller::fetchConfig(const configspread::Fetch &fetch)
{
    m_peerLinks->query(
        fetch.peerAddress, peer::ConfigFetch{}, FetchTimeout, [weak = weak_from_this()](const auto &reply) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            const auto *fetched = reply ? std::get_if<peer::ConfigFetched>(&*reply) : nullptr;
            if (fetched && fetched->version != 0) {
                self->handleEvent(configspread::Fetched{fetched->version, fetched->token, fetched->yaml});
            } else {
                self->handleEvent(configspread::FetchFailed{});
            }
        });
}

void Controller::instancesChanged()
{
    auto instances = m_controlPlane.instances();
    std::set<std::string> addresses;
    for (const auto &view : instances) {
        const auto previous = std::ranges::find(
            m_instances, view.id.instance, [](const auto &known) -> const auto & { return known.id.instance; });
        if (previous == m_instances.end() || previous->state != view.state || previous->id != view.id) {
            logEvent(LogLevel::Info, "instance", {{"name", view.id.instance}, {"state", nameOf(view.state)}});
        }
        if (view.state != InstanceState::Dead) {
            addresses.insert(view.peerAddress);
            m_deadSince.erase(view.id.instance);
        } else {
            m_deadSince.try_emplace(view.id.instance, steadyNow());
        }
    }
    m_instances = std::move(instances);
    m_peerLinks->retainOnly(addresses);
    m_backends.setInstances(m_instances);
    updateServers();
    m_snapshotRequested = true;
}

bool Controller::isPresumedGone(const std::string &instance) const
{
    const auto found = m_deadSince.find(instance);
    return found != m_deadSince.end() && steadyNow() - found->second >= PresumedGoneDelay;
}

/// Releases the group reservations of instances that are presumed gone. If one of them still uses an engine
/// after all, that engine refuses the work of another group.
void Controller::releaseGroupsOfGoneInstances(Instant now)
{
    for (const auto &[instance, since] : m_deadSince) {
        if (isPresumedGone(instance)) {
            m_groups.instanceGone(instance, now);
        }
    }
}

void Controller::sendOwnReport(Instant now, bool urgent)
{
    control::InstanceReport report;
    report.configVersion = m_configVersion;
    report.load = static_cast<std::uint8_t>(std::clamp(m_routerStatus.load, 0.0, 1.0) * FullLoadUnits);
    report.engines = m_backends.homeEngineLoads(now);
    report.listedLeaving.assign(m_listedLeaving.begin(), m_listedLeaving.end());
    report.setAside = BackendTable::compactReservedTokens(m_groups.setAside());
    handleEvent(controlevent::OwnReport{std::move(report), urgent});
}

/// Passes each new report of a peer to the backend table, and merges what all instances report as listed as leaving and
/// as set aside for groups.
void Controller::processPeerReports()
{
    std::set<std::uint32_t> listed = m_listedLeaving;
    auto setAside = BackendTable::compactReservedTokens(m_groups.setAside());
    for (const auto &[name, held] : m_controlPlane.load().reports()) {
        if (name == m_self.instance) {
            continue;
        }
        listed.insert(held.report.listedLeaving.begin(), held.report.listedLeaving.end());
        setAside.insert(setAside.end(), held.report.setAside.begin(), held.report.setAside.end());
        auto &lastSequence = m_processedSequences[name];
        if (lastSequence != held.report.sequence) {
            lastSequence = held.report.sequence;
            m_backends.applyHomeReport(held.report, held.madeAt);
        }
    }
    m_backends.setListedLeaving(std::move(listed));
    m_backends.setReservedTokens(setAside);
}

/// Tells peers whether to send callers to this instance. They should if its router is connected, or was until a moment
/// ago, and does not drain, and if the configuration state permits admission.
void Controller::updateLeaving(Instant now)
{
    const bool routerGone = !m_routerLink->connected() && now - m_routerLostAt >= RouterGrace;
    const bool leaving = routerGone || m_routerStatus.draining || !m_controlPlane.config().admitting();
    if (leaving != m_leaving) {
        m_leaving = leaving;
        logEvent(LogLevel::Info, "leaving_changed", {{"leaving", leaving}});
        handleEvent(controlevent::Leaving{leaving});
        instancesChanged();
    }
}

// The platform's instance list.

void Controller::readPlatformList(Instant now)
{
    m_listReadInProgress = true;
    const bool hasNoPeers = m_instances.size() < 2;
    auto interval = m_controlPlane.config().watching() ? WatcherListInterval : DefaultListInterval;
    interval = hasNoPeers ? NoPeersListInterval : interval;
    const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(m_random);
    m_nextListRead = now + fromSeconds(seconds(interval) * jitter);
    m_platform->instances([weak = weak_from_this()](const auto &list) {
        if (const auto self = weak.lock()) {
            self->handlePlatformList(list);
        }
    });
}

void Controller::handlePlatformList(const std::optional<std::vector<PlatformInstance>> &list)
{
    m_listReadInProgress = false;
    if (!list) {
        return;
    }
    auto addresses = m_settings.seeds;
    std::set<std::uint32_t> leaving;
    for (const auto &entry : *list) {
        if (entry.role == PlatformRole::Entry) {
            addresses.push_back(entry.address);
        } else if (entry.leaving) {
            leaving.insert(BackendTable::backendNameHash(entry.name));
        }
    }
    handleEvent(membership::AddressesLearned{std::move(addresses)});
    // Watchers read the list often and report it to the other instances, whose own rare readings are stale.
    m_listedLeaving = m_controlPlane.config().watching() ? std::move(leaving) : std::set<std::uint32_t>{};
    processPeerReports();
}

// Backend servers.

void Controller::updateServers()
{
    const auto home = m_backends.homeServers();
    std::vector<BackendServer> others;
    const auto all = m_backends.servers();
    if (all.size() <= MaximumSharedEventServers) {
        others = all;
        std::erase_if(others, [&](const auto &server) {
            return std::ranges::find(home, server.name, &BackendServer::name) != home.end();
        });
    }
    m_poller->setServers(home, others);
    const auto engines = std::ranges::count(m_declarations.backends, BackendKind::Engine, &BackendServer::kind);
    m_engineOwner->setServers(m_onStopped ? std::vector<BackendServer>{} : home,
                              static_cast<std::size_t>(engines),
                              m_declarations.limits.weightLoadsPerMinute,
                              steadyNow());
}

void Controller::cacheChanged(const link::CacheUpdate &update)
{
    auto &blocks = m_cachedBlocks[update.backend];
    if (update.reset) {
        blocks.clear();
    }
    for (const auto block : update.removed) {
        blocks.erase(block);
    }
    blocks.insert(update.added.begin(), update.added.end());
    m_routerLink->send(update);
}

// Stopping.

void Controller::stop(std::function<void()> onStopped)
{
    m_onStopped = std::move(onStopped);
    m_stopRequestedAt = steadyNow();
    m_engineOwner->stop();
    updateServers();
}

void Controller::checkStop(Instant now)
{
    if (!m_onStopped || now - m_stopRequestedAt < StopGrace) {
        return;
    }
    if (m_routerLink->connected() && m_routerStatus.draining && !m_routerStatus.drained) {
        return;
    }
    if (m_engineOwner->released() || now - m_stopRequestedAt > StopTimeout) {
        logEvent(LogLevel::Info, "stopped", {{"leases_released", m_engineOwner->released()}});
        std::exchange(m_onStopped, nullptr)();
    }
}

} // namespace pomelocontroller

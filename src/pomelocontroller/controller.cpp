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

/// Time between two ticks of the control decisions, and between those of what may wait longer.
constexpr std::chrono::milliseconds TickInterval{40};
constexpr Duration SlowInterval = std::chrono::milliseconds(50);
constexpr Duration ReportInterval = std::chrono::milliseconds(250);
/// Time that a lost router is given to come back before the instance leaves discovery.
constexpr Duration RouterGrace = std::chrono::seconds(2);
/// Time after its death from which an instance whose router takes no connection counts as gone for good.
constexpr Duration OwnerGoneAfter = std::chrono::seconds(5);
/// Readings of the platform's list by watchers, by an instance without peers, and by the others.
constexpr std::chrono::milliseconds WatcherListInterval{2'000};
constexpr std::chrono::milliseconds LonelyListInterval{3'000};
constexpr std::chrono::milliseconds OtherListInterval{60'000};
/// Time that a stopping controller gives its router to start a drain, and the store to take the leases back.
constexpr Duration StopGrace = std::chrono::seconds(1);
constexpr Duration StopPatience = std::chrono::seconds(5);
constexpr std::chrono::milliseconds FetchTimeout{1'000};
constexpr double LoadUnits = 255;

control::MemberRecord recordOf(const ControllerSettings &settings, std::uint64_t incarnation)
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

EngineOwner::Limits ownerLimits(const ControllerSettings &settings)
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
    , m_plane(controlSettings(recordOf(settings, incarnation), m_random()), steadyNow())
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
    controller->feed(membership::AddressesLearned{settings.seeds});
    controller->feed(controlevent::Leaving{true});
    controller->armTick();
    return controller;
}

bool Controller::open()
{
    const auto weak = weak_from_this();
    m_owner = std::make_shared<EngineOwner>(
        m_self,
        m_settings.region,
        ownerLimits(m_settings),
        m_http,
        m_platform,
        [this](const auto &query, auto callback) { askOwner(query, std::move(callback)); });
    BackendPoller::Handlers polled;
    polled.reported = [this](const LoadReport &report) {
        m_backends.reported(report, steadyNow());
        m_owner->reported(report, steadyNow());
    };
    polled.unreachable = [this](const std::string &backend) {
        m_backends.unreachable(backend);
    };
    polled.cacheChanged = [this](const link::CacheUpdate &update) {
        cacheChanged(update);
    };
    m_poller = std::make_shared<BackendPoller>(
        m_http, PollLimits{m_settings.pollInterval, m_settings.sweepInterval}, m_settings.pollTimeout, polled);

    RouterLink::Handlers routed;
    routed.connected = [this] {
        routerConnected();
    };
    routed.received = [this](LinkMessage message) {
        routerSent(std::move(message));
    };
    routed.lost = [this] {
        routerLost();
    };
    m_router = RouterLink::listen(m_context, m_settings.listen, m_settings.sharedKey, std::move(routed));
    m_peers = std::make_shared<PeerLinks>(m_context, m_settings.sharedKey);
    const auto asked = [weak](PeerMessage message, const PeerLinks::Responder &respond) {
        if (const auto self = weak.lock()) {
            self->peerAsked(std::move(message), respond);
        }
    };
    if (!m_router || !m_peers->listen(m_settings.peers, asked)) {
        return false;
    }
    const auto arrived = [weak](const OwnerId &sender, const std::string &address, const std::string &payload) {
        const auto self = weak.lock();
        auto message = decodeControlMessage(payload);
        if (self && message) {
            self->feed(controlevent::Datagram{sender, address, std::move(*message)});
        }
    };
    m_datagrams = DatagramSocket::open(m_context, {m_settings.datagrams, m_settings.sharedKey, m_self}, arrived);
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
    feed(controlevent::Tick{});
    if (now >= m_nextSlow) {
        m_nextSlow = now + SlowInterval;
        m_poller->tick(std::chrono::steady_clock::now());
        m_owner->tick(now);
        releaseGroupsOfDead(now);
        m_groups.tick(now);
        hearReports();
        updateLeaving(now);
        expireRouterQueries(now);
        checkStop(now);
    }
    const bool stateChanged = m_backends.takeStateChange();
    if (now >= m_nextReport || stateChanged) {
        m_nextReport = now + ReportInterval;
        sendOwnReport(now, stateChanged);
    }
    if (now >= m_nextList && !m_listing) {
        readList(now);
    }
    if (now >= m_nextSnapshot || (m_snapshotWanted && now >= m_lastSnapshot + SlowInterval)) {
        sendSnapshot(now);
    }
}

// Control decisions.

void Controller::feed(const ControlEvent &event)
{
    for (const auto &action : m_plane.handle(event, steadyNow())) {
        carryOut(action);
    }
}

void Controller::carryOut(const ControlAction &action)
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
                self->feed(configspread::StoreAnswered{std::move(reply)});
            }
        });
    } else if (const auto *fetch = std::get_if<configspread::Fetch>(&action)) {
        fetchConfig(*fetch);
    } else if (const auto *adopted = std::get_if<configspread::Adopt>(&action)) {
        adopt(*adopted);
    } else if (const auto *admission = std::get_if<configspread::AdmissionChanged>(&action)) {
        logEvent(
            LogLevel::Info, "admission_changed", {{"admitting", admission->admitting}, {"reason", admission->reason}});
        m_snapshotWanted = true;
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
    m_snapshotWanted = true;
}

void Controller::fetchConfig(const configspread::Fetch &fetch)
{
    m_peers->query(fetch.peerAddress, peer::ConfigFetch{}, FetchTimeout, [weak = weak_from_this()](const auto &reply) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto *fetched = reply ? std::get_if<peer::ConfigFetched>(&*reply) : nullptr;
        if (fetched && fetched->version != 0) {
            self->feed(configspread::Fetched{fetched->version, fetched->token, fetched->yaml});
        } else {
            self->feed(configspread::FetchFailed{});
        }
    });
}

void Controller::instancesChanged()
{
    auto instances = m_plane.instances();
    std::set<std::string> addresses;
    for (const auto &view : instances) {
        const auto before = std::ranges::find(
            m_instances, view.id.instance, [](const auto &known) -> const auto & { return known.id.instance; });
        if (before == m_instances.end() || before->state != view.state || before->id != view.id) {
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
    m_peers->keep(addresses);
    m_backends.setInstances(m_instances);
    updateServers();
    m_snapshotWanted = true;
}

bool Controller::isLongDead(const std::string &instance) const
{
    const auto found = m_deadSince.find(instance);
    return found != m_deadSince.end() && steadyNow() - found->second >= OwnerGoneAfter;
}

/// Frees the reservations of instances that have been dead for long. An engine that is in use after all refuses.
void Controller::releaseGroupsOfDead(Instant now)
{
    for (const auto &[instance, since] : m_deadSince) {
        if (isLongDead(instance)) {
            m_groups.instanceGone(instance, now);
        }
    }
}

void Controller::sendOwnReport(Instant now, bool urgent)
{
    control::InstanceReport report;
    report.configVersion = m_configVersion;
    report.load = static_cast<std::uint8_t>(std::clamp(m_routerStatus.load, 0.0, 1.0) * LoadUnits);
    report.engines = m_backends.homeEngineLoads(now);
    report.listedLeaving.assign(m_listedLeaving.begin(), m_listedLeaving.end());
    report.setAside = BackendTable::compactReservedTokens(m_groups.setAside());
    feed(controlevent::OwnReport{std::move(report), urgent});
}

/// Passes the reports of peers on to the table of backend servers, each once.
void Controller::hearReports()
{
    std::set<std::uint32_t> listed = m_listedLeaving;
    auto setAside = BackendTable::compactReservedTokens(m_groups.setAside());
    for (const auto &[name, held] : m_plane.load().reports()) {
        if (name == m_self.instance) {
            continue;
        }
        listed.insert(held.report.listedLeaving.begin(), held.report.listedLeaving.end());
        setAside.insert(setAside.end(), held.report.setAside.begin(), held.report.setAside.end());
        auto &seen = m_heardSequences[name];
        if (seen != held.report.sequence) {
            seen = held.report.sequence;
            m_backends.applyHomeReport(held.report, held.madeAt);
        }
    }
    m_backends.setListedLeaving(std::move(listed));
    m_backends.setReservedTokens(setAside);
}

/// Tells peers whether callers should come here: only with a running router that does not drain, and while admitting.
void Controller::updateLeaving(Instant now)
{
    const bool routerGone = !m_router->connected() && now - m_routerLostAt >= RouterGrace;
    const bool leaving = routerGone || m_routerStatus.draining || !m_plane.config().admitting();
    if (leaving != m_leaving) {
        m_leaving = leaving;
        logEvent(LogLevel::Info, "leaving_changed", {{"leaving", leaving}});
        feed(controlevent::Leaving{leaving});
        instancesChanged();
    }
}

// The platform's list.

void Controller::readList(Instant now)
{
    m_listing = true;
    const bool lonely = m_instances.size() < 2;
    auto interval = m_plane.config().watching() ? WatcherListInterval : OtherListInterval;
    interval = lonely ? LonelyListInterval : interval;
    const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(m_random);
    m_nextList = now + fromSeconds(seconds(interval) * jitter);
    m_platform->instances([weak = weak_from_this()](const auto &list) {
        if (const auto self = weak.lock()) {
            self->listAnswered(list);
        }
    });
}

void Controller::listAnswered(const std::optional<std::vector<PlatformInstance>> &list)
{
    m_listing = false;
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
    feed(membership::AddressesLearned{std::move(addresses)});
    // Watchers read the list often and tell the others; what another instance read long ago is no news.
    m_listedLeaving = m_plane.config().watching() ? std::move(leaving) : std::set<std::uint32_t>{};
    hearReports();
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
    m_owner->setServers(m_stopped ? std::vector<BackendServer>{} : home,
                        static_cast<std::size_t>(engines),
                        m_declarations.limits.weightLoadsPerMinute,
                        steadyNow());
}

void Controller::cacheChanged(const link::CacheUpdate &update)
{
    auto &blocks = m_cache[update.backend];
    if (update.reset) {
        blocks.clear();
    }
    for (const auto block : update.removed) {
        blocks.erase(block);
    }
    blocks.insert(update.added.begin(), update.added.end());
    m_router->send(update);
}

// Stopping.

void Controller::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_stopAt = steadyNow();
    m_owner->stop();
    updateServers();
}

void Controller::checkStop(Instant now)
{
    if (!m_stopped || now - m_stopAt < StopGrace) {
        return;
    }
    if (m_router->connected() && m_routerStatus.draining && !m_routerStatus.drained) {
        return;
    }
    if (m_owner->released() || now - m_stopAt > StopPatience) {
        logEvent(LogLevel::Info, "stopped", {{"leases_released", m_owner->released()}});
        std::exchange(m_stopped, nullptr)();
    }
}

} // namespace pomelocontroller

#include "traffic.h"

#include <boost/json.hpp>

namespace faultmatrix
{

using namespace pomeloport;

namespace
{

constexpr Duration ObservedDelay = std::chrono::seconds(1);
constexpr Duration ApplyDelay = std::chrono::milliseconds(1500);
constexpr Duration BackgroundInterval = std::chrono::milliseconds(400);
constexpr std::uint64_t BackgroundRequests = 24;
constexpr Duration Patience = std::chrono::seconds(20);
constexpr Duration WatchInterval = std::chrono::milliseconds(50);
constexpr Duration ResendDelay = std::chrono::milliseconds(300);
constexpr Duration CancelDelay = std::chrono::milliseconds(2500);
constexpr Duration DrainDelay = std::chrono::milliseconds(100);
constexpr Duration OperatorRetry = std::chrono::milliseconds(200);
constexpr std::uint64_t GroupTokens = 90'000;
constexpr std::uint64_t PromptTokens = 2'000;
constexpr std::uint64_t ChunkCount = 30;
constexpr std::uint64_t GroupChunkCount = 10;

} // namespace

Traffic::Traffic(World &world, Work observed, Step step)
    : m_world(world)
    , m_observedWork(observed)
    , m_step(step)
    , m_operator(std::make_shared<Process>(world.clock()))
{
}

std::optional<std::size_t> Traffic::observed() const
{
    return m_observed;
}

void Traffic::start()
{
    background();
    m_world.clock().after(ObservedDelay, [this] { sendObserved(); });
    m_world.clock().after(ApplyDelay, [this] { apply("m+a", "change-1", true); });
}

Demand Traffic::demandOf(Work work)
{
    Demand demand;
    demand.work = work;
    demand.key = std::to_string(++m_lastDemand);
    demand.issuedAt = m_world.clock().wall();
    demand.promptDigest = m_world.random()();
    demand.promptTokens = work == Work::GroupPrompt ? GroupTokens : PromptTokens;
    demand.chunks = work == Work::GroupPrompt ? GroupChunkCount : ChunkCount;
    if (work == Work::Action) {
        demand.chunks = 1;
    }
    demand.patience = Patience;
    return demand;
}

void Traffic::background()
{
    if (m_settling || m_backgroundSent >= BackgroundRequests) {
        return;
    }
    constexpr std::array Kinds{Work::Answer, Work::Action, Work::Answer, Work::EngineAction};
    const Work work = Kinds[m_backgroundSent++ % Kinds.size()];
    const std::vector<std::string> instances = discover();
    if (!instances.empty()) {
        send(demandOf(work), instances[m_world.random()() % instances.size()], false);
    }
    m_world.clock().after(BackgroundInterval, [this] { background(); });
}

void Traffic::sendObserved()
{
    m_cachedAt = {};
    m_world.step(Step::Discover, {"r1", {}, {}, {}});
    const std::vector<std::string> instances = discover();
    if (instances.empty()) {
        m_world.clock().after(ResendDelay, [this] { sendObserved(); });
        return;
    }
    send(demandOf(m_observedWork), instances.front(), true);
    if (m_step == Step::Cancel) {
        m_world.clock().after(CancelDelay, [this] { cancelObserved(); });
    }
}

/// Asks the instances in turn which ones to use, and keeps the answer for its lifetime.
std::vector<std::string> Traffic::discover()
{
    if (!m_cachedInstances.empty() && m_world.clock().now() < m_cachedAt + DiscoveryLifetime) {
        return m_cachedInstances;
    }
    for (Instance &instance : m_world.instances()) {
        const bool answers = instance.router->process()->running() && instance.router->snapshot();
        if (!answers || m_world.takeConnectionFault(instance.name) != ConnectionFault::None) {
            continue;
        }
        std::vector<std::string> names;
        for (const InstanceView &view : instance.router->snapshot()->instances) {
            if (view.state == InstanceState::Alive) {
                names.push_back(view.id.instance);
            }
        }
        if (!names.empty()) {
            m_cachedInstances = names;
            m_cachedAt = m_world.clock().now();
            return names;
        }
    }
    return {};
}

void Traffic::send(const Demand &demand, const std::string &instance, bool observed)
{
    const std::size_t sending = m_world.truth().send(demand, instance);
    if (observed) {
        m_observed = sending;
        m_world.step(Step::Admit, {instance, {}, sending, {}});
    }
    if (m_settling) {
        m_finalSendings.insert(sending);
    }
    deliver(sending, instance, m_world.takeConnectionFault(instance));
    watch(sending);
}

void Traffic::deliver(std::size_t sending, const std::string &instance, ConnectionFault fault)
{
    const std::shared_ptr<Router> router = m_world.instance(instance).router;
    if (fault == ConnectionFault::BeforeSend || !router->process()->alive()) {
        m_world.truth().lost(sending);
        return;
    }
    router->process()->post(NetworkDelay, [router, sending] { router->request(sending); });
    if (fault == ConnectionFault::AfterSend) {
        m_world.clock().after(3 * NetworkDelay, [this, router, sending] {
            m_world.truth().reset(sending);
            router->callerGone(sending);
        });
    }
}

/// Waits for the outcome of a sending. Actions without an answer are sent again, to the next instance.
void Traffic::watch(std::size_t sending)
{
    const Sending &told = m_world.truth().sendings()[sending];
    const Instance &instance = m_world.instance(told.instance);
    const bool answering = instance.router->process()->running() && !instance.stoppingSince;
    if (!told.ended() && m_world.clock().now() >= told.deadline && (!told.admitted || !answering)) {
        m_world.truth().lost(sending);
    }
    if (!told.ended() && m_world.clock().now() < told.deadline + WatchInterval) {
        m_world.clock().after(WatchInterval, [this, sending] { watch(sending); });
        return;
    }
    if (told.whole || told.cancelled || !told.demand.nonIdempotent() || m_settling) {
        return;
    }
    m_world.clock().after(ResendDelay, [this, demand = told.demand, before = told.instance] {
        const std::vector<std::string> instances = discover();
        if (m_settling || instances.empty()) {
            return;
        }
        const auto place = std::find(instances.begin(), instances.end(), before);
        const std::size_t next = place == instances.end() ? 0 : (place - instances.begin() + 1) % instances.size();
        send(demand, instances[next], false);
    });
}

void Traffic::stepReached(Step step, const StepContext &context)
{
    if (!m_observed || context.sending != m_observed) {
        return;
    }
    if (m_step == Step::Cancel && step == Step::MidStream) {
        m_world.clock().after({}, [this] { cancelObserved(); });
    }
    if (m_step == Step::Drain && step == Step::Send && !m_left) {
        m_left = true;
        m_world.clock().after(DrainDelay, [this] { drainObserved(); });
    }
}

void Traffic::cancelObserved()
{
    const Sending &told = m_world.truth().sendings()[*m_observed];
    if (told.ended()) {
        return;
    }
    m_world.truth().cancelled(*m_observed);
    const std::shared_ptr<Router> router = m_world.instance(told.instance).router;
    router->process()->post(NetworkDelay, [router, sending = *m_observed] { router->callerGone(sending); });
}

void Traffic::drainObserved()
{
    const std::string instance = m_world.truth().sendings()[*m_observed].instance;
    m_world.step(Step::Drain, {instance, {}, m_observed, {}});
    m_world.beginStop(m_world.instance(instance));
}

void Traffic::apply(const std::string &yaml, const std::string &token, bool rebase)
{
    StoreCall get;
    get.operation = StoreOperation::Get;
    get.kind = ConfigKind;
    get.name = ConfigName;
    m_world.store().call(m_operator, "operator", get, [=, this](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok && !reply.objects.empty()) {
            write(reply.objects.front(), yaml, token, rebase);
        } else {
            m_operator->post(OperatorRetry, [=, this] { apply(yaml, token, rebase); });
        }
    });
}

void Traffic::write(const StoreObject &object, const std::string &yaml, const std::string &token, bool rebase)
{
    if (object.value.find(token) != std::string::npos) {
        return;
    }
    boost::json::object value;
    value["token"] = token;
    value["yaml"] = yaml;
    StoreCall update;
    update.operation = StoreOperation::Update;
    update.kind = ConfigKind;
    update.name = ConfigName;
    update.ifVersion = object.version;
    update.value = boost::json::serialize(value);
    if (rebase) {
        m_world.step(Step::Apply, {"operator", {}, {}, {}});
    }
    m_world.store().call(m_operator, "operator", update, [=, this](const StoreReply &reply) {
        if (!rebase) {
            if (reply.status == StoreStatus::Ok) {
                m_replacedVersions.push_back(update.ifVersion);
            }
            return;
        }
        if (reply.status != StoreStatus::Ok) {
            m_operator->post(OperatorRetry, [=, this] { apply(yaml, token, rebase); });
        }
    });
}

void Traffic::editConflictingly()
{
    apply("m+b", "conflict-1", false);
    apply("m+c", "conflict-2", false);
}

void Traffic::settle()
{
    m_settling = true;
    m_cachedAt = {};
    std::map<std::string, Demand> actions;
    for (const Sending &sending : m_world.truth().sendings()) {
        if (sending.demand.nonIdempotent() && !sending.cancelled) {
            actions.emplace(sending.demand.key, sending.demand);
        }
    }
    const std::vector<std::string> instances = discover();
    for (const auto &[key, demand] : actions) {
        if (!instances.empty()) {
            send(demand, instances.back(), false);
        }
    }
}

/// Whether a sending ended as it has to when no fault excuses another end.
bool Traffic::endedWell(const Sending &sending) const
{
    const bool refused = sending.failure && !sending.started;
    return !sending.admitted || sending.whole || sending.cancelled || sending.reset || refused;
}

void Traffic::check(const std::vector<Fault> &faults)
{
    const bool strict = std::none_of(faults.begin(), faults.end(), mayFailRequests);
    const bool planned = std::all_of(faults.begin(), faults.end(), [](Fault fault) {
        return fault == Fault::InstanceStops || fault == Fault::BackendLeaves;
    });
    const std::vector<Sending> &sendings = m_world.truth().sendings();
    for (std::size_t i = 0; i < sendings.size(); ++i) {
        const bool bound = planned || (strict && !sendings[i].demand.nonIdempotent());
        if (bound && !endedWell(sendings[i])) {
            m_world.truth().violate("sending " + std::to_string(i) + " was cut off although no fault excuses it");
        }
    }
    checkResends();
    if (m_replacedVersions.size() == 2 && m_replacedVersions[0] == m_replacedVersions[1]) {
        m_world.truth().violate("two conflicting edits of one version were both accepted");
    }
}

/// A resend after nothing but not_run is accepted; a resend after the whole answer gets the recorded one, unless the
/// process that had to record it is gone.
void Traffic::checkResends()
{
    std::map<std::string, bool> onlyNotRun;
    std::map<std::string, OwnerId> answeredBy;
    const std::vector<Sending> &sendings = m_world.truth().sendings();
    for (std::size_t i = 0; i < sendings.size(); ++i) {
        const Sending &sending = sendings[i];
        const std::string &key = sending.demand.key;
        if (!sending.demand.nonIdempotent()) {
            continue;
        }
        bool &notRun = onlyNotRun.emplace(key, true).first->second;
        const std::string name = "resend " + std::to_string(i) + " of action " + key;
        const auto reason = sending.failure ? sending.failure->reason : ReasonCode::Internal;
        const bool blockedByClaim =
            sending.failure && (reason == ReasonCode::ActionUncertain || reason == ReasonCode::ActionInProgress);
        const bool unanswered = m_finalSendings.contains(i) && !sending.whole;
        if (notRun && (blockedByClaim || unanswered)) {
            m_world.truth().violate(name + " was not accepted although only not_run was told before");
        }
        const auto recorder = answeredBy.find(key);
        const bool recorded = recorder != answeredBy.end()
            && m_world.instance(recorder->second.instance).router->id() == recorder->second;
        if (recorded && unanswered) {
            m_world.truth().violate(name + " did not get the recorded outcome");
        }
        notRun = notRun && sending.failure && sending.failure->verdict == Verdict::NotRun;
        if (sending.whole) {
            answeredBy.emplace(key, sending.stream.owner);
        }
    }
}

} // namespace faultmatrix

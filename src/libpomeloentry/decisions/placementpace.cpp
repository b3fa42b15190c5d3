#include "pomeloentry/decisions/entryplacement.h"

#include <algorithm>
#include <cmath>

/// The part of EntryPlacement that paces servers which are cold, new or recovered.
namespace pomeloentry
{

using pomeloport::Route;

namespace
{

/// Answer time assumed until the first answer, in milliseconds.
constexpr double AssumedAnswerMs = 20;
/// Weight of a new answer in the observed slowdown, the time constant by which that decays to 1, the time after which
/// it is 1, and its limits: a single answer tells little, and a wrong cost model must not exclude a server.
constexpr double SlowdownWeight = 0.2;
constexpr double SlowdownDecaySeconds = 10;
constexpr double SlowdownMemorySeconds = 60;
constexpr double LeastSlowdown = 0.5;
constexpr double MostSlowdown = 4;

} // namespace

/// Tells the pace which servers there are. Requires the mutex.
void EntryPlacement::listPace(Instant now)
{
    std::vector<ListedServer> listed;
    listed.reserve(m_state->backends.size());
    for (const auto &[id, backend] : m_state->backends) {
        ListedServer server{backendKey(backend), backend.slots, 0, backend.learnedAt, backend.coldRemaining, {}};
        if (m_state->routing) {
            const auto service = m_state->routing->services.find(backend.service);
            if (service != m_state->routing->services.end()) {
                server.coldLimit = m_pace.coldLimit(service->second.coldRate);
                server.coldTime = service->second.coldTime;
            }
        }
        if (server.learnedAt == Instant{}) {
            server.learnedAt = now;
        }
        listed.push_back(server);
    }
    m_pace.list(listed, now);
}

/// Whether windows apply to the servers of a service. If all that stay are new, no others can take their requests.
bool EntryPlacement::windowsApply(const ServiceView &service, Instant now) const
{
    if (m_pace.isIdle()) {
        return false;
    }
    for (std::size_t i = 0; i < service.keys.size(); ++i) {
        const auto key = service.keys[i];
        if (!m_pace.isPaced(key) && !service.backends[i]->leaving
            && m_notices.standing(key, now) != ServerNotices::Standing::Leaving) {
            return true;
        }
    }
    return false;
}

bool EntryPlacement::pacePermits(std::uint32_t key, bool windows, Instant now) const
{
    if (m_pace.isIdle()) {
        return true;
    }
    if (!m_pace.limitPermits(key, now)) {
        return false;
    }
    if (!windows || !m_pace.isPaced(key)) {
        return true;
    }
    const auto placed = m_ledger.byBackend().find(key);
    return m_pace.windowPermits(key, placed == m_ledger.byBackend().end() ? 0 : placed->second.size(), now);
}

/// Answer time assumed of a server that has not answered yet, in milliseconds. One that is paced by its answers is
/// assumed to be as fast as the fastest other one: it would be left idle if the others are faster than a constant.
double EntryPlacement::assumedAnswerMs(const ServiceView &service) const
{
    double result = AssumedAnswerMs;
    for (std::size_t i = 0; m_policy.pace.enabled && i < service.keys.size(); ++i) {
        const auto known = m_health.find(service.keys[i]);
        if (known != m_health.end() && known->second.answerMs.average() > 0) {
            result = std::min(result, known->second.answerMs.average());
        }
    }
    return result;
}

AnswerAverages EntryPlacement::averagesOf(const ServiceView &service, AnswerHistory Health::*history) const
{
    AnswerAverages result(m_policy.pace.averageLifetime);
    for (std::size_t i = 0; m_policy.pace.averageLifetime > Duration::zero() && i < service.keys.size(); ++i) {
        const auto known = m_health.find(service.keys[i]);
        if (known != m_health.end()) {
            result.add(known->second.*history);
        }
    }
    return result;
}

/// Whether a server has answered, and if it is warm, to a request that was sent since.
bool EntryPlacement::isOfPresent(std::uint32_t key, const AnswerHistory &history, Instant now) const
{
    return history.average() > 0 && (!history.isOfColdTime() || m_pace.wasCold(key, now));
}

/// Records an answer in one of the histories of its server. It is slow if it exceeds a multiple of the average of the
/// others by more than the margin.
void EntryPlacement::recordAnswer(const WorkItem &item,
                                  const std::string &backend,
                                  AnswerHistory Health::*history,
                                  double value,
                                  double margin,
                                  Instant now)
{
    const auto key = item.parts.front().backend;
    auto &own = health(key).*history;
    ObservedAnswer answer{value, std::nullopt, 0, false, 1, now};
    const auto name = m_serviceByKey.find(key);
    const auto service = name == m_serviceByKey.end() ? m_services.end() : m_services.find(name->second);
    if (m_policy.pace.averageLifetime > Duration::zero() && service != m_services.end()) {
        answer.isCold = m_pace.wasCold(key, item.startedAt);
        if (answer.isCold && !m_pace.wasCold(key, now)) {
            return;
        }
        auto averages = averagesOf(service->second, history);
        answer.staleness = averages.staleness(own);
        if (const auto others = averages.withoutOne(own)) {
            answer.slowAbove = *others * m_policy.pace.lateFactor + margin;
        }
        answer.slots = std::max(m_state->backends.at(backend).slots, 1U);
    }
    own.record(answer);
}

/// Counts the requests of an attempt. Returns false, and counts nothing, if the limit of one of the servers does not
/// permit them.
bool EntryPlacement::paceSent(const WorkItem &item, std::uint64_t sequence, Instant now)
{
    const auto permits = [this, now](const WorkPart &part) {
        return m_pace.limitPermits(part.backend, now);
    };
    if (!std::ranges::all_of(item.parts, permits)) {
        m_unsent.insert(item.key);
        return false;
    }
    for (const auto &part : item.parts) {
        m_pace.sent(part.backend, now);
    }
    if (const auto prediction = m_predictions.extract(sequence)) {
        m_attemptPredictions.insert_or_assign(item.key, prediction.mapped());
    }
    return true;
}

/// How much slower than declared a server answers another request.
double EntryPlacement::slowdownOf(std::uint32_t key,
                                  const Health &backendHealth,
                                  AnswerAverages &averages,
                                  Instant now) const
{
    if (m_policy.pace.averageLifetime <= Duration::zero()) {
        return decayedSlowdown(backendHealth, now);
    }
    if (!m_policy.pace.observeSlowdown) {
        return 1;
    }
    const auto &history = backendHealth.slowdowns;
    const auto placed = m_ledger.byBackend().find(key);
    const auto running = placed == m_ledger.byBackend().end() ? 0 : placed->second.size();
    return history.current(isOfPresent(key, history, now) ? averages.decayed(history) : 1, running);
}

double EntryPlacement::decayedSlowdown(const Health &backendHealth, Instant now) const
{
    if (!m_policy.pace.observeSlowdown || backendHealth.slowdownAt == Instant{}) {
        return 1;
    }
    const double age = pomeloport::seconds(now - backendHealth.slowdownAt);
    if (age > SlowdownMemorySeconds) {
        return 1;
    }
    return 1 + (backendHealth.slowdown - 1) * std::exp(-age / SlowdownDecaySeconds);
}

void EntryPlacement::keepPrediction(const CallWork &work, const Route &route, Duration first, Instant now)
{
    const auto key = keyOf(route.members.front().backend);
    const auto service = m_services.find(work.service);
    auto averages = service == m_services.end() ? AnswerAverages({}) : averagesOf(service->second, &Health::slowdowns);
    m_predictions.insert_or_assign(work.sequence, Prediction{first, slowdownOf(key, health(key), averages, now)});
}

/// Records how a server answered an attempt: for its window, and how much slower than declared it is.
void EntryPlacement::observeAnswer(const WorkItem &item, const std::string &backend, Instant now)
{
    const auto key = item.parts.front().backend;
    auto &backendHealth = health(key);
    const auto found = m_attemptPredictions.find(item.key);
    const auto prediction = found == m_attemptPredictions.end() ? Prediction{} : found->second;
    const auto taken = now - item.startedAt;
    m_pace.answered(key, taken, prediction.first, now);
    if (backendHealth.breaker.isOpen()) {
        m_pace.recovered(key, now);
    }
    const bool isPrompt = item.parts.front().prefillMs > 0;
    if (m_policy.pace.observeSlowdown && isPrompt && prediction.first > Duration::zero()) {
        const double observed =
            std::clamp(prediction.slowdown * pomeloport::seconds(taken) / pomeloport::seconds(prediction.first),
                       LeastSlowdown,
                       MostSlowdown);
        const double before = decayedSlowdown(backendHealth, now);
        backendHealth.slowdown = before + SlowdownWeight * (observed - before);
        backendHealth.slowdownAt = now;
        recordAnswer(item, backend, &Health::slowdowns, observed, 0, now);
    }
}

void EntryPlacement::setSenders(const SenderStanding &standing, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_pace.setSenders(standing, now);
}

std::vector<EntryPlacement::PaceChange> EntryPlacement::takePaceChanges(Instant now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<PaceChange> result;
    for (const auto &event : m_pace.takeEvents(now)) {
        const auto name = std::ranges::find(
            m_state->backends, event.server, [](const auto &entry) { return backendKey(entry.second); });
        result.push_back({name == m_state->backends.end() ? std::string() : name->first, event});
    }
    return result;
}

std::string EntryPlacement::paceMetricsText(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto counts = m_pace.counts(now);
    return "# HELP pomelo_servers_paced New or recovered backend servers with a limit on their requests in flight.\n"
           "# TYPE pomelo_servers_paced gauge\npomelo_servers_paced "
        + std::to_string(counts.paced)
        + "\n# HELP pomelo_servers_cold Backend servers that are cold.\n# TYPE pomelo_servers_cold gauge\n"
          "pomelo_servers_cold "
        + std::to_string(counts.cold) + "\n";
}

} // namespace pomeloentry

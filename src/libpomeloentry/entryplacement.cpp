#include "pomeloentry/entryplacement.h"

#include "pomeloentry/slotqueue.h"

#include <algorithm>
#include <cmath>

namespace pomeloentry
{

using pomeloport::Failure;
using pomeloport::ReasonCode;
using pomeloport::Route;
using pomeloport::RouteDecision;
using pomeloport::RouteQuery;
using pomeloport::Verdict;
using pomeloport::WaitUntil;

namespace
{

/// Weight of a new outcome in the decaying share of failures.
constexpr double RiskWeight = 0.25;
/// Weight of a new answer in the moving average of answer times.
constexpr double AnswerWeight = 0.2;
/// Answer time assumed before the first one, in milliseconds.
constexpr double AssumedAnswerMs = 20;
/// How much a backend server that failed every attempt is worse than one that failed none.
constexpr double RiskPenalty = 10;
/// When a caller may ask again that found no place.
constexpr std::chrono::milliseconds RetryAfterNoPlace{300};
/// When the caller of a long prompt may ask again that was refused in a burst: bursts last for several seconds.
constexpr std::chrono::milliseconds RetryAfterHeld{2000};
/// Attempts of one request are numbered below this in the keys of work items.
constexpr std::uint64_t AttemptsPerCall = 256;
/// The number that stands for a call that waits for a slot.
constexpr std::uint32_t WaitingAttempt = 0;
constexpr double MsPerSecond = 1000;
/// An odd number without pattern, which spreads keys over all orders.
constexpr std::uint64_t OrderFactor = 0x9E3779B97F4A7C15;

std::uint64_t itemKey(const CallWork &work, std::uint32_t attempt)
{
    return work.sequence * AttemptsPerCall + attempt % AttemptsPerCall;
}

/// A number from 0 to 1 that differs between calls and stays the same for one.
double fairDraw(const CallWork &work)
{
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(work.sequence * OrderFactor) / Range;
}

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::ranges::find(list, text) != list.end();
}

} // namespace

std::uint64_t memoryTokens(const CallWork &work)
{
    return work.promptTokens + work.answerTokens;
}

EntryPlacement::EntryPlacement(const EntryPolicy &policy, std::uint64_t seed)
    : m_policy(policy)
    , m_seed(seed)
    , m_state(std::make_shared<FleetState>())
    , m_repeats(policy.repeats)
{
}

void EntryPlacement::update(std::shared_ptr<const FleetState> state)
{
    const std::lock_guard lock(m_mutex);
    m_state = std::move(state);
    m_services.clear();
    m_serviceByKey.clear();
    std::unordered_map<std::uint32_t, Health> health;
    for (const auto &[id, backend] : m_state->backends) {
        const auto key = backendKey(backend);
        const auto known = m_health.find(key);
        health.emplace(key,
                       known != m_health.end() ? known->second : Health{pomeloport::CircuitBreaker(m_policy.breaker)});
        auto &service = m_services[backend.service];
        service.backends.push_back(&backend);
        m_serviceByKey.emplace(key, backend.service);
    }
    for (auto &[name, service] : m_services) {
        std::ranges::sort(service.backends, {}, [this](const BackendEntry *backend) {
            return (m_seed ^ backendKey(*backend)) * OrderFactor;
        });
        for (const auto *backend : service.backends) {
            service.keys.push_back(backendKey(*backend));
        }
    }
    m_health = std::move(health);
}

RouteDecision EntryPlacement::choose(const CallWork &work, const RouteQuery &query, Instant now, ChoiceNote &note)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(now);
    const auto *engine = engineOf(work.service);
    if (engine && work.promptTokens > 0) {
        return choosePrompt(work, *engine, query, now, note);
    }
    return choosePlain(work, query, now, note);
}

RouteDecision EntryPlacement::choosePrompt(const CallWork &work,
                                           const EngineCost &cost,
                                           const RouteQuery &query,
                                           Instant now,
                                           ChoiceNote &note)
{
    auto engines = candidates(work, query.avoid, now, note);
    if (queueForSlot(work, cost, engines, now, note)) {
        note.reason = "prompts that come before it wait for a slot, too";
        return waitOrRefuse(work, now, note);
    }
    const auto choice = bestEngines(work, cost, engines, now, note);
    if (!choice) {
        note.reason = "no engine has a free slot and memory";
        return waitOrRefuse(work, now, note);
    }
    // A call that was sent before is not refused for its worth: its answer may be half told.
    auto decision = query.attempt > 1 ? std::nullopt : holdOrRefuse(work, cost, *choice, now, note);
    if (decision) {
        return *decision;
    }
    if (!choice->tickets.empty()) {
        return pomeloport::NeedsGroup{work.service, memoryTokens(work)};
    }
    return routeOf(work, *choice);
}

std::vector<EngineCandidate> EntryPlacement::candidates(const CallWork &work,
                                                        const std::vector<std::string> &avoid,
                                                        Instant now,
                                                        ChoiceNote &note)
{
    const auto found = m_services.find(work.service);
    std::vector<EngineCandidate> result;
    if (found != m_services.end()) {
        const auto &view = found->second;
        for (std::size_t i = 0; i < view.backends.size(); ++i) {
            const auto &known = health(view.keys[i]);
            const bool avoided = contains(avoid, view.backends[i]->id);
            if (view.backends[i]->leaving || avoided || !known.breaker.permits(now)) {
                ++note.excluded;
                continue;
            }
            result.push_back({view.keys[i], view.backends[i], 1, known.risk});
        }
    }
    note.candidates = result.size();
    return result;
}

/// Leaves the engines at which the prompt may take a slot. Returns whether there are none: then it waits, and others
/// are told.
bool EntryPlacement::queueForSlot(const CallWork &work,
                                  const EngineCost &cost,
                                  std::vector<EngineCandidate> &engines,
                                  Instant now,
                                  ChoiceNote &note)
{
    const auto service = serviceKey(work.service);
    WorkItem item;
    item.key = itemKey(work, WaitingAttempt);
    item.waitsFor = service;
    item.startedAt = work.arrival;
    item.due = work.arrival + work.target;
    const auto startTime = pomeloport::fromSeconds(
        (m_policy.engines.roundTripMs + passMs(cost, static_cast<double>(cost.slots), 0)) / MsPerSecond);
    const auto waiting = m_ledger.waiting(service);
    const auto own = m_ledger.own().find(item.key);
    const auto &ranked = own == m_ledger.own().end() ? item : own->second;
    note.before = waitingBefore(ranked, waiting, startTime, now);
    const auto slots = static_cast<std::size_t>(static_cast<double>(cost.slots) * m_policy.engines.slotShare);
    const auto free = freeSlots(engines, m_ledger.byBackend(), slots);
    const auto wanting = waiting.size() + (own == m_ledger.own().end() ? 1 : 0);
    auto dealt = dealtEngines(note.before, wanting, engines, free);
    if (!dealt.empty()) {
        engines = std::move(dealt);
        return false;
    }
    if (own == m_ledger.own().end()) {
        m_ledger.open(std::move(item));
    }
    return true;
}

void EntryPlacement::leftQueue(const CallWork &work)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.close(itemKey(work, WaitingAttempt));
}

std::optional<EngineChoice> EntryPlacement::bestEngines(const CallWork &work,
                                                        const EngineCost &cost,
                                                        const std::vector<EngineCandidate> &engines,
                                                        Instant now,
                                                        ChoiceNote &note)
{
    auto choice =
        chooseEngines(promptOf(work, cost), cost, engines, m_ledger.byBackend(), demand(now), m_policy.engines, now);
    if (choice) {
        note.predictedFirst = choice->predictedFirst;
        note.loss = choice->loss;
        note.damage = choice->damage;
    }
    return choice;
}

/// Holds or refuses a prompt whose reading costs others more than it gains; nothing when it is to be placed.
std::optional<RouteDecision> EntryPlacement::holdOrRefuse(const CallWork &work,
                                                          const EngineCost &cost,
                                                          const EngineChoice &choice,
                                                          Instant now,
                                                          ChoiceNote &note) const
{
    const auto found = m_services.find(work.service);
    const auto engines = found == m_services.end() ? 0 : found->second.backends.size();
    const auto prompt = promptOf(work, cost);
    const auto &policy = m_policy.engines;
    const double price = readingPrice(prompt, cost, choice, engines, demand(now), policy);
    const bool isLong = readingMs(cost, static_cast<double>(work.promptTokens)) >= policy.heldReadingMs;
    const double left =
        prompt.worth * ((1 - policy.lateLoss) * (1 - choice.abandoned) + policy.lateLoss * (1 - choice.late));
    note.price = price;
    if (isLong) {
        if (!betterHeld(prompt, choice, price, policy)) {
            return std::nullopt;
        }
        note.reason = "reading it would delay prompts that are worth more";
        if (mayHold(work, cost, now)) {
            return WaitUntil{now + m_policy.waitStep};
        }
    }
    const bool worthwhile = choice.damage + (isLong ? price : 0) < left;
    if (worthwhile || (isLong && choice.abandoned < 1 && fairDraw(work) < m_policy.fairShare)) {
        return std::nullopt;
    }
    note.reason = "its answer would come too late for what it costs others";
    return Failure{Verdict::NotRun, ReasonCode::Overloaded, note.reason, isLong ? RetryAfterHeld : RetryAfterNoPlace};
}

/// Prompts that are served in the end although that costs others more are held up to the last moment; the others are
/// refused while their callers have time to come back.
bool EntryPlacement::mayHold(const CallWork &work, const EngineCost &cost, Instant now) const
{
    const auto span = work.deadline - work.arrival;
    const auto refusal = work.arrival + pomeloport::fromSeconds(pomeloport::seconds(span) * m_policy.longestWait);
    return now < lastStart(work, cost) && (fairDraw(work) < m_policy.fairShare || now < refusal);
}

Instant lastFirstEvent(const CallWork &work, const EngineCost &cost)
{
    const double events = static_cast<double>(work.answerTokens) / std::max(cost.stepsPerPass, 1.0);
    const double writingMs = events * passMs(cost, static_cast<double>(cost.slots), 0);
    return std::min(work.abandoned, work.deadline - pomeloport::fromSeconds(writingMs / MsPerSecond));
}

/// When a held prompt must start to be answered at all, read by a part of the engines.
Instant EntryPlacement::lastStart(const CallWork &work, const EngineCost &cost) const
{
    const auto found = m_services.find(work.service);
    const auto engines = found == m_services.end() ? 0 : found->second.backends.size();
    const double readers = std::clamp(
        static_cast<double>(engines) * m_policy.heldReaders, 1.0, static_cast<double>(m_policy.engines.maximumHelpers));
    const double readMs = readingMs(cost, static_cast<double>(work.promptTokens)) / readers;
    return lastFirstEvent(work, cost) - pomeloport::fromSeconds(readMs / MsPerSecond) - m_policy.heldMargin;
}

EngineDemand EntryPlacement::demand(Instant now) const
{
    return {m_ledger.readingRate(now), m_ledger.tightRate(m_policy.engines.tightGap, now)};
}

PromptWork EntryPlacement::promptOf(const CallWork &work, const EngineCost &cost) const
{
    return {work.promptTokens,
            work.answerTokens,
            work.eventGap,
            work.arrival + work.target,
            lastFirstEvent(work, cost),
            worthOf(work),
            m_seed ^ (work.sequence * OrderFactor)};
}

Route EntryPlacement::routeOf(const CallWork &work, const EngineChoice &choice) const
{
    Route route;
    route.members.push_back({choice.first->id, 0, work.promptTokens});
    for (const auto *helper : choice.helpers) {
        route.helpers.push_back({helper->id, {}});
    }
    const double predicted = pomeloport::seconds(choice.predictedFirst) * m_policy.patienceFactor;
    const double hoped = pomeloport::seconds(work.target) * m_policy.promptPatience;
    route.firstChunkTimeout = pomeloport::fromSeconds(std::max(predicted, hoped));
    return route;
}

std::optional<EntryPlacement::GroupPlan> EntryPlacement::planGroup(const CallWork &work,
                                                                   const std::vector<std::string> &avoid,
                                                                   Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(now);
    const auto *engine = engineOf(work.service);
    ChoiceNote note;
    const auto choice =
        engine ? bestEngines(work, *engine, candidates(work, avoid, now, note), now, note) : std::nullopt;
    if (!choice) {
        return std::nullopt;
    }
    GroupPlan plan{routeOf(work, *choice), choice->tickets};
    plan.tickets.resize(plan.route.helpers.size());
    return plan;
}

RouteDecision EntryPlacement::choosePlain(const CallWork &work, const RouteQuery &query, Instant now, ChoiceNote &note)
{
    const auto found = m_services.find(work.service);
    const BackendEntry *best = nullptr;
    double bestScore = 0;
    double bestMs = 0;
    const auto &inFlight = m_ledger.byBackend();
    const std::size_t count = found == m_services.end() ? 0 : found->second.backends.size();
    ++m_turn;
    for (std::size_t step = 0; step < count; ++step) {
        // Equals take turns.
        const auto i = (step + m_turn) % count;
        const auto *backend = found->second.backends[i];
        const auto &known = health(found->second.keys[i]);
        const auto placed = inFlight.find(found->second.keys[i]);
        const auto running = placed == inFlight.end() ? 0 : placed->second.size();
        if (backend->leaving || contains(query.avoid, backend->id) || !known.breaker.permits(now)
            || running >= backend->slots + m_policy.serviceQueue) {
            ++note.excluded;
            continue;
        }
        ++note.candidates;
        const double answerMs = known.answerMs > 0 ? known.answerMs : AssumedAnswerMs;
        const double queued = std::max(1.0, static_cast<double>(running + 1) / std::max(backend->slots, 1U));
        const double score =
            answerMs * queued * (1 + RiskPenalty * known.risk) * (1 + 0.1 * static_cast<double>(running));
        if (!best || score < bestScore) {
            best = backend;
            bestScore = score;
            bestMs = answerMs * queued;
        }
    }
    if (!best) {
        note.reason = "no backend server is ready with a free place";
        return waitOrRefuse(work, now, note);
    }
    note.predictedFirst = pomeloport::fromSeconds(bestMs / 1000);
    Route route;
    route.members.push_back({best->id, 0, 0});
    const auto predicted = pomeloport::fromSeconds(bestMs * m_policy.patienceFactor / 1000);
    const auto hoped = pomeloport::fromSeconds(pomeloport::seconds(work.target) * m_policy.plainPatience);
    route.firstChunkTimeout = std::max({predicted, hoped, m_policy.leastPatience});
    return route;
}

RouteDecision EntryPlacement::waitOrRefuse(const CallWork &work, Instant now, ChoiceNote &note) const
{
    const auto span = work.deadline - work.arrival;
    const auto latest = work.arrival + pomeloport::fromSeconds(pomeloport::seconds(span) * m_policy.longestWait);
    if (now + m_policy.waitStep < latest) {
        return WaitUntil{now + m_policy.waitStep};
    }
    note.reason = *note.reason ? note.reason : "no backend server is usable";
    return Failure{Verdict::NotRun, ReasonCode::Overloaded, note.reason, RetryAfterNoPlace};
}

void EntryPlacement::opened(const CallWork &work,
                            std::uint32_t attempt,
                            const Route &route,
                            const std::vector<std::uint64_t> &tickets,
                            Instant now)
{
    {
        const std::lock_guard lock(m_mutex);
        book(work, attempt, route, tickets, now);
    }
    if (m_opened) {
        m_opened();
    }
}

void EntryPlacement::onOpened(std::function<void()> callback)
{
    m_opened = std::move(callback);
}

void EntryPlacement::book(const CallWork &work,
                          std::uint32_t attempt,
                          const Route &route,
                          const std::vector<std::uint64_t> &tickets,
                          Instant now)
{
    WorkItem item;
    item.key = itemKey(work, attempt);
    item.repeat = attempt > 1;
    item.startedAt = now;
    item.due = work.arrival + work.target;
    item.eventGap = work.eventGap;
    item.worth = static_cast<float>(worthOf(work));
    const auto *engine = engineOf(work.service);
    const auto parts = static_cast<double>(route.helpers.size() + 1);
    const double readMs = engine ? readingMs(*engine, static_cast<double>(work.promptTokens)) / parts : 0.0;
    const auto add = [&](const std::string &backend, std::uint64_t tokens) {
        item.parts.push_back({keyOf(backend), static_cast<float>(readMs), static_cast<std::uint32_t>(tokens)});
    };
    std::uint64_t elsewhere = 0;
    for (const auto tokens : tickets) {
        elsewhere += tokens;
    }
    const auto whole = engine ? memoryTokens(work) : 0;
    add(route.members.front().backend, whole - std::min(whole, elsewhere));
    for (std::size_t i = 0; i < route.helpers.size(); ++i) {
        add(route.helpers[i].backend, i < tickets.size() ? tickets[i] : 0);
    }
    for (const auto &part : item.parts) {
        health(part.backend).breaker.sent(now);
    }
    noteAttempt(item, now);
    m_ledger.close(itemKey(work, WaitingAttempt));
    m_ledger.open(std::move(item));
}

void EntryPlacement::answered(const CallWork &work, std::uint32_t attempt, const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto key = itemKey(work, attempt);
    const auto found = m_ledger.own().find(key);
    if (found == m_ledger.own().end() || found->second.writing) {
        return;
    }
    auto &known = health(keyOf(backend));
    known.breaker.succeeded(now);
    const double took = pomeloport::seconds(now - found->second.startedAt) * 1000;
    known.answerMs = known.answerMs == 0 ? took : known.answerMs + AnswerWeight * (took - known.answerMs);
    m_ledger.firstEvent(key, now);
}

void EntryPlacement::closed(const CallWork &work,
                            std::uint32_t attempt,
                            const std::string &backend,
                            pomeloport::action::CloseAttempt::Outcome outcome,
                            Instant now)
{
    using Outcome = pomeloport::action::CloseAttempt::Outcome;
    const std::lock_guard lock(m_mutex);
    const auto key = keyOf(backend);
    if (outcome == Outcome::Broken || outcome == Outcome::Refused) {
        noteFailure(key, now);
    }
    if (outcome == Outcome::Completed) {
        auto &known = health(key);
        known.risk -= RiskWeight * known.risk;
    }
    m_ledger.close(itemKey(work, attempt));
}

void EntryPlacement::failed(const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_mutex);
    noteFailure(keyOf(backend), now);
}

void EntryPlacement::noteFailure(std::uint32_t key, Instant now)
{
    auto &known = health(key);
    known.breaker.failed(now);
    known.risk += RiskWeight * (1 - known.risk);
}

bool EntryPlacement::permitRetry(const CallWork &work, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(now);
    return m_repeats.permits(work.service, m_ledger.heardShare(now), now);
}

/// Notes an attempt of any instance in the budget of its service.
void EntryPlacement::noteAttempt(const WorkItem &item, Instant now)
{
    const auto service = m_serviceByKey.find(item.parts.front().backend);
    if (service != m_serviceByKey.end()) {
        m_repeats.note(service->second, item.repeat, now);
    }
}

void EntryPlacement::takeReport(const pomeloport::OwnerId &sender, const WorkReport &report, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.take(sender, report, now, [this, now](const WorkItem &item) {
        if (!item.parts.empty()) {
            noteAttempt(item, now);
        }
    });
}

std::optional<WorkReport> EntryPlacement::takeChanges(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.hasChanges() ? std::optional(m_ledger.takeChanges(now)) : std::nullopt;
}

std::vector<WorkReport> EntryPlacement::wholeList(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.wholeList(now);
}

bool EntryPlacement::usable(const std::string &backend) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->backends.find(backend);
    return found != m_state->backends.end() && !found->second.leaving;
}

std::size_t EntryPlacement::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.own().size();
}

EntryPlacement::Health &EntryPlacement::health(std::uint32_t key)
{
    return m_health.try_emplace(key, Health{pomeloport::CircuitBreaker(m_policy.breaker)}).first->second;
}

std::uint32_t EntryPlacement::keyOf(const std::string &backend) const
{
    const auto found = m_state->backends.find(backend);
    return found == m_state->backends.end() ? 0 : backendKey(found->second);
}

const EngineCost *EntryPlacement::engineOf(const std::string &service) const
{
    if (!m_state->routing) {
        return nullptr;
    }
    const auto found = m_state->routing->services.find(service);
    return found != m_state->routing->services.end() && found->second.engine ? &*found->second.engine : nullptr;
}

double EntryPlacement::worthOf(const CallWork &work) const
{
    return std::pow(static_cast<double>(std::max<std::uint64_t>(work.promptTokens, 1)) / m_policy.unitTokens,
                    m_policy.worthPower);
}

} // namespace pomeloentry

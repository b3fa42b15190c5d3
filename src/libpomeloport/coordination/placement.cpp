#include "pomeloport/coordination/placement.h"

#include "pomeloport/coordination/eligibility.h"
#include "pomeloport/coordination/inflightledger.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <numeric>
#include <optional>
#include <random>
#include <utility>

namespace pomeloport {

namespace {

// Engines examined for one request.
constexpr std::size_t SampledCandidates = 2;
// Rates of an engine that has not been measured yet.
constexpr double DefaultPrefillTokensPerSecond = 20'000;
constexpr Duration ServiceRetryDelay = std::chrono::milliseconds(50);

Failure notRun(ReasonCode reason, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = {})
{
    return {Verdict::NotRun, reason, std::move(detail), retryAfter};
}

EnginePriority enginePriority(const RequestSpec &request)
{
    if (promptClass(request.promptTokens) >= PromptClass::Long) {
        return EnginePriority::Bulk;
    }
    return request.priority == IntentPriority::Interactive ? EnginePriority::Urgent : EnginePriority::Normal;
}

} // namespace

struct Placement::Implementation
{
    explicit Implementation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    RouteDecision choose(const RouteQuery &query, Instant now, RouteExplanation *explanation);
    const std::vector<std::uint32_t> &pool(const RequestSpec &request);
    std::optional<std::uint32_t> best(const RouteQuery &query, const std::vector<std::uint32_t> &members, Instant now);
    double score(std::uint32_t index);
    bool admissible(const RouteQuery &query, std::uint32_t index);
    void explain(const RouteQuery &query, RouteExplanation &explanation);

    mutable std::mutex m_mutex;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::map<PoolKey, std::vector<std::uint32_t>> m_pools;
    std::vector<const BackendBooks *> m_books;
    InFlightLedger m_ledger;
    std::mt19937_64 m_random;
};

RouteDecision Placement::Implementation::choose(const RouteQuery &query, Instant now, RouteExplanation *explanation)
{
    const auto &request = *query.request;
    if (now >= request.deadline) {
        return notRun(ReasonCode::DeadlinePassed, "the deadline has passed");
    }
    if (!m_snapshot || !m_snapshot->admitting) {
        return notRun(ReasonCode::NotAdmitting, "the instance does not admit work now", std::chrono::seconds(1));
    }
    if (explanation != nullptr) {
        explain(query, *explanation);
    }
    const auto &members = pool(request);
    if (members.empty()) {
        return notRun(ReasonCode::NoBackend, "no live backend server fits the intent", std::chrono::seconds(1));
    }
    const auto chosen = best(query, members, now);
    if (!chosen) {
        return WaitUntil{now + ServiceRetryDelay};
    }
    RouteMember member{m_snapshot->backends[*chosen].server.name, 0, request.promptTokens};
    return Route{{std::move(member)}, enginePriority(request), 0};
}

const std::vector<std::uint32_t> &Placement::Implementation::pool(const RequestSpec &request)
{
    auto key = poolKey(request);
    const auto found = m_pools.find(key);
    if (found != m_pools.end()) {
        return found->second;
    }
    auto members = poolMembers(key, *m_snapshot);
    return m_pools.emplace(std::move(key), std::move(members)).first->second;
}

bool Placement::Implementation::admissible(const RouteQuery &query, std::uint32_t index)
{
    const auto &name = m_snapshot->backends[index].server.name;
    return std::ranges::find(query.avoid, name) == query.avoid.end();
}

double Placement::Implementation::score(std::uint32_t index)
{
    const auto &view = m_snapshot->backends[index];
    const auto &books = *m_books[index];
    if (view.server.kind == BackendKind::Service) {
        return static_cast<double>(books.streams);
    }
    const auto [tokens, streams] = books.pendingSince(view.reportedAt);
    const auto rate =
        view.report.prefillTokensPerSecond > 0 ? view.report.prefillTokensPerSecond : DefaultPrefillTokensPerSecond;
    return static_cast<double>(view.report.queuedPrefillTokens + tokens) / rate
        + static_cast<double>(view.report.runningStreams + streams) * 1e-3;
}

std::optional<std::uint32_t> Placement::Implementation::best(const RouteQuery &query,
                                                             const std::vector<std::uint32_t> &members,
                                                             Instant /*now*/)
{
    std::optional<std::uint32_t> chosen;
    double lowest = 0;
    std::size_t examined = 0;
    const auto start = m_random() % members.size();
    // A stride coprime to the size visits every member once, in an order that differs from request to request.
    std::size_t stride = 1 + m_random() % members.size();
    while (std::gcd(stride, members.size()) != 1) {
        ++stride;
    }
    for (std::size_t step = 0; step < members.size() && examined < SampledCandidates; ++step) {
        const auto index = members[(start + step * stride) % members.size()];
        if (!admissible(query, index)) {
            continue;
        }
        ++examined;
        const auto candidate = score(index);
        if (!chosen || candidate < lowest) {
            chosen = index;
            lowest = candidate;
        }
    }
    return chosen;
}

void Placement::Implementation::explain(const RouteQuery &query, RouteExplanation &explanation)
{
    for (const auto index : pool(*query.request)) {
        RouteCandidate candidate;
        candidate.backend = m_snapshot->backends[index].server.name;
        candidate.score = score(index);
        candidate.exclusion = admissible(query, index) ? Exclusion::None : Exclusion::Avoided;
        explanation.candidates.push_back(std::move(candidate));
    }
}

Placement::Placement(std::uint64_t seed)
    : m_implementation(std::make_unique<Implementation>(seed))
{
}

Placement::~Placement() = default;

void Placement::update(std::shared_ptr<const Snapshot> snapshot, Instant /*now*/)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    auto &self = *m_implementation;
    self.m_pools.clear();
    self.m_books.clear();
    for (const auto &backend : snapshot->backends) {
        self.m_books.push_back(&self.m_ledger.books(backend.server.name));
    }
    self.m_snapshot = std::move(snapshot);
}

RouteDecision Placement::choose(const RouteQuery &query, Instant now, RouteExplanation *explanation)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    return m_implementation->choose(query, now, explanation);
}

void Placement::attemptOpened(const StreamAddress &stream,
                              const RequestSpec &request,
                              const RouteMember &member,
                              Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    Booking booking;
    booking.organisation = request.organisation;
    booking.prefillTokens = member.segmentEnd - member.segmentBegin;
    booking.kvTokens = booking.prefillTokens + request.maxTokens;
    booking.bulk = enginePriority(request) == EnginePriority::Bulk;
    booking.openedAt = now;
    m_implementation->m_ledger.open(stream, member.backend, std::move(booking));
}

void Placement::firstChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    m_implementation->m_ledger.firstChunk(stream, backend, now);
}

void Placement::nextChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    m_implementation->m_ledger.nextChunk(stream, backend, now);
}

void Placement::attemptClosed(const StreamAddress &stream,
                              const std::string &backend,
                              action::CloseAttempt::Outcome /*outcome*/,
                              Instant /*now*/)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    m_implementation->m_ledger.close(stream, backend);
}

bool Placement::permitRetry(Instant /*now*/)
{
    return true;
}

const RequestSpec *Placement::nextWaiting(Instant /*now*/)
{
    return nullptr;
}

void Placement::abandoned(const RequestSpec & /*request*/)
{
}

std::size_t Placement::attemptsInFlight() const
{
    const std::lock_guard lock(m_implementation->m_mutex);
    return m_implementation->m_ledger.size();
}

} // namespace pomeloport

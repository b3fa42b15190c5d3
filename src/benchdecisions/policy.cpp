#include "policy.h"

#include <algorithm>
#include <limits>

namespace benchdecisions
{

using namespace pomeloport;

namespace
{

// What a home that does not answer looks like to the asking router.
constexpr double UnknownLoad = std::numeric_limits<double>::max();

bool usesClasses(PolicyKind kind)
{
    return kind != PolicyKind::RoundRobin && kind != PolicyKind::LeastLoaded && kind != PolicyKind::TwoChoices;
}

EnginePriority priorityOf(PolicyKind kind, const RequestSpec &request)
{
    if (!usesClasses(kind)) {
        return EnginePriority::Normal;
    }
    switch (promptClass(request.promptTokens)) {
    case PromptClass::Short:
        return EnginePriority::Urgent;
    case PromptClass::Medium:
    case PromptClass::Long:
        return EnginePriority::Normal;
    case PromptClass::Huge:
        break;
    }
    return EnginePriority::Bulk;
}

} // namespace

BaselineRouter::BaselineRouter(PolicyKind kind, std::uint64_t seed, std::size_t engines)
    : m_kind(kind)
    , m_random(seed)
    , m_turn(m_random() % engines)
    , m_pending(engines)
{
}

RouteDecision BaselineRouter::choose(const RouteQuery &query, const BaselineView &view)
{
    const auto &request = *query.request;
    const auto needed = request.promptTokens + request.maxTokens;
    std::vector<std::size_t> engines;
    std::uint64_t largest = 0;
    for (std::size_t index = 0; index < view.snapshot.backends.size(); ++index) {
        const auto &backend = view.snapshot.backends[index];
        const bool avoided = std::ranges::find(query.avoid, backend.server.name) != query.avoid.end();
        largest = std::max(largest, backend.server.kvTokens);
        if (backend.state == BackendState::Live && !avoided) {
            engines.push_back(index);
        }
    }
    if (needed > largest) {
        return NeedsGroup{request.model, needed};
    }
    if (engines.empty()) {
        return Failure{Verdict::NotRun, ReasonCode::NoBackend, "no engine left", std::chrono::seconds(1)};
    }
    const auto chosen = pick(engines, view);
    return Route{
        {{view.snapshot.backends[chosen].server.name, 0, request.promptTokens}}, priorityOf(m_kind, request), 0};
}

std::size_t BaselineRouter::pick(const std::vector<std::size_t> &engines, const BaselineView &view)
{
    if (m_kind == PolicyKind::RoundRobin) {
        return engines[m_turn++ % engines.size()];
    }
    if (m_kind == PolicyKind::LeastLoaded) {
        return *std::ranges::min_element(engines, {}, [&](std::size_t engine) { return load(engine, view); });
    }
    const auto first = engines[m_random() % engines.size()];
    const auto second = engines[m_random() % engines.size()];
    return load(first, view) <= load(second, view) ? first : second;
}

double BaselineRouter::load(std::size_t engine, const BaselineView &view) const
{
    const auto &backend = view.snapshot.backends[engine];
    if (m_kind == PolicyKind::HomeGranted) {
        const auto &ledger = view.ledgers[engine];
        return ledger.homeAnswers ? static_cast<double>(ledger.pendingTokens) : UnknownLoad;
    }
    auto tokens = static_cast<double>(backend.report.queuedPrefillTokens);
    if (m_kind != PolicyKind::LeastLoaded) {
        const auto &pending = m_pending[engine];
        for (auto entry = pending.upper_bound(backend.reportedAt); entry != pending.end(); ++entry) {
            tokens += static_cast<double>(entry->second);
        }
    }
    return tokens;
}

void BaselineRouter::opened(std::size_t engine, std::uint64_t tokens, Instant now)
{
    m_pending[engine].emplace(now, tokens);
}

void BaselineRouter::answered(std::size_t engine, std::uint64_t tokens, Instant openedAt)
{
    auto &pending = m_pending[engine];
    const auto [begin, end] = pending.equal_range(openedAt);
    const auto found = std::find_if(begin, end, [tokens](const auto &entry) { return entry.second == tokens; });
    if (found != end) {
        pending.erase(found);
    }
}

} // namespace benchdecisions

#include "pomeloport/coordination/groupcoordinator.h"

#include "pomeloport/coordination/isolation.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pomeloport
{

namespace
{

constexpr auto RefusalRetryAfter = std::chrono::seconds(10);

bool sameStream(const StreamAddress &left, const StreamAddress &right)
{
    return left.owner == right.owner && left.sequence == right.sequence;
}

} // namespace

GroupCoordinator::GroupCoordinator(GroupLimits limits, std::uint64_t firstReservation)
    : m_limits(limits)
    , m_nextReservation(firstReservation)
{
}

std::vector<GroupAction> GroupCoordinator::handle(const GroupEvent &event, Instant now)
{
    std::visit([this, now](const auto &concrete) { on(concrete, now); }, event);
    expire(now);
    revokeGrantsWithLostMembers();
    grantWaiting(now);
    return std::exchange(m_actions, {});
}

void GroupCoordinator::on(const groupevent::Reserve &event, Instant /*now*/)
{
    const auto &need = event.need;
    const auto granted = m_granted.find(need.stream);
    if (granted != m_granted.end()) {
        m_actions.emplace_back(groupaction::Grant{need.stream, granted->second.route});
        return;
    }
    const bool known =
        std::ranges::any_of(m_waiting, [&need](const auto &waiting) { return waiting.need.stream == need.stream; });
    if (known) {
        return;
    }
    if (m_waiting.size() >= m_limits.maximumWaiting) {
        refuse(need, ReasonCode::Overloaded, "too many prompts are waiting for a group of engines");
        return;
    }
    // A new attempt of a request replaces its earlier ones.
    on(groupevent::Release{need.stream}, {});
    m_waiting.push_back({need, m_nextOrder++, {}});
}

void GroupCoordinator::on(const groupevent::Release &event, Instant /*now*/)
{
    std::erase_if(m_granted, [&event](const auto &entry) { return sameStream(entry.first, event.stream); });
    std::erase_if(m_waiting, [&event](const auto &entry) { return sameStream(entry.need.stream, event.stream); });
}

void GroupCoordinator::on(const groupevent::Adopt &event, Instant /*now*/)
{
    m_granted.try_emplace(event.need.stream, Granted{event.need, event.route});
}

void GroupCoordinator::on(const groupevent::OwnerGone &event, Instant /*now*/)
{
    std::erase_if(m_granted, [&event](const auto &entry) { return entry.first.owner == event.owner; });
    std::erase_if(m_waiting, [&event](const auto &entry) { return entry.need.stream.owner == event.owner; });
}

void GroupCoordinator::on(const groupevent::EnginesChanged &event, Instant /*now*/)
{
    m_snapshot = event.snapshot;
}

void GroupCoordinator::on(const groupevent::Tick & /*event*/, Instant /*now*/)
{
}

void GroupCoordinator::expire(Instant now)
{
    std::erase_if(m_granted, [now](const auto &entry) { return entry.second.need.deadline <= now; });
    std::vector<GroupNeed> expired;
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        const bool isExpired = latestStart(waiting.need) < now;
        if (isExpired) {
            expired.push_back(waiting.need);
        }
        return isExpired;
    });
    for (const auto &need : expired) {
        refuse(need, ReasonCode::GroupUnavailable, "no group of engines became free in time for the deadline");
    }
}

void GroupCoordinator::revokeGrantsWithLostMembers()
{
    if (!m_snapshot) {
        return;
    }
    std::set<std::string, std::less<>> usable;
    for (const auto &backend : m_snapshot->backends) {
        if (backend.state != BackendState::Gone) {
            usable.insert(backend.server.name);
        }
    }
    std::erase_if(m_granted, [&](const auto &entry) {
        const auto &route = entry.second.route;
        const bool complete = std::ranges::all_of(
            route.members, [&usable](const RouteMember &member) { return usable.contains(member.backend); });
        if (!complete) {
            m_actions.emplace_back(groupaction::Revoke{entry.first, route.reservation});
        }
        return !complete;
    });
}

void GroupCoordinator::grantWaiting(Instant /*now*/)
{
    if (!m_snapshot) {
        return;
    }
    std::vector<std::uint64_t> settled;
    for (auto &waiting : m_waiting) {
        if (refuseImpossible(waiting) || tryGrant(waiting)) {
            settled.push_back(waiting.order);
            waiting.partialReservation.clear();
        } else {
            reserveForOldest(waiting);
        }
    }
    std::erase_if(m_waiting, [&settled](const Waiting &waiting) {
        return std::ranges::find(settled, waiting.order) != settled.end();
    });
}

bool GroupCoordinator::refuseImpossible(const Waiting &waiting)
{
    const auto engines = memoryPerEngine(waiting, MemoryBasis::Total);
    if (engines.empty()) {
        refuse(waiting.need, ReasonCode::NoBackend, "no live engine holds the model");
        return true;
    }
    if (fewestEngines(engines, waiting.need.tokens).empty()) {
        refuse(waiting.need, ReasonCode::PromptTooLarge, "no group of engines can hold the prompt");
        return true;
    }
    return false;
}

bool GroupCoordinator::tryGrant(Waiting &waiting)
{
    const auto members = chooseMembers(waiting, MemoryBasis::FreeNow);
    if (members.empty()) {
        return false;
    }
    auto route = routeOver(members, waiting.need);
    m_actions.emplace_back(groupaction::Grant{waiting.need.stream, route});
    m_granted.emplace(waiting.need.stream, Granted{waiting.need, std::move(route)});
    return true;
}

void GroupCoordinator::reserveForOldest(Waiting &waiting)
{
    const bool isOldest =
        std::ranges::none_of(m_waiting, [&waiting](const Waiting &other) { return other.order < waiting.order; });
    if (!isOldest) {
        return;
    }
    const auto engines = memoryPerEngine(waiting, MemoryBasis::Unreserved);
    const bool allPresent = std::ranges::all_of(waiting.partialReservation, [&engines](const auto &entry) {
        return std::ranges::find(engines, entry.first, &EngineMemory::engine) != engines.end();
    });
    if (allPresent && !waiting.partialReservation.empty()) {
        return;
    }
    waiting.partialReservation.clear();
    for (const auto &memory : chooseMembers(waiting, MemoryBasis::Unreserved)) {
        waiting.partialReservation[memory.engine] = memory.tokens;
    }
}

std::set<std::string> GroupCoordinator::shortOnlyEngines(const PoolKey &pool) const
{
    std::vector<std::string> names;
    for (const auto index : poolMembers(pool, *m_snapshot)) {
        names.push_back(m_snapshot->backends[index].server.name);
    }
    const auto share = m_snapshot->declarations.objective.shortOnlyShare;
    const auto count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(names.size())));
    std::set<std::string> result;
    const auto order = shortOnlyOrder(names);
    for (std::size_t rank = 0; rank < std::min(count, order.size()); ++rank) {
        result.insert(names[order[rank]]);
    }
    return result;
}

std::vector<GroupCoordinator::EngineMemory> GroupCoordinator::excluding(std::vector<EngineMemory> memoryPerEngine,
                                                                        const std::set<std::string> &engines)
{
    std::erase_if(memoryPerEngine, [&engines](const EngineMemory &memory) { return engines.contains(memory.engine); });
    return memoryPerEngine;
}

std::vector<GroupCoordinator::EngineMemory> GroupCoordinator::chooseMembers(const Waiting &waiting,
                                                                            MemoryBasis basis) const
{
    const auto shortOnly = shortOnlyEngines(waiting.need.pool);
    const auto tokens = waiting.need.tokens;
    const bool othersSuffice =
        !fewestEngines(excluding(memoryPerEngine(waiting, MemoryBasis::Total), shortOnly), tokens).empty();
    auto engines = memoryPerEngine(waiting, basis);
    return fewestEngines(othersSuffice ? excluding(std::move(engines), shortOnly) : std::move(engines), tokens);
}

std::vector<GroupCoordinator::EngineMemory> GroupCoordinator::memoryPerEngine(const Waiting &waiting,
                                                                              MemoryBasis basis) const
{
    std::vector<EngineMemory> result;
    for (const auto index : poolMembers(waiting.need.pool, *m_snapshot)) {
        const auto &backend = m_snapshot->backends[index];
        const auto total = std::max(backend.server.kvTokens, backend.report.kvTokensTotal);
        std::uint64_t unavailable = basis == MemoryBasis::Total ? 0 : reservedAt(backend.server.name, waiting);
        if (basis == MemoryBasis::FreeNow) {
            // The reported use may include reservations whose segments have started, or lag behind new grants, so the
            // larger value counts instead of the sum.
            unavailable = std::max(unavailable, backend.report.kvTokensUsed);
        }
        const auto free = total > unavailable ? total - unavailable : 0;
        const auto usable = static_cast<std::uint64_t>(static_cast<double>(free) * m_limits.usableFraction);
        if (usable >= m_limits.minimumSegmentTokens) {
            result.push_back({backend.server.name, usable});
        }
    }
    return result;
}

std::vector<GroupCoordinator::EngineMemory> GroupCoordinator::fewestEngines(std::vector<EngineMemory> memoryPerEngine,
                                                                            std::uint64_t tokens) const
{
    std::ranges::sort(memoryPerEngine, [](const EngineMemory &left, const EngineMemory &right) {
        return left.tokens != right.tokens ? left.tokens > right.tokens : left.engine < right.engine;
    });
    std::uint64_t sum = 0;
    for (std::size_t count = 0; count < std::min(memoryPerEngine.size(), m_limits.maximumMembers); ++count) {
        sum += memoryPerEngine[count].tokens;
        if (sum >= tokens) {
            memoryPerEngine.resize(count + 1);
            return memoryPerEngine;
        }
    }
    return {};
}

std::uint64_t GroupCoordinator::reservedAt(const std::string &engine, const Waiting &except) const
{
    std::uint64_t tokens = 0;
    for (const auto &[stream, granted] : m_granted) {
        for (const auto &member : granted.route.members) {
            if (member.backend == engine) {
                tokens += member.segmentEnd - member.segmentBegin;
                tokens += member.segmentEnd == granted.need.promptTokens
                    ? granted.need.tokens - granted.need.promptTokens
                    : 0;
            }
        }
    }
    for (const auto &other : m_waiting) {
        const auto found = other.partialReservation.find(engine);
        if (other.order != except.order && found != other.partialReservation.end()) {
            tokens += found->second;
        }
    }
    return tokens;
}

Route GroupCoordinator::routeOver(const std::vector<EngineMemory> &members, const GroupNeed &need)
{
    // Segments are proportional to the members' memory. The last member also holds the answer.
    std::uint64_t memory = 0;
    for (const auto &member : members) {
        memory += member.tokens;
    }
    Route route;
    route.priority = EnginePriority::Bulk;
    route.reservation = m_nextReservation++;
    std::uint64_t begin = 0;
    for (const auto &member : members) {
        const auto fraction = static_cast<double>(member.tokens) / static_cast<double>(memory);
        const auto length = static_cast<std::uint64_t>(fraction * static_cast<double>(need.tokens));
        const auto end = &member == &members.back() ? need.promptTokens : std::min(need.promptTokens, begin + length);
        route.members.push_back({member.engine, begin, end});
        begin = end;
    }
    std::erase_if(route.members, [](const RouteMember &member) { return member.segmentBegin == member.segmentEnd; });
    return route;
}

Instant GroupCoordinator::latestStart(const GroupNeed &need) const
{
    const auto tokens = emptyContextTokens(0, need.promptTokens, m_limits.cost.halfSpeedContext);
    const auto prefill = tokens / m_limits.cost.prefillTokensPerSecond;
    const auto answerTokens = static_cast<double>(need.tokens - need.promptTokens);
    return need.deadline - fromSeconds(prefill + answerTokens * m_limits.cost.decodeStepSeconds);
}

void GroupCoordinator::refuse(const GroupNeed &need, ReasonCode reason, const char *detail)
{
    Failure failure{Verdict::NotRun, reason, detail, RefusalRetryAfter};
    if (reason == ReasonCode::PromptTooLarge) {
        failure.retryAfter.reset();
    }
    m_actions.emplace_back(groupaction::Refuse{need.stream, std::move(failure)});
}

std::map<std::string, std::uint64_t> GroupCoordinator::setAside() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[stream, granted] : m_granted) {
        for (const auto &member : granted.route.members) {
            result[member.backend] += member.segmentEnd - member.segmentBegin;
        }
    }
    for (const auto &waiting : m_waiting) {
        for (const auto &[engine, tokens] : waiting.partialReservation) {
            result[engine] += tokens;
        }
    }
    return result;
}

std::size_t GroupCoordinator::granted() const
{
    return m_granted.size();
}

std::size_t GroupCoordinator::waiting() const
{
    return m_waiting.size();
}

} // namespace pomeloport

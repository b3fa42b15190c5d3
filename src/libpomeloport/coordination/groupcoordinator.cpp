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
    revokeBroken();
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
        refuse(need, ReasonCode::Overloaded, "too many prompts wait for a group of engines");
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
    std::vector<GroupNeed> late;
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        const bool isLate = latestStart(waiting.need) < now;
        if (isLate) {
            late.push_back(waiting.need);
        }
        return isLate;
    });
    for (const auto &need : late) {
        refuse(need, ReasonCode::GroupUnavailable, "no group of engines was free early enough for the deadline");
    }
}

void GroupCoordinator::revokeBroken()
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
        const bool whole = std::ranges::all_of(
            route.members, [&usable](const RouteMember &member) { return usable.contains(member.backend); });
        if (!whole) {
            m_actions.emplace_back(groupaction::Revoke{entry.first, route.reservation});
        }
        return !whole;
    });
}

void GroupCoordinator::grantWaiting(Instant /*now*/)
{
    if (!m_snapshot) {
        return;
    }
    std::vector<std::uint64_t> done;
    for (auto &waiting : m_waiting) {
        if (refuseImpossible(waiting) || tryGrant(waiting)) {
            done.push_back(waiting.order);
            waiting.collecting.clear();
        } else {
            collect(waiting);
        }
    }
    std::erase_if(m_waiting,
                  [&done](const Waiting &waiting) { return std::ranges::find(done, waiting.order) != done.end(); });
}

bool GroupCoordinator::refuseImpossible(const Waiting &waiting)
{
    const auto engines = spaces(waiting, SpaceBasis::Total);
    if (engines.empty()) {
        refuse(waiting.need, ReasonCode::NoBackend, "no live engine holds the model");
        return true;
    }
    if (cheapest(engines, waiting.need.tokens).empty()) {
        refuse(waiting.need, ReasonCode::PromptTooLarge, "no group of engines can hold the prompt");
        return true;
    }
    return false;
}

bool GroupCoordinator::tryGrant(Waiting &waiting)
{
    const auto members = pick(waiting, SpaceBasis::FreeNow);
    if (members.empty()) {
        return false;
    }
    auto route = routeOver(members, waiting.need);
    m_actions.emplace_back(groupaction::Grant{waiting.need.stream, route});
    m_granted.emplace(waiting.need.stream, Granted{waiting.need, std::move(route)});
    return true;
}

void GroupCoordinator::collect(Waiting &waiting)
{
    const bool first =
        std::ranges::none_of(m_waiting, [&waiting](const Waiting &other) { return other.order < waiting.order; });
    if (!first) {
        return;
    }
    const auto engines = spaces(waiting, SpaceBasis::Unreserved);
    const bool stillThere = std::ranges::all_of(waiting.collecting, [&engines](const auto &entry) {
        return std::ranges::find(engines, entry.first, &Space::engine) != engines.end();
    });
    if (stillThere && !waiting.collecting.empty()) {
        return;
    }
    waiting.collecting.clear();
    for (const auto &space : pick(waiting, SpaceBasis::Unreserved)) {
        waiting.collecting[space.engine] = space.tokens;
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

std::vector<GroupCoordinator::Space> GroupCoordinator::without(std::vector<Space> spaces,
                                                               const std::set<std::string> &engines)
{
    std::erase_if(spaces, [&engines](const Space &space) { return engines.contains(space.engine); });
    return spaces;
}

std::vector<GroupCoordinator::Space> GroupCoordinator::pick(const Waiting &waiting, SpaceBasis basis) const
{
    const auto shortOnly = shortOnlyEngines(waiting.need.pool);
    const auto tokens = waiting.need.tokens;
    const bool othersSuffice = !cheapest(without(spaces(waiting, SpaceBasis::Total), shortOnly), tokens).empty();
    auto engines = spaces(waiting, basis);
    return cheapest(othersSuffice ? without(std::move(engines), shortOnly) : std::move(engines), tokens);
}

std::vector<GroupCoordinator::Space> GroupCoordinator::spaces(const Waiting &waiting, SpaceBasis basis) const
{
    std::vector<Space> result;
    for (const auto index : poolMembers(waiting.need.pool, *m_snapshot)) {
        const auto &backend = m_snapshot->backends[index];
        const auto total = std::max(backend.server.kvTokens, backend.report.kvTokensTotal);
        std::uint64_t taken = basis == SpaceBasis::Total ? 0 : reservedAt(backend.server.name, waiting);
        if (basis == SpaceBasis::FreeNow) {
            // Reported use may include the started members of groups, but also lag behind the grants.
            taken = std::max(taken, backend.report.kvTokensUsed);
        }
        const auto free = total > taken ? total - taken : 0;
        const auto usable = static_cast<std::uint64_t>(static_cast<double>(free) * m_limits.usablePart);
        if (usable >= m_limits.minimumSegmentTokens) {
            result.push_back({backend.server.name, usable});
        }
    }
    return result;
}

std::vector<GroupCoordinator::Space> GroupCoordinator::cheapest(std::vector<Space> spaces, std::uint64_t tokens) const
{
    std::ranges::sort(spaces, [](const Space &left, const Space &right) {
        return left.tokens != right.tokens ? left.tokens > right.tokens : left.engine < right.engine;
    });
    std::uint64_t sum = 0;
    for (std::size_t count = 0; count < std::min(spaces.size(), m_limits.maximumMembers); ++count) {
        sum += spaces[count].tokens;
        if (sum >= tokens) {
            spaces.resize(count + 1);
            return spaces;
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
        const auto found = other.collecting.find(engine);
        if (other.order != except.order && found != other.collecting.end()) {
            tokens += found->second;
        }
    }
    return tokens;
}

Route GroupCoordinator::routeOver(const std::vector<Space> &members, const GroupNeed &need)
{
    // Each member gets a part in proportion to its space. The last one also holds the answer.
    std::uint64_t space = 0;
    for (const auto &member : members) {
        space += member.tokens;
    }
    Route route;
    route.priority = EnginePriority::Bulk;
    route.reservation = m_nextReservation++;
    std::uint64_t begin = 0;
    for (const auto &member : members) {
        const auto part = static_cast<double>(member.tokens) / static_cast<double>(space);
        const auto length = static_cast<std::uint64_t>(part * static_cast<double>(need.tokens));
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
        for (const auto &[engine, tokens] : waiting.collecting) {
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

#include "groupdesk.h"

namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

/// Low bits of a reservation number that count reservations; the bits above hold the coordinator's incarnation.
constexpr unsigned ReservationBits = 20;

} // namespace

GroupReservations::GroupReservations(std::uint64_t incarnation)
    : m_coordinator({}, (incarnation << ReservationBits) + 1)
{
}

void GroupReservations::reserve(const link::GroupReserve &request, Instant now, Responder responder)
{
    GroupNeed need;
    need.stream = request.stream;
    need.pool.kind = BackendKind::Engine;
    need.pool.model = request.model;
    need.pool.adapter = request.adapter;
    need.pool.version = request.version;
    need.pool.engines = request.engines.matchLabels;
    need.promptTokens = request.promptTokens;
    need.tokens = request.tokens;
    need.deadline = now + std::chrono::milliseconds(request.deadlineMs);
    m_pendingRequests[request.stream] = {request.query, std::move(responder)};
    m_owners.insert(request.stream.owner);
    handle(groupevent::Reserve{std::move(need)}, now);
}

void GroupReservations::release(const link::GroupRelease &release, Instant now)
{
    m_pendingRequests.erase(release.stream);
    handle(groupevent::Release{release.stream}, now);
}

void GroupReservations::instanceGone(const std::string &instance, Instant now)
{
    const auto isOfInstance = [&instance](const OwnerId &owner) {
        return owner.instance == instance;
    };
    for (const auto &owner : m_owners) {
        if (isOfInstance(owner)) {
            std::erase_if(m_pendingRequests, [&owner](const auto &entry) { return entry.first.owner == owner; });
            handle(groupevent::OwnerGone{owner}, now);
        }
    }
    std::erase_if(m_owners, isOfInstance);
}

void GroupReservations::enginesChanged(std::shared_ptr<const Snapshot> snapshot, Instant now)
{
    handle(groupevent::EnginesChanged{std::move(snapshot)}, now);
}

void GroupReservations::tick(Instant now)
{
    handle(groupevent::Tick{}, now);
}

std::map<std::string, std::uint64_t> GroupReservations::setAside() const
{
    return m_coordinator.setAside();
}

void GroupReservations::handle(const GroupEvent &event, Instant now)
{
    for (const auto &action : m_coordinator.handle(event, now)) {
        if (const auto *grant = std::get_if<groupaction::Grant>(&action)) {
            link::GroupGranted granted;
            granted.reservation = grant->route.reservation;
            for (const auto &member : grant->route.members) {
                granted.members.push_back({member.backend, member.segmentBegin, member.segmentEnd});
            }
            answer(grant->stream, std::move(granted));
        } else if (const auto *refuse = std::get_if<groupaction::Refuse>(&action)) {
            const auto &failure = refuse->failure;
            link::GroupRefused refused{0, failure.verdict, failure.reason, failure.detail, 0};
            if (failure.retryAfter) {
                refused.retryAfterMs = static_cast<std::uint64_t>(failure.retryAfter->count());
            }
            answer(refuse->stream, std::move(refused));
        }
    }
}

void GroupReservations::answer(const StreamAddress &stream, LinkMessage message)
{
    auto pending = m_pendingRequests.extract(stream);
    if (!pending) {
        return;
    }
    if (auto *granted = std::get_if<link::GroupGranted>(&message)) {
        granted->query = pending.mapped().query;
    } else if (auto *refused = std::get_if<link::GroupRefused>(&message)) {
        refused->query = pending.mapped().query;
    }
    pending.mapped().responder(message);
}

} // namespace pomelocontroller

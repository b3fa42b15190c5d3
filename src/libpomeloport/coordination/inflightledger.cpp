#include "pomeloport/coordination/inflightledger.h"

#include <algorithm>
#include <utility>

namespace pomeloport
{

BackendInFlight::Recent BackendInFlight::openedAfter(Instant time) const
{
    Recent recent;
    for (const auto &[stream, booking] : bookings) {
        if (booking.openedAt <= time) {
            continue;
        }
        recent.kvTokens += booking.kvTokens;
        if (!booking.firstChunkAt) {
            auto &tokens = booking.priority == EnginePriority::Bulk ? recent.bulkTokens : recent.promptTokens;
            tokens += booking.prefillTokens;
        }
    }
    return recent;
}

Duration BackendInFlight::overdue(Instant now) const
{
    Duration most{};
    for (const auto &[stream, booking] : bookings) {
        if (!booking.firstChunkAt && booking.priority != EnginePriority::Bulk) {
            most = std::max(most, now - booking.openedAt - booking.predictedWait);
        }
    }
    return most;
}

void InFlightLedger::open(const StreamAddress &stream, const std::string &backend, Booking booking)
{
    close(stream, backend);
    auto &books = m_backends[backend];
    ++books.streams;
    books.kvTokens += booking.kvTokens;
    books.pendingPrefillTokens += booking.prefillTokens;
    books.bookings.emplace(stream, std::move(booking));
    ++m_size;
}

const Booking *InFlightLedger::firstChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    auto &books = m_backends[backend];
    const auto found = books.bookings.find(stream);
    if (found == books.bookings.end() || found->second.firstChunkAt) {
        return nullptr;
    }
    found->second.firstChunkAt = now;
    found->second.latestChunkAt = now;
    books.pendingPrefillTokens -= found->second.prefillTokens;
    return &found->second;
}

std::optional<Booking> InFlightLedger::nextChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    auto &books = m_backends[backend];
    const auto found = books.bookings.find(stream);
    if (found == books.bookings.end() || !found->second.firstChunkAt) {
        return std::nullopt;
    }
    const auto before = found->second;
    found->second.latestChunkAt = now;
    ++found->second.laterChunks;
    return before;
}

std::optional<Booking> InFlightLedger::close(const StreamAddress &stream, const std::string &backend)
{
    auto &books = m_backends[backend];
    const auto found = books.bookings.find(stream);
    if (found == books.bookings.end()) {
        return std::nullopt;
    }
    auto booking = std::move(found->second);
    books.bookings.erase(found);
    --books.streams;
    books.kvTokens -= booking.kvTokens;
    if (!booking.firstChunkAt) {
        books.pendingPrefillTokens -= booking.prefillTokens;
    }
    --m_size;
    return booking;
}

const BackendInFlight &InFlightLedger::books(const std::string &backend)
{
    return m_backends[backend];
}

std::size_t InFlightLedger::size() const
{
    return m_size;
}

} // namespace pomeloport

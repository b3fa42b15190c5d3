#include "pomeloport/coordination/inflightledger.h"

#include <algorithm>
#include <utility>

namespace pomeloport
{

BackendInFlight::Recent BackendInFlight::openedAfter(Instant time) const
{
    Recent recent;
    for (const auto &[stream, attempt] : attempts) {
        if (attempt.openedAt <= time) {
            continue;
        }
        recent.kvTokens += attempt.kvTokens;
        if (!attempt.firstChunkAt) {
            auto &tokens = attempt.priority == EnginePriority::Bulk ? recent.bulkTokens : recent.promptTokens;
            tokens += attempt.prefillTokens;
        }
    }
    return recent;
}

Duration BackendInFlight::overdue(Instant now) const
{
    Duration most{};
    for (const auto &[stream, attempt] : attempts) {
        if (!attempt.firstChunkAt && attempt.priority != EnginePriority::Bulk) {
            most = std::max(most, now - attempt.openedAt - attempt.predictedWait);
        }
    }
    return most;
}

void InFlightLedger::open(const StreamAddress &stream, const std::string &backend, InFlightAttempt attempt)
{
    close(stream, backend);
    auto &books = m_backends[backend];
    ++books.streams;
    books.kvTokens += attempt.kvTokens;
    books.pendingPrefillTokens += attempt.prefillTokens;
    books.attempts.emplace(stream, std::move(attempt));
    ++m_size;
}

const InFlightAttempt *InFlightLedger::firstChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    auto &books = m_backends[backend];
    const auto found = books.attempts.find(stream);
    if (found == books.attempts.end() || found->second.firstChunkAt) {
        return nullptr;
    }
    found->second.firstChunkAt = now;
    found->second.latestChunkAt = now;
    books.pendingPrefillTokens -= found->second.prefillTokens;
    return &found->second;
}

std::optional<InFlightAttempt> InFlightLedger::nextChunk(const StreamAddress &stream,
                                                         const std::string &backend,
                                                         Instant now)
{
    auto &books = m_backends[backend];
    const auto found = books.attempts.find(stream);
    if (found == books.attempts.end() || !found->second.firstChunkAt) {
        return std::nullopt;
    }
    const auto before = found->second;
    found->second.latestChunkAt = now;
    ++found->second.laterChunks;
    return before;
}

std::optional<InFlightAttempt> InFlightLedger::close(const StreamAddress &stream, const std::string &backend)
{
    auto &books = m_backends[backend];
    const auto found = books.attempts.find(stream);
    if (found == books.attempts.end()) {
        return std::nullopt;
    }
    auto attempt = std::move(found->second);
    books.attempts.erase(found);
    --books.streams;
    books.kvTokens -= attempt.kvTokens;
    if (!attempt.firstChunkAt) {
        books.pendingPrefillTokens -= attempt.prefillTokens;
    }
    --m_size;
    return attempt;
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

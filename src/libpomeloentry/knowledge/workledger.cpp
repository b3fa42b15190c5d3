#include "pomeloentry/knowledge/workledger.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace pomeloentry
{

namespace
{

/// Maximum size of the items and ended keys of one report, in bytes, so that it fits a datagram with its other fields.
constexpr std::size_t PieceBytes = 900;
/// Upper bounds of the encoded sizes of an item with its origin but without its parts, of a part, and of the key of an
/// ended item.
constexpr std::size_t ItemBytes = 60;
constexpr std::size_t PartBytes = 14;
constexpr std::size_t EndedBytes = 10;
constexpr double MillisecondsPerSecond = 1000;

template<typename Number>
Number milliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    const auto least = static_cast<std::int64_t>(std::numeric_limits<Number>::min());
    const auto most = static_cast<std::int64_t>(std::numeric_limits<Number>::max());
    return static_cast<Number>(std::clamp<std::int64_t>(count, least, most));
}

WorkItemMessage messageFor(const WorkItem &item, Instant now)
{
    WorkItemMessage result;
    result.key = item.key;
    result.queuedFor = item.queuedFor;
    result.decoding = item.decoding;
    result.repeat = item.repeat;
    result.ageMs = milliseconds<std::uint32_t>(now - item.startedAt);
    result.decodingAgeMs = item.decoding ? milliseconds<std::uint32_t>(now - item.decodingSince) : 0;
    result.dueInMs = milliseconds<std::int32_t>(item.due - now);
    result.gapMs = milliseconds<std::uint16_t>(item.eventGap);
    result.events = item.events;
    result.worth = item.worth;
    result.parts = item.parts;
    result.origin = item.origin;
    return result;
}

std::size_t encodedBytes(const WorkItem &item)
{
    return ItemBytes + PartBytes * item.parts.size();
}

WorkItem itemOf(const WorkItemMessage &message, Instant now)
{
    WorkItem item;
    item.key = message.key;
    item.queuedFor = message.queuedFor;
    item.decoding = message.decoding;
    item.repeat = message.repeat;
    item.startedAt = now - std::chrono::milliseconds(message.ageMs);
    item.decodingSince = now - std::chrono::milliseconds(message.decodingAgeMs);
    item.due = now + std::chrono::milliseconds(message.dueInMs);
    item.eventGap = std::chrono::milliseconds(message.gapMs);
    item.events = message.events;
    item.worth = message.worth;
    item.parts = message.parts;
    item.origin = message.origin;
    return item;
}

} // namespace

std::uint32_t serviceKey(const std::string &service)
{
    return XXH32(service.data(), service.size(), 0) | 1U;
}

WorkLedger WorkLedger::copy() const
{
    WorkLedger result = *this;
    result.m_index.clear();
    result.m_indexed = false;
    return result;
}

void WorkLedger::open(WorkItem item)
{
    m_indexed = false;
    m_changed.push_back(item.key);
    if (item.queuedFor == 0) {
        recordArrival(item, item.startedAt);
    }
    const auto key = item.key;
    m_own[key] = std::move(item);
}

void WorkLedger::firstEvent(std::uint64_t key, Instant now)
{
    const auto found = m_own.find(key);
    if (found == m_own.end() || found->second.decoding) {
        return;
    }
    m_indexed = false;
    found->second.decoding = true;
    found->second.decodingSince = now;
    m_changed.push_back(key);
}

void WorkLedger::close(std::uint64_t key)
{
    if (m_own.erase(key) > 0) {
        m_indexed = false;
        m_ended.push_back(key);
    }
}

const std::map<std::uint64_t, WorkItem> &WorkLedger::own() const
{
    return m_own;
}

void WorkLedger::merge(const pomeloport::OwnerId &sender,
                       const WorkReport &report,
                       Instant now,
                       const Arrival &arrival,
                       const Arrival &answered)
{
    m_senders[sender.instance] = now;
    auto &senderState = m_remote[sender.instance];
    if (sender.incarnation < senderState.incarnation) {
        return;
    }
    if (sender.incarnation > senderState.incarnation) {
        senderState = Sender{};
        senderState.incarnation = sender.incarnation;
    }
    m_indexed = false;
    senderState.heardAt = now;
    for (const auto &received : report.items) {
        const bool isNew = !senderState.items.contains(received.key);
        auto &item = senderState.items[received.key];
        const bool wasAnswered = item.decoding;
        item = itemOf(received, now);
        if (item.decoding && !wasAnswered && answered) {
            answered(item);
        }
        if (isNew && item.queuedFor == 0) {
            recordArrival(item, now);
            if (arrival) {
                arrival(item);
            }
        }
        senderState.epochs[received.key] = report.epoch;
    }
    for (const auto key : report.ended) {
        senderState.items.erase(key);
        senderState.epochs.erase(key);
    }
    if (report.full && report.lastPiece) {
        std::erase_if(senderState.items, [&senderState, &report](const auto &entry) {
            return senderState.epochs[entry.first] < report.epoch;
        });
        std::erase_if(senderState.epochs,
                      [&senderState](const auto &entry) { return !senderState.items.contains(entry.first); });
    }
}

void WorkLedger::expire(Instant now)
{
    const auto erased =
        std::erase_if(m_remote, [now](const auto &entry) { return now - entry.second.heardAt > Expiry; });
    m_indexed = m_indexed && erased == 0;
    std::erase_if(m_senders, [now](const auto &entry) { return now - entry.second > SenderRetention; });
}

double WorkLedger::heardShare(Instant now) const
{
    const auto heard =
        std::ranges::count_if(m_senders, [now](const auto &entry) { return now - entry.second <= Expiry; });
    return static_cast<double>(heard + 1) / static_cast<double>(m_senders.size() + 1);
}

const WorkLedger::ByBackend &WorkLedger::byBackend() const
{
    if (m_indexed) {
        return m_index;
    }
    for (auto &[backend, placed] : m_index) {
        placed.clear();
    }
    const auto add = [this](const std::map<std::uint64_t, WorkItem> &items) {
        for (const auto &[key, item] : items) {
            for (std::size_t part = 0; part < item.parts.size(); ++part) {
                m_index[item.parts[part].backend].push_back({&item, part});
            }
        }
    };
    add(m_own);
    for (const auto &[name, sender] : m_remote) {
        add(sender.items);
    }
    std::erase_if(m_index, [](const auto &entry) { return entry.second.empty(); });
    m_indexed = true;
    return m_index;
}

std::vector<const WorkItem *> WorkLedger::waiting(std::uint32_t service) const
{
    std::vector<const WorkItem *> result;
    const auto add = [&result, service](const std::map<std::uint64_t, WorkItem> &items) {
        for (const auto &[key, item] : items) {
            if (item.queuedFor == service) {
                result.push_back(&item);
            }
        }
    };
    add(m_own);
    for (const auto &[name, sender] : m_remote) {
        add(sender.items);
    }
    return result;
}

bool WorkLedger::othersWait(std::uint32_t service) const
{
    return std::ranges::any_of(m_remote, [service](const auto &sender) {
        return std::ranges::any_of(sender.second.items,
                                   [service](const auto &entry) { return entry.second.queuedFor == service; });
    });
}

WorkReport WorkLedger::takeChanges(Instant now)
{
    WorkReport report;
    report.epoch = m_epoch;
    std::ranges::sort(m_changed);
    m_changed.erase(std::unique(m_changed.begin(), m_changed.end()), m_changed.end());
    std::size_t bytes = 0;
    auto changed = m_changed.begin();
    for (; changed != m_changed.end(); ++changed) {
        const auto found = m_own.find(*changed);
        if (found == m_own.end()) {
            continue;
        }
        if (!report.items.empty() && bytes + encodedBytes(found->second) > PieceBytes) {
            break;
        }
        bytes += encodedBytes(found->second);
        report.items.push_back(messageFor(found->second, now));
    }
    m_changed.erase(m_changed.begin(), changed);
    const auto ended = std::min(m_ended.size(), (PieceBytes - std::min(bytes, PieceBytes)) / EndedBytes);
    const auto endedEnd = m_ended.begin() + static_cast<std::ptrdiff_t>(ended);
    report.ended.assign(m_ended.begin(), endedEnd);
    m_ended.erase(m_ended.begin(), endedEnd);
    return report;
}

std::vector<WorkReport> WorkLedger::fullReports(Instant now)
{
    m_changed.clear();
    m_ended.clear();
    return snapshots(now);
}

void WorkLedger::forget(const pomeloport::OwnerId &sender)
{
    const auto found = m_remote.find(sender.instance);
    if (found != m_remote.end() && found->second.incarnation <= sender.incarnation) {
        m_remote.erase(found);
        m_indexed = false;
    }
    m_senders.erase(sender.instance);
}

std::vector<WorkReport> WorkLedger::snapshots(Instant now)
{
    ++m_epoch;
    std::vector<WorkReport> pieces(1);
    std::size_t bytes = 0;
    for (const auto &[key, item] : m_own) {
        if (bytes + encodedBytes(item) > PieceBytes) {
            pieces.emplace_back();
            bytes = 0;
        }
        bytes += encodedBytes(item);
        pieces.back().items.push_back(messageFor(item, now));
    }
    for (auto &piece : pieces) {
        piece.full = true;
        piece.epoch = m_epoch;
    }
    pieces.back().lastPiece = true;
    return pieces;
}

/// Factor by which the sums have decayed since the last arrival.
double WorkLedger::decay(Instant now) const
{
    const double elapsed = std::max(0.0, pomeloport::seconds(now - m_arrivedAt));
    return std::exp(-elapsed / pomeloport::seconds(RateTimeConstant));
}

void WorkLedger::recordArrival(const WorkItem &item, Instant now)
{
    m_firstArrival = m_firstArrival == Instant{} ? now : m_firstArrival;
    const double kept = decay(now);
    m_arrivedMs *= kept;
    for (auto &[bound, count] : m_streams) {
        count *= kept;
    }
    m_arrivedAt = std::max(m_arrivedAt, now);
    for (const auto &part : item.parts) {
        m_arrivedMs += part.prefillMs;
    }
    if (item.eventGap > Duration::zero()) {
        m_streams[item.eventGap] += 1;
    }
}

/// Effective time over which arrivals were summed up: shorter than RateTimeConstant until the process has run for a
/// while.
Duration WorkLedger::rateSpan(Instant now) const
{
    constexpr Duration Shortest = std::chrono::milliseconds(200);
    const double age = pomeloport::seconds(std::max(Duration(now - m_firstArrival), Shortest));
    const double time = pomeloport::seconds(RateTimeConstant);
    return pomeloport::fromSeconds(time * (1 - std::exp(-age / time)));
}

double WorkLedger::prefillRate(Instant now) const
{
    return m_arrivedMs * decay(now) / (pomeloport::seconds(rateSpan(now)) * MillisecondsPerSecond);
}

double WorkLedger::latencySensitiveRate(Duration bound, Instant now) const
{
    double count = 0;
    for (const auto &[gap, streams] : m_streams) {
        count += gap < bound ? streams : 0;
    }
    return count * decay(now) / pomeloport::seconds(rateSpan(now));
}

bool WorkLedger::hasChanges() const
{
    return !m_changed.empty() || !m_ended.empty();
}

} // namespace pomeloentry

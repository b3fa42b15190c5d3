#pragma once

#include "pomeloport/clock.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Averages of what the answers of backend servers tell about their speed, which count for less the older they are.
/// Pure.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// An answer of a backend server, and what it is compared with.
struct ObservedAnswer
{
    /// Response time, or another measure of which less is better.
    double value = 0;
    /// Value above which the server is slow, see AnswerAverages; nothing if there are no other servers.
    std::optional<double> slowAbove;
    /// How stale the average of the server is, from 0 to 1.
    double staleness = 0;
    /// Whether the request was sent while the server was cold.
    bool isCold = false;
    std::uint32_t slots = 1;
    Instant at{};
};

/// Moving average of one incarnation of a backend server.
///
/// Nothing corrects the average of a server that gets no request. So a bad one decays towards that of the other servers
/// as those answer. A server that was slow is on trial then: with as many requests in flight as it has given good
/// answers since, and one more, it counts by the decayed average, and with more of them by the bad one. Not thread
/// safe.
class AnswerHistory
{
public:
    /// Weight of a new answer in the average.
    static constexpr double AnswerWeight = 0.2;

    /// Average of all answers; zero without an answer.
    double average() const;
    Instant updatedAt() const;

    /// Whether the average is of answers to requests that were sent while the server was cold.
    bool isOfColdTime() const;

    /// Average that counts for another request, given the decayed one.
    double current(double decayed, std::size_t inFlight) const;

    /// Records an answer to this instance. An average of the time before or while the server was cold starts anew.
    void record(const ObservedAnswer &answer);

    /// Records an answer to another instance.
    void recordElsewhere(double value);

private:
    double m_average = 0;
    Instant m_updatedAt{};
    bool m_isOfColdTime = false;
    /// Average that made the server slow, and the value above which an answer is slow; zero unless it is on trial.
    double m_slowAverage = 0;
    double m_slowAbove = 0;
    std::size_t m_goodAnswers = 0;
};

/// The averages of the servers of a service at one time.
class AnswerAverages
{
public:
    /// An average is stale when another server has answered this much later. Zero: no average becomes stale.
    explicit AnswerAverages(Duration lifetime);

    void add(const AnswerHistory &history);

    /// Average of the added servers without one, which need not be among them. Stale ones count little; nothing without
    /// others.
    std::optional<double> withoutOne(const AnswerHistory &history);

    /// How stale an average is, from 0 to 1.
    double staleness(const AnswerHistory &history) const;

    /// The server's average, decayed towards that of the others if it is worse.
    double decayed(const AnswerHistory &history);

private:
    double weightOf(const AnswerHistory &history) const;

    Duration m_lifetime;
    std::vector<const AnswerHistory *> m_histories;
    Instant m_newest{};
    /// Sums over all servers, and the set of them, computed when they are first needed.
    bool m_isSummed = false;
    boost::unordered_flat_set<const AnswerHistory *> m_members;
    double m_weights = 0;
    double m_weighted = 0;
};

} // namespace pomeloentry

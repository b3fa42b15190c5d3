#include "pomeloentry/decisions/answerhistory.h"

#include <algorithm>

namespace pomeloentry
{

namespace
{

/// Weight of a stale average among the others. It is not zero, since without traffic there are no newer ones.
constexpr double StaleWeight = 0.001;

} // namespace

double AnswerHistory::average() const
{
    return m_average;
}

Instant AnswerHistory::updatedAt() const
{
    return m_updatedAt;
}

bool AnswerHistory::isOfColdTime() const
{
    return m_isOfColdTime;
}

double AnswerHistory::current(double decayed, std::size_t inFlight) const
{
    const bool isBeyondTrial = m_slowAverage > 0 && inFlight > m_goodAnswers;
    return isBeyondTrial ? std::max(decayed, m_slowAverage) : decayed;
}

void AnswerHistory::record(const ObservedAnswer &answer)
{
    if (m_average == 0 || answer.isCold != m_isOfColdTime) {
        m_average = answer.value;
        m_isOfColdTime = answer.isCold;
    } else {
        m_average += (AnswerWeight + (1 - AnswerWeight) * answer.staleness) * (answer.value - m_average);
    }
    m_updatedAt = answer.at;
    if (!answer.slowAbove) {
        return;
    }
    const bool isOnTrial = m_slowAverage > 0;
    if ((isOnTrial ? answer.value : m_average) > *answer.slowAbove) {
        m_slowAverage = std::max(m_average, *answer.slowAbove);
        m_slowAbove = *answer.slowAbove;
        m_goodAnswers = 0;
    } else if (isOnTrial && ++m_goodAnswers >= answer.slots) {
        m_slowAverage = 0;
    }
}

void AnswerHistory::recordElsewhere(double value)
{
    if (m_slowAverage > 0 && value <= m_slowAbove) {
        ++m_goodAnswers;
    }
}

AnswerAverages::AnswerAverages(Duration lifetime)
    : m_lifetime(lifetime)
{
}

void AnswerAverages::add(const AnswerHistory &history)
{
    if (history.average() > 0) {
        m_histories.push_back(&history);
        m_newest = std::max(m_newest, history.updatedAt());
    }
}

double AnswerAverages::staleness(const AnswerHistory &history) const
{
    if (m_lifetime <= Duration::zero()) {
        return 0;
    }
    return std::clamp(pomeloport::seconds(m_newest - history.updatedAt()) / pomeloport::seconds(m_lifetime), 0.0, 1.0);
}

double AnswerAverages::weightOf(const AnswerHistory &history) const
{
    return std::max(StaleWeight, 1 - staleness(history));
}

std::optional<double> AnswerAverages::withoutOne(const AnswerHistory &history)
{
    if (!m_isSummed) {
        m_isSummed = true;
        for (const auto *each : m_histories) {
            m_weights += weightOf(*each);
            m_weighted += weightOf(*each) * each->average();
        }
        m_members.insert(m_histories.begin(), m_histories.end());
    }
    const bool isListed = m_members.contains(&history);
    if (m_histories.size() <= (isListed ? 1U : 0U)) {
        return std::nullopt;
    }
    const double own = isListed ? weightOf(history) : 0;
    return (m_weighted - own * history.average()) / (m_weights - own);
}

double AnswerAverages::decayed(const AnswerHistory &history)
{
    const double share = staleness(history);
    const auto others = share > 0 ? withoutOne(history) : std::nullopt;
    const double average = history.average();
    return others && *others < average ? average + share * (*others - average) : average;
}

} // namespace pomeloentry

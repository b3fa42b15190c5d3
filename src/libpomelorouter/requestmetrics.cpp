#include "pomelorouter/requestmetrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <set>
#include <shared_mutex>
#include <utility>
#include <vector>

namespace pomelorouter
{

using namespace pomeloport;

namespace
{

namespace bh = boost::histogram;

/// Counter that several threads may increment concurrently.
using AtomicCount = bh::accumulators::count<std::uint64_t, true>;
using Axis = bh::axis::variable<double>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<AtomicCount>>;

/// Bounds of the histogram bins in seconds, with upper bounds from one millisecond to ten minutes.
const std::vector<double> BinBounds{0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.049, 0.07, 0.1, 0.2,
                                    0.4, 0.7,   1.1,   2,     5,    10,   20,    60,    120,  300, 600};

constexpr std::size_t VerdictCount = nameTable(Verdict{}).size();
constexpr std::size_t ReasonCount = nameTable(ReasonCode{}).size();
constexpr std::string_view OtherOrganisationsLabel = "other";

/// A histogram of durations, and their sum, which the Prometheus format requires.
class TimeHistogram
{
public:
    void record(Duration elapsed)
    {
        m_histogram(std::max(0.0, seconds(elapsed)));
        m_microseconds.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, elapsed.count())),
                                 std::memory_order_relaxed);
    }

    void append(std::string &out, const std::string &name, const std::string &labels) const
    {
        std::uint64_t total = 0;
        const auto &axis = m_histogram.axis();
        for (int bin = 0; bin < axis.size(); ++bin) {
            total += m_histogram.at(bin).value();
            char bound[32];
            std::snprintf(bound, sizeof(bound), "%g", axis.bin(bin).upper());
            out += name + "_bucket{" + labels + ",le=\"" + bound + "\"} " + std::to_string(total) + "\n";
        }
        total += m_histogram.at(axis.size()).value();
        out += name + "_bucket{" + labels + ",le=\"+Inf\"} " + std::to_string(total) + "\n";
        const auto sum = static_cast<double>(m_microseconds.load(std::memory_order_relaxed)) / 1e6;
        out += name + "_sum{" + labels + "} " + std::to_string(sum) + "\n";
        out += name + "_count{" + labels + "} " + std::to_string(total) + "\n";
    }

private:
    Histogram m_histogram{std::make_tuple(Axis(BinBounds))};
    std::atomic<std::uint64_t> m_microseconds{0};
};

std::string escapeLabel(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

void appendHeader(std::string &out, const std::string &name, const char *help, const char *type)
{
    out += "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

} // namespace

struct RequestSeries::Implementation
{
    TimeHistogram timeToFirstToken;
    TimeHistogram interTokenLatency;
    TimeHistogram queueWait;
    std::array<std::atomic<std::uint64_t>, VerdictCount> verdicts{};
    std::array<std::atomic<std::uint64_t>, ReasonCount> reasons{};
};

RequestSeries::RequestSeries()
    : m_implementation(std::make_unique<Implementation>())
{
}

RequestSeries::~RequestSeries() = default;

void RequestSeries::recordTimeToFirstToken(Duration elapsed)
{
    m_implementation->timeToFirstToken.record(elapsed);
}

void RequestSeries::recordInterTokenLatency(Duration elapsed)
{
    m_implementation->interTokenLatency.record(elapsed);
}

void RequestSeries::recordQueueWait(Duration elapsed)
{
    m_implementation->queueWait.record(elapsed);
}

void RequestSeries::countVerdict(Verdict verdict, std::optional<ReasonCode> reason)
{
    ++m_implementation->verdicts.at(static_cast<std::size_t>(verdict));
    if (reason) {
        ++m_implementation->reasons.at(static_cast<std::size_t>(*reason));
    }
}

struct RequestMetrics::Implementation
{
    using Key = std::pair<std::string, PromptClass>;
    using Member = TimeHistogram RequestSeries::Implementation::*;

    std::size_t maximumOrganisations = 0;
    mutable std::shared_mutex mutex;
    std::set<std::string> organisations;
    std::map<Key, std::shared_ptr<RequestSeries>> series;

    /// Returns the organisation label to count under. Call it with the mutex held exclusively.
    std::string labelFor(const std::string &organisation)
    {
        if (organisations.contains(organisation) || organisations.size() < maximumOrganisations) {
            organisations.insert(organisation);
            return organisation;
        }
        return std::string(OtherOrganisationsLabel);
    }

    static std::string labelsOf(const Key &key)
    {
        return "organisation=\"" + escapeLabel(key.first) + "\",class=\"" + std::string(nameOf(key.second)) + "\"";
    }

    void appendHistogram(std::string &out, const std::string &name, const char *help, Member member) const
    {
        appendHeader(out, name, help, "histogram");
        for (const auto &[key, entry] : series) {
            (*entry->m_implementation.*member).append(out, name, labelsOf(key));
        }
    }

    /// Appends one counter for each value of an enum; counters at zero are omitted.
    template<typename Enum, std::size_t N>
    static void appendCounters(std::string &out,
                               const std::string &name,
                               const Key &key,
                               const std::string &label,
                               const std::array<std::atomic<std::uint64_t>, N> &counters)
    {
        for (const auto &[value, text] : nameTable(Enum{})) {
            const auto count = counters.at(static_cast<std::size_t>(value)).load(std::memory_order_relaxed);
            if (count > 0) {
                out += name + "{" + labelsOf(key) + "," + label + "=\"" + std::string(text) + "\"} ";
                out += std::to_string(count) + "\n";
            }
        }
    }
};

RequestMetrics::RequestMetrics(std::size_t maximumOrganisations)
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->maximumOrganisations = maximumOrganisations;
}

RequestMetrics::~RequestMetrics() = default;

std::shared_ptr<RequestSeries> RequestMetrics::series(const std::string &organisation, PromptClass promptClass)
{
    {
        const std::shared_lock lock(m_implementation->mutex);
        const auto found = m_implementation->series.find({organisation, promptClass});
        if (found != m_implementation->series.end()) {
            return found->second;
        }
    }
    const std::unique_lock lock(m_implementation->mutex);
    auto &entry = m_implementation->series[{m_implementation->labelFor(organisation), promptClass}];
    if (!entry) {
        entry = std::make_shared<RequestSeries>();
    }
    return entry;
}

std::string RequestMetrics::text() const
{
    using Series = RequestSeries::Implementation;
    std::string out;
    const std::shared_lock lock(m_implementation->mutex);
    m_implementation->appendHistogram(out,
                                      "pomelo_time_to_first_token_seconds",
                                      "Time from the arrival of a request to its first token.",
                                      &Series::timeToFirstToken);
    m_implementation->appendHistogram(
        out, "pomelo_time_between_tokens_seconds", "Time between two tokens of an answer.", &Series::interTokenLatency);
    m_implementation->appendHistogram(out,
                                      "pomelo_queue_wait_seconds",
                                      "Time from the arrival of a request to its first attempt.",
                                      &Series::queueWait);
    appendHeader(out, "pomelo_requests_total", "Requests ended, by verdict.", "counter");
    for (const auto &[key, entry] : m_implementation->series) {
        Implementation::appendCounters<Verdict>(
            out, "pomelo_requests_total", key, "verdict", entry->m_implementation->verdicts);
    }
    appendHeader(out, "pomelo_failures_total", "Requests failed, by reason.", "counter");
    for (const auto &[key, entry] : m_implementation->series) {
        Implementation::appendCounters<ReasonCode>(
            out, "pomelo_failures_total", key, "reason", entry->m_implementation->reasons);
    }
    return out;
}

} // namespace pomelorouter

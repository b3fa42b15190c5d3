#include "loadtest.h"

#include "pomelofake/program.h"
#include "pomeloport/protocol/jsonfields.h"

#include <cstdio>

namespace pomeloload
{

using pomelofake::steadyNow;

namespace
{

constexpr auto ProgressInterval = std::chrono::seconds(1);
constexpr auto ServiceRetryDelay = std::chrono::milliseconds(200);

} // namespace

LoadTest::LoadTest(boost::asio::io_context &context, const LoadOptions &options, const LoadPlan &plan)
    : m_context(context)
    , m_options(options)
    , m_plan(plan)
    , m_endpoints(context, options.entries, options.trace.seed)
    , m_shared{context,
               plan,
               m_endpoints,
               m_statistics,
               [this] {
                   callerFinished();
               }}
    , m_timer(context)
    , m_progressTimer(context)
    , m_client(context)
{
}

const LoadStatistics &LoadTest::run()
{
    m_startedAt = steadyNow();
    if (m_options.progress) {
        showProgress();
    }
    startNext();
    callerFinished();
    m_context.run();
    compareRuns();
    return m_statistics;
}

void LoadTest::startNext()
{
    if (m_next >= m_plan.trace().size()) {
        return;
    }
    m_timer.expires_at(m_startedAt + m_plan.trace()[m_next].at);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            startDue();
        }
    });
}

void LoadTest::startDue()
{
    const auto &entry = m_plan.trace()[m_next++];
    auto request = m_plan.plan(entry, pomelofake::wallMilliseconds());
    std::make_shared<Caller>(m_shared, std::move(request), m_startedAt + entry.at)->start();
    startNext();
}

void LoadTest::callerFinished()
{
    if (m_next < m_plan.trace().size() || m_statistics.open > 0) {
        return;
    }
    m_progressTimer.cancel();
    askServices();
}

void LoadTest::showProgress()
{
    std::fprintf(stderr,
                 "t=%lds sent=%lu open=%lu answered=%lu rejected=%lu failed=%lu lost=%lu wrong=%lu resends=%lu\n",
                 static_cast<long>(pomeloport::seconds(steadyNow() - m_startedAt)),
                 m_statistics.sent,
                 m_statistics.open,
                 m_statistics.total(Outcome::Answered),
                 m_statistics.total(Outcome::Rejected),
                 m_statistics.total(Outcome::Failed),
                 m_statistics.total(Outcome::Lost),
                 m_statistics.total(Outcome::Wrong),
                 m_statistics.resends);
    m_progressTimer.expires_after(ProgressInterval);
    m_progressTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            showProgress();
        }
    });
}

void LoadTest::askServices()
{
    if (m_servicesAsked >= m_options.services.size()) {
        m_context.stop();
        return;
    }
    m_client.send({m_options.services[m_servicesAsked], "GET", "/runs", {}, {}},
                  [this](const std::optional<pomeloport::HttpReply> &reply, bool /*sent*/) {
                      if (!reply) {
                          m_timer.expires_after(ServiceRetryDelay);
                          m_timer.async_wait([this](const boost::system::error_code &) { askServices(); });
                          return;
                      }
                      countRuns(reply->body);
                      ++m_servicesAsked;
                      askServices();
                  });
}

void LoadTest::countRuns(const std::string &body)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(body, error);
    const auto *runs = document.is_object() ? document.get_object().if_contains("runs") : nullptr;
    if (!runs || !runs->is_object()) {
        return;
    }
    for (const auto &[key, count] : runs->get_object()) {
        m_runs[std::string(key)] += count.to_number<std::uint64_t>(error);
    }
}

void LoadTest::compareRuns()
{
    if (m_options.services.empty()) {
        return;
    }
    for (const auto &action : m_statistics.actions) {
        const auto found = m_runs.find(action.key);
        const auto runs = found == m_runs.end() ? 0 : found->second;
        m_statistics.doubleRuns += runs > 1 ? 1 : 0;
        m_statistics.falseNotRun += action.outcome == Outcome::Rejected && runs > 0 ? 1 : 0;
        m_statistics.missingRuns += action.outcome == Outcome::Answered && runs == 0 ? 1 : 0;
    }
}

} // namespace pomeloload

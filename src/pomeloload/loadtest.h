#pragma once

#include "caller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

/// Runs a trace against the system.
namespace pomeloload
{

/// Starts each request when the trace says so, whatever became of the earlier ones, waits for all outcomes, and asks
/// the services how often each action ran.
class LoadTest
{
public:
    LoadTest(boost::asio::io_context &context, const LoadOptions &options, const LoadPlan &plan);

    /// Runs the whole test on this thread.
    const LoadStatistics &run();

private:
    void startNext();
    void startDue();
    void callerFinished();
    void showProgress();
    void askServices();
    void countRuns(const std::string &body);
    void compareRuns();

    boost::asio::io_context &m_context;
    const LoadOptions &m_options;
    const LoadPlan &m_plan;
    LoadStatistics m_statistics;
    Endpoints m_endpoints;
    Caller::Shared m_shared;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_progressTimer;
    pomeloport::HttpClient m_client;
    pomeloport::Instant m_startedAt{};
    std::size_t m_next = 0;
    std::size_t m_servicesAsked = 0;
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace pomeloload

#include "suite.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <thread>
#include <utility>

namespace benchdecisions
{

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

// Bounds and aims as stated for the product.
constexpr double FirstTokenSeconds = 1.1;
constexpr double BetweenTokensSeconds = 0.049;
constexpr double AttemptsPerRequest = 1.1;
constexpr double ShortSlowdown = 1.2;
constexpr double WorthOfOracle = 0.95;
constexpr double WorthOfBaselines = 1.3;

constexpr std::array Baselines{PolicyKind::RoundRobin, PolicyKind::LeastLoaded, PolicyKind::TwoChoices};
constexpr std::array SharingPolicies{PolicyKind::LocalChoice,
                                     PolicyKind::HomeGranted,
                                     PolicyKind::TryNext,
                                     PolicyKind::Ours};
constexpr std::array AllPolicies{PolicyKind::RoundRobin,
                                 PolicyKind::LeastLoaded,
                                 PolicyKind::TwoChoices,
                                 PolicyKind::Ours};

// One scenario at one deployment, with its trace and its runs.
struct Case
{
    Deployment deployment;
    Scenario scenario;
    Trace trace;
    std::map<PolicyKind, RunResult> results;
    std::map<PolicyKind, Figures> figures;
};

Scenario steady()
{
    Scenario scenario;
    scenario.name = "steady";
    scenario.phases = {{120s, 1}};
    return scenario;
}

Scenario crest()
{
    Scenario scenario;
    scenario.name = "crest";
    scenario.phases = {{20s, 1}, {30s, 3}, {40s, 6}, {30s, 1}};
    scenario.firstCrestPhase = 1;
    scenario.endCrestPhase = 3;
    return scenario;
}

std::vector<std::pair<Scenario, std::vector<PolicyKind>>> plan(const SuiteOptions &options)
{
    std::vector<PolicyKind> all(AllPolicies.begin(), AllPolicies.end());
    auto withOracle = all;
    withOracle.push_back(PolicyKind::Oracle);
    const std::vector<PolicyKind> sharing(SharingPolicies.begin(), SharingPolicies.end());

    auto withoutLong = steady();
    withoutLong.name = "steady_without_long";
    withoutLong.longPrompts = false;
    auto death = crest();
    death.name = "engine_death";
    death.engineDiesAt = 60s;
    death.engineReturnsAt = 90s;
    auto slow = steady();
    slow.name = "engine_slow";
    slow.engineSlowsAt = 40s;
    slow.engineRecoversAt = 80s;
    auto burst = steady();
    burst.name = "long_burst";
    burst.longBurst = 20;

    if (options.shortRun) {
        const std::vector<PolicyKind> ours{PolicyKind::Ours};
        auto shortCrest = death;
        shortCrest.phases = {{10s, 1}, {10s, 3}, {10s, 6}, {10s, 1}};
        shortCrest.engineDiesAt = 25s;
        shortCrest.engineReturnsAt = 35s;
        return {{steady(), ours}, {shortCrest, ours}};
    }
    std::vector<std::pair<Scenario, std::vector<PolicyKind>>> runs{
        {steady(), withOracle}, {withoutLong, all}, {crest(), withOracle}, {burst, all}, {death, all}, {slow, all}};
    for (const auto &[name, lag] : {std::pair{"lag_100ms", Duration(100ms)}, {"lag_1s", 1s}, {"lag_5s", 5s}}) {
        auto stale = crest();
        stale.name = name;
        stale.reportLag = lag;
        runs.emplace_back(stale, sharing);
    }
    auto deadHome = crest();
    deadHome.name = "dead_home";
    deadHome.homeDiesAt = 60s;
    runs.emplace_back(deadHome, sharing);
    return runs;
}

void runAll(std::vector<std::unique_ptr<Case>> &cases, std::size_t threads)
{
    std::vector<std::pair<Case *, PolicyKind>> jobs;
    for (const auto &item : cases) {
        for (const auto &[policy, result] : item->results) {
            jobs.emplace_back(item.get(), policy);
        }
    }
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (auto index = next++; index < jobs.size(); index = next++) {
            auto &[item, policy] = jobs[index];
            item->results.at(policy) = Simulation(item->deployment, item->scenario, policy, item->trace).run();
            item->figures.at(policy) = figuresOf(item->trace, item->results.at(policy));
        }
    };
    std::vector<std::jthread> workers;
    for (std::size_t worker = 0; worker < std::max<std::size_t>(1, threads); ++worker) {
        workers.emplace_back(work);
    }
}

// Names one figure of a case; the value is added by the caller.
Line lineOf(const Case &item, std::string metric, std::string_view policy, double value)
{
    return {std::move(metric), item.deployment.name, item.scenario.name, std::string(policy), value, {}, "info"};
}

void addPercentiles(Report &report,
                    const Case &item,
                    const std::string &metric,
                    std::string_view policy,
                    const Percentiles &values)
{
    if (values.samples > 0) {
        report.info(lineOf(item, metric + "_p50", policy, values.p50));
        report.info(lineOf(item, metric + "_p95", policy, values.p95));
        report.info(lineOf(item, metric + "_p99", policy, values.p99));
    }
}

// Whether the targets can be met at all, by requests that run alone.
void reportReachability(Report &report, const Case &item)
{
    report.info(lineOf(
        item, "offered_utilisation", "none", offeredUtilisation(item.deployment, item.scenario, item.trace, false)));
    if (item.scenario.endCrestPhase > 0) {
        report.info(lineOf(item,
                           "offered_utilisation_crest",
                           "none",
                           offeredUtilisation(item.deployment, item.scenario, item.trace, true)));
    }
    const auto floors = floorsOf(item.trace);
    for (std::size_t index = 0; index < PromptClasses; ++index) {
        const auto name = std::string(nameOf(static_cast<PromptClass>(index)));
        addPercentiles(report, item, "first_token_" + name, "floor", floors.byClass.at(index));
    }
    const bool bounded = item.scenario.name == "steady";
    const auto line = lineOf(item, "first_token_all_p95", "floor", floors.all.p95);
    bounded ? report.atMost(line, FirstTokenSeconds, false) : report.info(line);
}

void reportLatencies(Report &report, const Case &item, PolicyKind policy, const Figures &figures)
{
    const auto name = nameOf(policy);
    for (std::size_t index = 0; index < PromptClasses; ++index) {
        const auto type = std::string(nameOf(static_cast<PromptClass>(index)));
        addPercentiles(report, item, "first_token_" + type, name, figures.firstToken.at(index));
    }
    const bool bounded = policy == PolicyKind::Ours && item.scenario.name == "steady";
    const auto first = lineOf(item, "first_token_all_p95", name, figures.firstTokenOfAll.p95);
    const auto between = lineOf(item, "between_tokens_p95", name, figures.betweenTokens.p95);
    if (bounded) {
        report.atMost(first, FirstTokenSeconds, false);
        report.atMost(between, BetweenTokensSeconds, false);
    } else {
        report.info(first);
        report.info(between);
    }
}

void reportPromises(Report &report, const Case &item, PolicyKind policy)
{
    const auto name = nameOf(policy);
    const auto &figures = item.figures.at(policy);
    const auto &result = item.results.at(policy);
    const auto ended = 1 - static_cast<double>(figures.late) / static_cast<double>(figures.requests);
    const auto leaked = static_cast<double>(result.leakedTokens + result.leakedBookings);
    const auto ran = lineOf(item, "not_run_that_ran", name, static_cast<double>(figures.notRunThatRan));
    const auto attempts = lineOf(item, "attempts_per_request", name, figures.attemptsPerRequest);
    report.info(lineOf(item, "requests", name, static_cast<double>(figures.requests)));
    report.info(lineOf(item, "refused_on_arrival", name, static_cast<double>(figures.refused)));
    report.info(lineOf(item, "failed_after_admission", name, static_cast<double>(figures.failedAfterAdmission)));
    report.info(lineOf(item, "peak_memory", name, result.peakMemory));
    const auto reviews = static_cast<double>(figures.reviewsAnswered)
        / static_cast<double>(std::max<std::size_t>(1, figures.reviewsAdmitted));
    if (policy != PolicyKind::Ours) {
        report.info(lineOf(item, "ended_in_time", name, ended));
        report.info(lineOf(item, "leaked", name, leaked));
        report.info(ran);
        report.info(attempts);
        report.info(lineOf(item, "reviews_finished_of_admitted", name, reviews));
        return;
    }
    report.atLeast(lineOf(item, "ended_in_time", name, ended), 1, false);
    report.atMost(lineOf(item, "leaked", name, leaked), 0, false);
    report.atMost(ran, 0, false);
    report.atMost(attempts, AttemptsPerRequest, false);
    if (figures.reviewsAdmitted > 0) {
        report.atLeast(lineOf(item, "reviews_finished_of_admitted", name, reviews), 1, true);
    }
    if (item.scenario.engineDiesAt > Duration::zero()) {
        report.info(lineOf(item, "attempts_at_dead_engine", name, static_cast<double>(result.attemptsAtDeadEngine)));
        // One probe of each router is allowed, new work is not.
        const auto late = static_cast<double>(result.lateAttemptsAtDeadEngine);
        const auto probes = static_cast<double>(item.deployment.routers);
        report.atMost(lineOf(item, "attempts_at_dead_engine_after_1s", name, late), probes, true);
    }
}

void reportWorth(Report &report, const Case &item)
{
    if (item.scenario.endCrestPhase == 0 || !item.figures.contains(PolicyKind::Ours)) {
        return;
    }
    for (const auto &[policy, figures] : item.figures) {
        report.info(lineOf(item, "crest_worth_part", nameOf(policy), figures.worthAtCrest / figures.worthOffered));
    }
    const auto ours = item.figures.at(PolicyKind::Ours).worthAtCrest;
    const auto oracle = item.figures.find(PolicyKind::Oracle);
    const bool aimed = item.deployment.name == "clipback";
    if (oracle != item.figures.end()) {
        const auto line = lineOf(item, "crest_worth_over_oracle", "ours", ours / oracle->second.worthAtCrest);
        aimed ? report.atLeast(line, WorthOfOracle, true) : report.info(line);
    }
    for (const auto policy : Baselines) {
        const auto found = item.figures.find(policy);
        if (found == item.figures.end()) {
            continue;
        }
        auto metric = std::string("crest_worth_over_").append(nameOf(policy));
        const auto line = lineOf(item, std::move(metric), "ours", ours / found->second.worthAtCrest);
        const bool loses = found->second.worthAtCrest < 0.999 * found->second.worthOffered;
        if (aimed && loses) {
            report.atLeast(line, WorthOfBaselines, true);
        } else {
            report.info(line);
        }
    }
}

void reportSlowdown(Report &report, const Case &with, const Case &without)
{
    for (const auto &[policy, figures] : with.figures) {
        const auto other = without.figures.find(policy);
        if (other == without.figures.end()) {
            continue;
        }
        const auto slowdown = figures.firstToken.front().p95 / other->second.firstToken.front().p95;
        const auto line = lineOf(with, "short_slowdown_p95", nameOf(policy), slowdown);
        const bool aimed = policy == PolicyKind::Ours && with.deployment.name == "kandy";
        aimed ? report.atMost(line, ShortSlowdown, true) : report.info(line);
    }
}

} // namespace

Report runSuite(const SuiteOptions &options)
{
    std::vector<std::unique_ptr<Case>> cases;
    for (const auto &deployment : deployments()) {
        for (const auto &[scenario, policies] : plan(options)) {
            if (!options.only.empty() && scenario.name != options.only) {
                continue;
            }
            auto item = std::make_unique<Case>(
                Case{deployment, scenario, makeTrace(deployment, scenario, options.seed), {}, {}});
            for (const auto policy : policies) {
                item->results[policy];
                item->figures[policy];
            }
            cases.push_back(std::move(item));
        }
    }
    runAll(cases, options.threads);

    Report report;
    for (const auto &item : cases) {
        reportReachability(report, *item);
        for (const auto &[policy, figures] : item->figures) {
            reportLatencies(report, *item, policy, figures);
            reportPromises(report, *item, policy);
        }
        reportWorth(report, *item);
        for (const auto &other : cases) {
            const bool pair = item->scenario.name == "steady" && other->scenario.name == "steady_without_long";
            if (pair && other->deployment.name == item->deployment.name) {
                reportSlowdown(report, *item, *other);
            }
        }
    }
    if (!options.shortRun && options.only.empty()) {
        measureDecisionCost(report);
    }
    return report;
}

} // namespace benchdecisions

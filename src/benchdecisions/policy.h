#pragma once

#include "pomeloport/coordination/placement.h"
#include "pomeloport/nametable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

/// The policies that the bench compares.
namespace benchdecisions
{

/// How engines are chosen. The first three are plain balancers, which leave all requests in the engines' class Normal;
/// the others use the engines' classes by prompt length.
enum class PolicyKind {
    /// In turn, per router.
    RoundRobin,
    /// The least queued prompt tokens by the last report.
    LeastLoaded,
    /// The better of two random engines by the last report and the router's own attempts since.
    TwoChoices,
    /// As TwoChoices, with classes.
    LocalChoice,
    /// The better of two random engines by the exact ledgers of their homes, for one round trip more.
    HomeGranted,
    /// As LocalChoice, with engines that refuse when their queue is long; the router tries the next one.
    TryNext,
    /// The placement of this project.
    Ours,
    /// The placement of this project as one central instance that sees the exact present state.
    Oracle,
};

constexpr pomeloport::NameTable<PolicyKind, 8> nameTable(PolicyKind /*unused*/)
{
    return {{{PolicyKind::RoundRobin, "round_robin"},
             {PolicyKind::LeastLoaded, "least_loaded"},
             {PolicyKind::TwoChoices, "two_choices"},
             {PolicyKind::LocalChoice, "local_choice"},
             {PolicyKind::HomeGranted, "home_granted"},
             {PolicyKind::TryNext, "try_next"},
             {PolicyKind::Ours, "ours"},
             {PolicyKind::Oracle, "oracle"}}};
}

/// Exact books of one engine, as its home keeps them.
struct EngineLedger
{
    /// Prompt tokens of attempts without a first chunk.
    std::int64_t pendingTokens = 0;
    /// Whether its home answers.
    bool homeAnswers = true;
};

/// What a baseline may look at.
struct BaselineView
{
    const pomeloport::Snapshot &snapshot;
    const std::vector<EngineLedger> &ledgers;
};

/// One router's baseline policy: no admission, no holding back, no circuit breaking.
class BaselineRouter
{
public:
    BaselineRouter(PolicyKind kind, std::uint64_t seed, std::size_t engines);

    /// Chooses an engine for the attempt.
    pomeloport::RouteDecision choose(const pomeloport::RouteQuery &query, const BaselineView &view);

    /// Books an attempt, and frees the booking.
    void opened(std::size_t engine, std::uint64_t tokens, pomeloport::Instant now);
    void answered(std::size_t engine, std::uint64_t tokens, pomeloport::Instant openedAt);

private:
    double load(std::size_t engine, const BaselineView &view) const;
    std::size_t pick(const std::vector<std::size_t> &engines, const BaselineView &view);

    PolicyKind m_kind;
    std::mt19937_64 m_random;
    std::size_t m_turn;
    /// Pending attempts by engine: opening time and tokens.
    std::vector<std::multimap<pomeloport::Instant, std::uint64_t>> m_pending;
};

using RouterPolicy = std::variant<BaselineRouter, std::unique_ptr<pomeloport::Placement>>;

} // namespace benchdecisions

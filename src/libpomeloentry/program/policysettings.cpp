#include "pomeloentry/program/policysettings.h"

namespace pomeloentry
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds MaximumTime{60'000};

void readTime(pomeloport::SettingsReader &reader,
              const std::string &key,
              Duration &value,
              milliseconds minimum = milliseconds(0),
              milliseconds maximum = MaximumTime)
{
    value = reader.duration(key, duration_cast<milliseconds>(value), minimum, maximum);
}

void readReal(pomeloport::SettingsReader &reader, const std::string &key, double &value)
{
    constexpr double MaximumValue = 100;
    value = reader.real(key, value, 0, MaximumValue);
}

void readEngines(pomeloport::SettingsReader reader, EnginePolicy &policy)
{
    constexpr std::uint64_t HelperLimit = 16;
    readReal(reader, "late_loss", policy.lateLoss);
    readReal(reader, "gap_safe", policy.gapSafe);
    readReal(reader, "gap_missed", policy.gapMissed);
    readReal(reader, "first_safe", policy.firstEventSafe);
    readReal(reader, "first_missed", policy.firstEventMissed);
    readTime(reader, "tight_gap", policy.latencySensitiveGap);
    readReal(reader, "spread_cost", policy.spreadCost);
    readReal(reader, "delay_cost", policy.delayCost);
    readReal(reader, "tie_share", policy.tieShare);
    readReal(reader, "last_slot_cost", policy.lastSlotCost);
    readReal(reader, "helper_cost", policy.helperCost);
    readReal(reader, "reading_price", policy.prefillPrice);
    readReal(reader, "distance_cost", policy.distanceCost);
    // With 1 the estimate would never fall.
    constexpr double LargestQuantile = 0.99;
    policy.queueStartQuantile = reader.real("queue_start_quantile", policy.queueStartQuantile, 0, LargestQuantile);
    readReal(reader, "busy_from", policy.busyFrom);
    readReal(reader, "busy_to", policy.busyTo);
    constexpr double EngineLimit = 10'000;
    policy.referenceEngines = reader.real("reference_engines", policy.referenceEngines, 1, EngineLimit);
    readReal(reader, "busy_per_backlog", policy.busyPerBacklogSecond);
    readReal(reader, "held_chance", policy.deferredLateChance);
    readReal(reader, "tight_worth", policy.latencySensitiveWorth);
    readReal(reader, "tight_reserve", policy.latencySensitiveHeadroom);
    readReal(reader, "ticket_cost", policy.ticketCost);
    policy.maximumHelpers = reader.number("maximum_helpers", policy.maximumHelpers, 0, HelperLimit);
    readReal(reader, "slot_share", policy.slotShare);
    readReal(reader, "memory_share", policy.memoryShare);
    reader.finish();
}

void readGateways(pomeloport::SettingsReader reader, GatewayPolicy &policy)
{
    constexpr std::uint64_t GatewayLimit = 1000;
    constexpr double MaximumCallRate = 100'000;
    policy.fleetGateways = reader.number("fleet", policy.fleetGateways, 1, GatewayLimit);
    policy.minimumPerDomain = reader.number("minimum_per_domain", policy.minimumPerDomain, 1, GatewayLimit);
    policy.strongEnough = reader.number("strong_enough", policy.strongEnough, 1, GatewayLimit);
    policy.strongShare = reader.real("strong_share", policy.strongShare, 0, 1);
    policy.callsPerCore = reader.real("calls_per_core", policy.callsPerCore, 1, MaximumCallRate);
    reader.finish();
}

void readQuarantine(pomeloport::SettingsReader reader, QuarantineLimits &limits)
{
    constexpr std::uint64_t CrashLimit = 100;
    constexpr std::uint64_t PartLimit = 100'000;
    constexpr milliseconds ShortestLifetime = std::chrono::seconds(1);
    constexpr milliseconds LongestLifetime = std::chrono::hours(1);
    limits.crashes = reader.number("crashes", limits.crashes, 2, CrashLimit);
    limits.crashesBeforeRepeat = reader.number("crashes_before_repeat", limits.crashesBeforeRepeat, 1, CrashLimit);
    readTime(reader, "simultaneous", limits.simultaneous);
    readTime(reader, "settle", limits.settle);
    readTime(reader, "evidence_lifetime", limits.evidenceLifetime, ShortestLifetime, LongestLifetime);
    readTime(reader, "first_trial", limits.firstTrialAfter, ShortestLifetime, LongestLifetime);
    readTime(reader, "longest_trial", limits.longestTrialAfter, ShortestLifetime, LongestLifetime);
    limits.maximumParts = reader.number("maximum_parts", limits.maximumParts, 1, PartLimit);
    reader.finish();
}

void readPace(pomeloport::SettingsReader reader, PacePolicy &policy)
{
    constexpr double LeastLateFactor = 1;
    constexpr double MostLateFactor = 100;
    policy.enabled = reader.boolean("enabled", policy.enabled);
    policy.initialShare = reader.real("initial_share", policy.initialShare, 0, 1);
    policy.lateFactor = reader.real("late_factor", policy.lateFactor, LeastLateFactor, MostLateFactor);
    policy.observeSlowdown = reader.boolean("observe_slowdown", policy.observeSlowdown);
    readTime(reader, "average_lifetime", policy.averageLifetime);
    policy.leastDifference = reader.real("least_difference", policy.leastDifference, 0, 1);
    reader.finish();
}

void readReturns(pomeloport::SettingsReader reader, ReturnPolicy &policy)
{
    constexpr milliseconds LongestMinimum{10'000};
    policy.enabled = reader.boolean("enabled", policy.enabled);
    readTime(reader, "minimum", policy.minimum, milliseconds(0), LongestMinimum);
    policy.maximumShare = reader.real("maximum_share", policy.maximumShare, 0, 1);
    reader.finish();
}

void readShares(pomeloport::SettingsReader reader, SharesPolicy &policy)
{
    constexpr milliseconds ShortestConstant{100};
    constexpr double LargestFactor = 100;
    policy.enabled = reader.boolean("enabled", policy.enabled);
    readTime(reader, "time_constant", policy.timeConstant, ShortestConstant);
    policy.overFactor = reader.real("over_factor", policy.overFactor, 1, LargestFactor);
    reader.finish();
}

} // namespace

std::optional<EntryPolicy> loadPolicy(const std::string &fileName, pomeloport::SettingsErrors &errors)
{
    EntryPolicy policy;
    if (fileName.empty()) {
        return policy;
    }
    auto reader = pomeloport::SettingsReader::loadFile(fileName, errors);
    if (!reader) {
        return std::nullopt;
    }
    readEngines(reader->section("engines"), policy.engines);
    readGateways(reader->section("gateways"), policy.gateways);
    readQuarantine(reader->section("quarantine"), policy.quarantine);
    readPace(reader->section("pace"), policy.pace);
    readReturns(reader->section("returns"), policy.returns);
    readShares(reader->section("shares"), policy.shares);
    readTime(*reader, "wait_step", policy.recheckInterval);
    readTime(*reader, "held_wait_step", policy.deferralRecheckInterval);
    readReal(*reader, "longest_wait", policy.maximumWaitShare);
    readTime(*reader, "server_gap", policy.longestServerGap);
    readTime(*reader, "start_gap", policy.startGap);
    policy.latePromptsWait = reader->boolean("late_prompts_wait", policy.latePromptsWait);
    policy.refuseBeforeAbandonment = reader->boolean("refuse_before_abandonment", policy.refuseBeforeAbandonment);
    readReal(*reader, "patience_factor", policy.patienceFactor);
    readTime(*reader, "least_patience", policy.minimumPatience);
    readReal(*reader, "fair_share", policy.guaranteedShare);
    readReal(*reader, "held_readers", policy.deferredPrefillShare);
    readReal(*reader, "worth_power", policy.worthExponent);
    constexpr std::uint64_t LargestUnreadBytes = 1ULL << 40;
    policy.serverUnreadBytes = reader->number("server_unread_bytes", policy.serverUnreadBytes, 0, LargestUnreadBytes);
    reader->finish();
    return errors.empty() ? std::optional(policy) : std::nullopt;
}

} // namespace pomeloentry

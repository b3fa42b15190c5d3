#include "pomeloentry/policysettings.h"

namespace pomeloentry
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds Longest{60'000};

void readTime(pomeloport::SettingsReader &reader, const std::string &key, Duration &value)
{
    value = reader.duration(key, duration_cast<milliseconds>(value), milliseconds(0), Longest);
}

void readShare(pomeloport::SettingsReader &reader, const std::string &key, double &value)
{
    constexpr double Most = 100;
    value = reader.real(key, value, 0, Most);
}

void readEngines(pomeloport::SettingsReader reader, EnginePolicy &policy)
{
    constexpr std::uint64_t MostHelpers = 16;
    readShare(reader, "late_loss", policy.lateLoss);
    readShare(reader, "gap_safe", policy.gapSafe);
    readShare(reader, "gap_missed", policy.gapMissed);
    readShare(reader, "first_safe", policy.firstSafe);
    readShare(reader, "first_missed", policy.firstMissed);
    readTime(reader, "tight_gap", policy.tightGap);
    readShare(reader, "spread_cost", policy.spreadCost);
    readShare(reader, "delay_cost", policy.delayCost);
    readShare(reader, "tie_share", policy.tieShare);
    readShare(reader, "last_slot_cost", policy.lastSlotCost);
    readShare(reader, "helper_cost", policy.helperCost);
    readShare(reader, "reading_price", policy.readingPrice);
    readShare(reader, "busy_from", policy.busyFrom);
    readShare(reader, "busy_to", policy.busyTo);
    readShare(reader, "busy_per_backlog", policy.busyPerBacklog);
    readShare(reader, "held_chance", policy.heldChance);
    readShare(reader, "tight_worth", policy.tightWorth);
    readShare(reader, "tight_reserve", policy.tightReserve);
    readShare(reader, "ticket_cost", policy.ticketCost);
    policy.maximumHelpers = reader.number("maximum_helpers", policy.maximumHelpers, 0, MostHelpers);
    readShare(reader, "slot_share", policy.slotShare);
    readShare(reader, "memory_share", policy.memoryShare);
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
    readTime(*reader, "wait_step", policy.waitStep);
    readShare(*reader, "longest_wait", policy.maximumWaitShare);
    readShare(*reader, "patience_factor", policy.patienceFactor);
    readTime(*reader, "least_patience", policy.leastPatience);
    readShare(*reader, "fair_share", policy.fairShare);
    readShare(*reader, "held_readers", policy.heldReaders);
    readShare(*reader, "worth_power", policy.worthPower);
    reader->finish();
    return errors.empty() ? std::optional(policy) : std::nullopt;
}

} // namespace pomeloentry

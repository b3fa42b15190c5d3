#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// How an operator's declarations get into the platform's store: a conditional update that carries a change token. A
/// lost answer is settled by reading back the token; of two conflicting edits one wins and the other learns of it.
namespace pomeloport
{

/// How an edit ended.
enum class ApplyResult {
    /// The edit is accepted: it was in the store at the version given.
    Applied,
    /// The store already holds these declarations.
    Unchanged,
    /// Somebody else changed the store; nothing was written.
    Conflict,
    /// The store did not accept the edit before the deadline; it will not take effect.
    NotApplied,
    /// A write was sent, its answer was lost, and the store could not be read since.
    Uncertain,
};

constexpr NameTable<ApplyResult, 5> nameTable(ApplyResult /*unused*/)
{
    return {{{ApplyResult::Applied, "applied"},
             {ApplyResult::Unchanged, "unchanged"},
             {ApplyResult::Conflict, "conflict"},
             {ApplyResult::NotApplied, "not_applied"},
             {ApplyResult::Uncertain, "uncertain"}}};
}

namespace configapply
{

/// Call the store at this time, and pass the reply to handle().
struct Call
{
    StoreCall call;
    Instant at{};
};

/// The edit ended.
struct Done
{
    ApplyResult result = ApplyResult::NotApplied;
    /// The version of the declarations in the store, where known.
    std::uint64_t version = 0;
    /// Conflict: the declarations that the store holds.
    std::string storedYaml;
};

} // namespace configapply

using ConfigApplyStep = std::variant<configapply::Call, configapply::Done>;

/// An edit as an operator makes it.
struct ConfigEdit
{
    std::string yaml;
    /// Names this edit; must be unique.
    std::string token;
    /// The version from which the edit was made; empty takes the version that the first read finds.
    std::optional<std::uint64_t> ifVersion;
};

/// Carries one edit out. Pure; begin() once, then handle() for each reply until Done.
class ConfigApply
{
public:
    /// Gives up at the deadline.
    ConfigApply(ConfigEdit edit, Instant deadline);

    ConfigApplyStep begin(Instant now);

    ConfigApplyStep handle(const StoreReply &reply, Instant now);

private:
    ConfigApplyStep readBack(Instant at);
    ConfigApplyStep write(Instant at);
    ConfigApplyStep afterRead(const StoreReply &reply, Instant now);
    ConfigApplyStep afterWrite(const StoreReply &reply, Instant now);
    ConfigApplyStep settle(const StoreObject &object, Instant now);
    ConfigApplyStep tryAgain(Instant now);

    ConfigEdit m_edit;
    Instant m_deadline;
    bool m_reading = true;
    bool m_baseKnown = false;
    /// A write was sent whose effect is not known.
    bool m_writeOpen = false;
    std::uint64_t m_baseVersion = 0;
    std::vector<std::string> m_earlier;
    std::uint64_t m_nextCall = 1;
    Duration m_retryDelay = std::chrono::milliseconds(100);
};

} // namespace pomeloport

#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Writes an operator's declarations to the platform's store with a conditional update that carries a change token. If
/// the reply to a write is lost, reading the token back shows whether the write took effect. Of two conflicting edits
/// one succeeds and the other is reported as a conflict.
namespace pomeloport
{

/// Outcome of an edit.
enum class ApplyResult {
    /// The store accepted the edit and held it at the reported version.
    Applied,
    /// The store already held these declarations.
    Unchanged,
    /// The store was changed by another edit; nothing was written.
    Conflict,
    /// The store did not accept the edit before the deadline; it will not take effect.
    NotApplied,
    /// A write was sent, its reply was lost, and the store could not be read before the deadline; the edit may or may
    /// not
    /// take effect.
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

/// Request to call the store at the given time; the reply is to be passed to ConfigApply::handle().
struct Call
{
    StoreCall call;
    Instant at{};
};

/// The edit has finished.
struct Done
{
    ApplyResult result = ApplyResult::NotApplied;
    /// Version of the declarations in the store, or 0 if unknown.
    std::uint64_t version = 0;
    /// After a conflict: the declarations that the store holds, in YAML.
    std::string storedYaml;
};

} // namespace configapply

using ConfigApplyStep = std::variant<configapply::Call, configapply::Done>;

/// An operator's edit of the declarations.
struct ConfigEdit
{
    std::string yaml;
    /// Change token; must be unique to this edit.
    std::string token;
    /// Version on which the edit is based; if empty, the version found by the first read.
    std::optional<std::uint64_t> ifVersion;
};

/// State machine for one edit. Performs no I/O: call begin() once, then handle() for each reply until Done.
class ConfigApply
{
public:
    /// No further call is scheduled at or after the deadline.
    ConfigApply(ConfigEdit edit, Instant deadline);

    /// Returns the first step.
    ConfigApplyStep begin(Instant now);

    /// Returns the step that follows the reply to the previous call.
    ConfigApplyStep handle(const StoreReply &reply, Instant now);

private:
    ConfigApplyStep readBack(Instant at);
    ConfigApplyStep write(Instant at);
    ConfigApplyStep afterRead(const StoreReply &reply, Instant now);
    ConfigApplyStep afterWrite(const StoreReply &reply, Instant now);
    ConfigApplyStep resolve(const StoreObject &object, Instant now);
    ConfigApplyStep retryLater(Instant now);

    ConfigEdit m_edit;
    Instant m_deadline;
    bool m_reading = true;
    /// Whether m_baseVersion has been determined.
    bool m_baseKnown = false;
    /// Whether a write was sent that may or may not have taken effect.
    bool m_writeUncertain = false;
    std::uint64_t m_baseVersion = 0;
    std::vector<std::string> m_earlierTokens;
    std::uint64_t m_nextCall = 1;
    Duration m_retryDelay = std::chrono::milliseconds(100);
};

} // namespace pomeloport

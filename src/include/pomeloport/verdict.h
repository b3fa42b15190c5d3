#pragma once

#include "pomeloport/nametable.h"

#include <chrono>
#include <optional>
#include <string>

/// Outcome of a request: whether it may have run, and why it failed.
namespace pomeloport
{

/// Whether a backend server may have executed a request. NotRun guarantees that a resend is safe.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

constexpr NameTable<Verdict, 3> nameTable(Verdict /*unused*/)
{
    return {{{Verdict::NotRun, "not_run"}, {Verdict::MayHaveRun, "may_have_run"}, {Verdict::Ran, "ran"}}};
}

/// Why a request failed. Callers see the names of this table in the field "reason".
enum class ReasonCode {
    BadRequest,
    Unauthorised,
    UnknownOrganisation,
    NoMatchingIntent,
    NoBackend,
    PromptTooLarge,
    DeadlinePassed,
    DeadlineUnreachable,
    Overloaded,
    ShareExceeded,
    MissingKey,
    KeyReused,
    KeyExpired,
    ActionInProgress,
    ActionUncertain,
    StoreUnavailable,
    BackendRefused,
    BackendFailed,
    StreamBroken,
    Cancelled,
    NotAdmitting,
    Stopping,
    GroupUnavailable,
    Internal,
    PromptQuarantined,
    Region,
};

constexpr NameTable<ReasonCode, 26> nameTable(ReasonCode /*unused*/)
{
    return {{{ReasonCode::BadRequest, "bad_request"},
             {ReasonCode::Unauthorised, "unauthorised"},
             {ReasonCode::UnknownOrganisation, "unknown_organisation"},
             {ReasonCode::NoMatchingIntent, "no_matching_intent"},
             {ReasonCode::NoBackend, "no_backend"},
             {ReasonCode::PromptTooLarge, "prompt_too_large"},
             {ReasonCode::DeadlinePassed, "deadline_passed"},
             {ReasonCode::DeadlineUnreachable, "deadline_unreachable"},
             {ReasonCode::Overloaded, "overloaded"},
             {ReasonCode::ShareExceeded, "share_exceeded"},
             {ReasonCode::MissingKey, "missing_key"},
             {ReasonCode::KeyReused, "key_reused"},
             {ReasonCode::KeyExpired, "key_expired"},
             {ReasonCode::ActionInProgress, "action_in_progress"},
             {ReasonCode::ActionUncertain, "action_uncertain"},
             {ReasonCode::StoreUnavailable, "store_unavailable"},
             {ReasonCode::BackendRefused, "backend_refused"},
             {ReasonCode::BackendFailed, "backend_failed"},
             {ReasonCode::StreamBroken, "stream_broken"},
             {ReasonCode::Cancelled, "cancelled"},
             {ReasonCode::NotAdmitting, "not_admitting"},
             {ReasonCode::Stopping, "stopping"},
             {ReasonCode::GroupUnavailable, "group_unavailable"},
             {ReasonCode::Internal, "internal"},
             {ReasonCode::PromptQuarantined, "prompt_quarantined"},
             {ReasonCode::Region, "region"}}};
}

/// The failure of a request as reported to its caller.
struct Failure
{
    Verdict verdict = Verdict::MayHaveRun;
    ReasonCode reason = ReasonCode::Internal;
    /// Human-readable explanation; never holds prompt text.
    std::string detail;
    /// Delay after which a resend may succeed; empty where waiting does not help.
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace pomeloport

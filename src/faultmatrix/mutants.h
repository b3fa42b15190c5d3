#pragma once

#include "pomeloport/nametable.h"

/// Mistakes built in on purpose, to prove that the checks can fail.
namespace faultmatrix
{

/// One mistake. The hosts of the run make it; the code under test is as it is.
enum class Mutant {
    None,
    SkipClaim,
    IgnoreClaimHolder,
    ForgetRelease,
    ForgetRecord,
    ResendBrokenAction,
    TellNotRunAlways,
    IgnoreStreamAddress,
    DeliverTwice,
    DropTimers,
    ForgetBlobs,
    SkipSweep,
    IgnoreIncarnation,
    SweepLiveOwners,
    IgnoreLeaving,
    CutOnStop,
    SkipLeaseCheck,
    ApplyLowerVersion,
    AdmitWhenCutOff,
};

constexpr pomeloport::NameTable<Mutant, 19> nameTable(Mutant /*unused*/)
{
    return {{{Mutant::None, "none"},
             {Mutant::SkipClaim, "skip_claim"},
             {Mutant::IgnoreClaimHolder, "ignore_claim_holder"},
             {Mutant::ForgetRelease, "forget_release"},
             {Mutant::ForgetRecord, "forget_record"},
             {Mutant::ResendBrokenAction, "resend_broken_action"},
             {Mutant::TellNotRunAlways, "tell_not_run_always"},
             {Mutant::IgnoreStreamAddress, "ignore_stream_address"},
             {Mutant::DeliverTwice, "deliver_twice"},
             {Mutant::DropTimers, "drop_timers"},
             {Mutant::ForgetBlobs, "forget_blobs"},
             {Mutant::SkipSweep, "skip_sweep"},
             {Mutant::IgnoreIncarnation, "ignore_incarnation"},
             {Mutant::SweepLiveOwners, "sweep_live_owners"},
             {Mutant::IgnoreLeaving, "ignore_leaving"},
             {Mutant::CutOnStop, "cut_on_stop"},
             {Mutant::SkipLeaseCheck, "skip_lease_check"},
             {Mutant::ApplyLowerVersion, "apply_lower_version"},
             {Mutant::AdmitWhenCutOff, "admit_when_cut_off"}}};
}

} // namespace faultmatrix

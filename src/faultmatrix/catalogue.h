#pragma once

#include "pomeloport/nametable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The data table of the fault matrix: faults, steps, kinds of work, and which combinations cannot exist.
namespace faultmatrix
{

/// What goes wrong. Each fault heals by itself after a while.
enum class Fault {
    BackendDies,
    BackendStalls,
    BackendRefuses,
    BackendLeaves,
    ResetBeforeSend,
    ResetAfterSend,
    ChunkLate,
    ChunkDuplicated,
    ChunkOutOfOrder,
    RouterDies,
    InstancePauses,
    ControllerDies,
    InstanceStops,
    StoreDown,
    StoreSlow,
    StoreAnswerLost,
    LeaseLapses,
    ConflictingEdits,
    StaleList,
    DatagramLoss,
    Partition,
};

constexpr pomeloport::NameTable<Fault, 21> nameTable(Fault /*unused*/)
{
    return {{{Fault::BackendDies, "backend_dies"},
             {Fault::BackendStalls, "backend_stalls"},
             {Fault::BackendRefuses, "backend_refuses"},
             {Fault::BackendLeaves, "backend_leaves"},
             {Fault::ResetBeforeSend, "reset_before_send"},
             {Fault::ResetAfterSend, "reset_after_send"},
             {Fault::ChunkLate, "chunk_late"},
             {Fault::ChunkDuplicated, "chunk_duplicated"},
             {Fault::ChunkOutOfOrder, "chunk_out_of_order"},
             {Fault::RouterDies, "router_dies"},
             {Fault::InstancePauses, "instance_pauses"},
             {Fault::ControllerDies, "controller_dies"},
             {Fault::InstanceStops, "instance_stops"},
             {Fault::StoreDown, "store_down"},
             {Fault::StoreSlow, "store_slow"},
             {Fault::StoreAnswerLost, "store_answer_lost"},
             {Fault::LeaseLapses, "lease_lapses"},
             {Fault::ConflictingEdits, "conflicting_edits"},
             {Fault::StaleList, "stale_list"},
             {Fault::DatagramLoss, "datagram_loss"},
             {Fault::Partition, "partition"}}};
}

/// When it goes wrong: the moment just before this step of the observed request or change.
enum class Step {
    Discover,
    Admit,
    Claim,
    Send,
    FirstToken,
    MidStream,
    End,
    Record,
    Cancel,
    Drain,
    Order,
    Apply,
};

constexpr pomeloport::NameTable<Step, 12> nameTable(Step /*unused*/)
{
    return {{{Step::Discover, "discover"},
             {Step::Admit, "admit"},
             {Step::Claim, "claim"},
             {Step::Send, "send"},
             {Step::FirstToken, "first_token"},
             {Step::MidStream, "mid_stream"},
             {Step::End, "end"},
             {Step::Record, "record"},
             {Step::Cancel, "cancel"},
             {Step::Drain, "drain"},
             {Step::Order, "order"},
             {Step::Apply, "apply"}}};
}

/// What the observed request is.
enum class Work {
    /// An idempotent answer of one engine.
    Answer,
    /// A non-idempotent call of a plain service.
    Action,
    /// A non-idempotent answer of one engine.
    EngineAction,
    /// A prompt larger than one engine.
    GroupPrompt,
};

constexpr pomeloport::NameTable<Work, 4> nameTable(Work /*unused*/)
{
    return {{{Work::Answer, "answer"},
             {Work::Action, "action"},
             {Work::EngineAction, "engine_action"},
             {Work::GroupPrompt, "group_prompt"}}};
}

/// The kinds of work that reach a step.
std::vector<Work> worksAt(Step step);

/// Why a fault cannot happen at a step, or nothing when it can.
std::optional<std::string_view> impossible(Fault fault, Step step);

/// Whether a request may fail for its caller because of the fault. Under all others every idempotent request has to be
/// answered, planned stops among them.
bool mayFailRequests(Fault fault);

} // namespace faultmatrix

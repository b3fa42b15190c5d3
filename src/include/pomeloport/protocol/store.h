#pragma once

#include "pomeloport/nametable.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// The platform's object API as typed calls and replies. Decision code emits calls and receives replies; the HTTP
/// client and the in-process stand-in both execute them.
namespace pomeloport
{

/// Operations of the platform's object API.
enum class StoreOperation {
    Get,
    Create,
    Update,
    Remove,
    List,
    Watch,
};

constexpr NameTable<StoreOperation, 6> nameTable(StoreOperation /*unused*/)
{
    return {{{StoreOperation::Get, "get"},
             {StoreOperation::Create, "create"},
             {StoreOperation::Update, "update"},
             {StoreOperation::Remove, "remove"},
             {StoreOperation::List, "list"},
             {StoreOperation::Watch, "watch"}}};
}

/// One call. Create fails with Conflict when the object exists; Update and Remove when ifVersion is not its version.
struct StoreCall
{
    /// Chosen by the sender, repeated in the reply.
    std::uint64_t id = 0;
    StoreOperation operation = StoreOperation::Get;
    std::string kind;
    /// Name of the object; for List a prefix of names; unused by Watch.
    std::string name;
    /// The expected version for Update and Remove; for Watch the version after which changes are wanted.
    std::uint64_t ifVersion = 0;
    /// The new value for Create and Update, at most one megabyte.
    std::string value;
    /// For List: continues behind this name; empty begins.
    std::string after;
    /// For List: whether the answer may be seconds old, which costs the store less.
    bool mayBeStale = false;
    /// For Watch: how long to wait for a change; zero takes the client's own time.
    std::chrono::milliseconds wait{};
};

/// One object as stored. Versions come from one counter of the whole store and only rise.
struct StoreObject
{
    std::string kind;
    std::string name;
    std::string value;
    std::uint64_t version = 0;
    /// True in a Watch reply for an object that was removed.
    bool removed = false;
};

/// How a call ended. Unavailable leaves open whether a write took effect; Rejected says that it did not. HistoryGone
/// answers a Watch that asks for changes which the store has forgotten.
enum class StoreStatus {
    Ok,
    NotFound,
    Conflict,
    Rejected,
    Unavailable,
    HistoryGone,
};

constexpr NameTable<StoreStatus, 6> nameTable(StoreStatus /*unused*/)
{
    return {{{StoreStatus::Ok, "ok"},
             {StoreStatus::NotFound, "not_found"},
             {StoreStatus::Conflict, "conflict"},
             {StoreStatus::Rejected, "rejected"},
             {StoreStatus::Unavailable, "unavailable"},
             {StoreStatus::HistoryGone, "history_gone"}}};
}

/// The reply to a call. A Watch that times out without a change is Ok with no objects.
struct StoreReply
{
    std::uint64_t id = 0;
    StoreStatus status = StoreStatus::Unavailable;
    /// The object read or written (with its new version), the objects listed, or the changes watched. On Conflict
    /// the object as it stands, where there is one.
    std::vector<StoreObject> objects;
    /// The version of the store when it answered.
    std::uint64_t storeVersion = 0;
    /// Whether a List goes on behind its last object.
    bool more = false;
};

} // namespace pomeloport

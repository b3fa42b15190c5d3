#pragma once

#include "pomeloport/nametable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The platform's object API as typed calls and replies. Decision code emits calls and receives replies; both the HTTP
/// client and the in-process fake execute them.
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
    /// The expected version for Update and Remove; for Watch the version after which changes are reported.
    std::uint64_t ifVersion = 0;
    /// The new value for Create and Update, at most one megabyte.
    std::string value;
    /// For List: return only names after this one; empty starts at the first.
    std::string after;
    /// For List: whether the answer may be some seconds stale, which reduces the load on the store.
    bool mayBeStale = false;
    /// For Watch: maximum time to wait for a change; zero selects the client's default.
    std::chrono::milliseconds wait{};
    /// Whether the call needs a new connection, since those that are open may have gone silent.
    bool newConnection = false;
};

/// One stored object. Versions come from one counter for the whole store and only increase, unless the store
/// comes back from an older copy.
struct StoreObject
{
    std::string kind;
    std::string name;
    std::string value;
    std::uint64_t version = 0;
    /// True in a Watch reply for an object that was removed.
    bool removed = false;
};

/// Result of a call. After Unavailable a write may or may not have taken effect; after Rejected it has not. HistoryGone
/// answers a Watch for changes that the store no longer retains.
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
    /// the current object, if it exists.
    std::vector<StoreObject> objects;
    /// The version of the store when it answered.
    std::uint64_t storeVersion = 0;
    /// Whether a List has further objects after the last one returned.
    bool more = false;
    /// Rises each time the store has come back from an older copy, after which it gives versions out again; nothing if
    /// the reply names none.
    std::optional<std::uint64_t> era;
};

} // namespace pomeloport

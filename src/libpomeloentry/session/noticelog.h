#pragma once

#include "program/entrycore.h"

#include "pomeloentry/wire.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pomeloentry
{

/// Records what an answer says of the backend server that gave it, and logs what that changes and what is wrong. The
/// call is the id of a request or reservation.
void recordNotice(EntryCore &core,
                  const std::string &backend,
                  std::uint32_t backendKey,
                  const wire::BackendNotice &notice,
                  std::string_view call);

/// The same for notices that another instance has told.
void recordPeerNotices(EntryCore &core, const std::string &peer, const std::vector<NoticeMessage> &notices);

/// Logs changes of the pace of backend servers since the last call.
void logServerPace(EntryCore &core);

/// Logs that a backend server has returned from a pause.
void logServerReturned(const std::string &backend, std::string_view call);

} // namespace pomeloentry

#pragma once

#include "pomeloentry/entrysettings.h"
#include "pomeloentry/routing.h"

#include "pomeloport/protocol/store.h"
#include "pomeloport/transport/httpclient.h"
#include "pomeloport/transport/httpmessage.h"
#include "pomeloport/transport/httpserver.h"
#include "pomeloport/transport/platformclient.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The port towards the users' platform: what its messages hold, in this project's words. The folder platform/
/// implements it; it names, formats and decodes, and decides nothing.
namespace pomeloentry::wire
{

/// What a caller's request says of itself, beside method, target and body.
struct CallerRequest
{
    /// Identity of this one attempt of the caller; a resend has another one.
    std::string attemptId;
    /// Host without port, in lower case.
    std::string host;
    std::string path;
    /// The caller's key; empty when it sent none.
    std::string key;
    /// How long the caller waits from now.
    std::optional<std::chrono::milliseconds> timeLimit;
    std::uint64_t promptTokens = 0;
    /// Most tokens of the answer, and the caller's estimate of them.
    std::uint64_t maximumAnswerTokens = 0;
    std::optional<std::uint64_t> expectedAnswerTokens;
    /// The last event that the caller has already.
    std::optional<std::uint64_t> lastEvent;
};

/// Reads a caller's request. Returns nothing, with a last reason, when a field is malformed.
std::optional<CallerRequest> decodeRequest(const pomeloport::HttpRequest &request);

/// A part of a prompt that another engine reads.
struct HelperEngine
{
    /// "IP:port".
    std::string address;
    /// Names memory that is set aside there; may be empty.
    std::string ticket;
};

/// What this system adds to a caller's request when it sends it on.
struct BackendCall
{
    /// The identity that the backend server must have, or refuse.
    std::string expectedId;
    std::string organisation;
    /// 0 is the most urgent; at most 9.
    std::uint32_t priority = 0;
    std::chrono::milliseconds timeLeft{};
    std::optional<std::uint64_t> lastEvent;
    std::vector<HelperEngine> helpers;
};

/// The fields of a call to a backend server: the caller's, without those of its connection and those that only this
/// system sets.
pomeloport::HttpFields encodeCall(const pomeloport::HttpFields &callerFields, const BackendCall &call);

/// What the head of a backend server's answer says.
struct BackendAnswer
{
    /// The call did not run and never will.
    bool notRun = false;
    /// Another backend server has the address.
    bool identityMismatch = false;
    /// The attempt that the answer belongs to; empty when it doesn't say.
    std::string attemptId;
    /// Whether the server vouches for the answer.
    bool sealed = false;
    /// Whether the body is a series of events.
    bool isEventStream = false;
    /// Whether the body was changed on the way.
    bool contentEncoded = false;
    /// Address of the server at fault, where the answer names one.
    std::string serverAtFault;
};

BackendAnswer decodeAnswer(const pomeloport::HttpAnswerHead &head);

/// Head of a failure of this system's own.
pomeloport::HttpAnswerHead encodeFailure(unsigned status,
                                         const std::string &attemptId,
                                         std::optional<std::chrono::milliseconds> retryAfter);

/// Order to an engine to set memory aside, or to free it. Asks for nothing to wait.
struct ReservationOrder
{
    std::string address;
    std::string ticket;
    /// Zero frees the ticket.
    std::uint64_t tokens = 0;
    std::chrono::milliseconds holdTime{};
};

pomeloport::HttpCall encodeReservation(const ReservationOrder &order);

/// Paths and answers of the interface for callers that look for an address, and for the platform's own checks.
bool isDiscovery(const pomeloport::HttpRequest &request);
/// The failure domain of a caller that looks for an address; empty when it does not say.
std::string callerDomain(const pomeloport::HttpRequest &request);
bool isReadiness(const pomeloport::HttpRequest &request);
std::string encodeAddresses(const std::vector<std::string> &addresses, std::chrono::seconds lifetime);

/// Documents of the platform's store.
enum class DocumentKind {
    /// All that operators configure; one document.
    Routing,
    /// Backend servers, one document each.
    Backends,
    /// Entry instances of this system, one document each; written by themselves.
    Entries,
};

constexpr pomeloport::NameTable<DocumentKind, 3> nameTable(DocumentKind /*unused*/)
{
    return {
        {{DocumentKind::Routing, "routing"}, {DocumentKind::Backends, "backends"}, {DocumentKind::Entries, "entries"}}};
}

/// The store's name of a kind, and the name of the routing document.
std::string_view kindName(DocumentKind kind);
std::string_view routingName();

/// Reads the routing document. Returns null, with a last reason, when it cannot be used.
std::shared_ptr<const RoutingTable> decodeRouting(std::string_view document);

/// Reads one backend server. Returns nothing, with a last reason, for an entry that names none.
std::optional<BackendEntry> decodeBackend(const std::string &name, std::string_view document);

/// The form of the store's calls.
pomeloport::StoreCodec storeCodec();

/// The environment variable that holds the path of the settings file.
const char *settingsVariable();

/// Reads the settings file that the platform places. Errors are collected.
std::optional<EntrySettings> loadSettings(const std::string &fileName, pomeloport::SettingsErrors &errors);

} // namespace pomeloentry::wire

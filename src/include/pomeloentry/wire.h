#pragma once

#include "pomeloentry/decisions/gateways.h"
#include "pomeloentry/decisions/promptquarantine.h"
#include "pomeloentry/decisions/servernotices.h"
#include "pomeloentry/knowledge/routing.h"
#include "pomeloentry/program/entrysettings.h"

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

/// Abstraction of the users' platform: the contents of its messages, independent of their format. The folder platform/
/// implements these functions; it encodes and decodes and makes no decisions.
namespace pomeloentry::wire
{

constexpr std::size_t MaximumSharedParts = 32;

/// Metadata of a caller's request, beside method, target and body.
struct CallerRequest
{
    /// Identity of this attempt of the caller; a resend has a new one.
    std::string attemptId;
    /// Host without port, in lower case.
    std::string host;
    std::string path;
    /// API key of the caller; empty when it sent none.
    std::string key;
    /// Time from now until the caller's deadline.
    std::optional<std::chrono::milliseconds> timeLimit;
    std::uint64_t promptTokens = 0;
    /// Parts of the prompt that other requests may share, each once and MaximumSharedParts at most: the last ones,
    /// since the first are shared the most widely.
    std::vector<PromptPart> sharedParts;
    /// Limit on the tokens of the answer, and the caller's estimate of their number.
    std::uint64_t maximumAnswerTokens = 0;
    std::optional<std::uint64_t> expectedAnswerTokens;
    /// Id of the last event that the caller received, when it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
};

/// Decodes a caller's request. Returns nothing and sets the last reason when a field is malformed.
std::optional<CallerRequest> decodeRequest(const pomeloport::HttpRequest &request);

/// An engine that processes a part of a long prompt.
struct HelperEngine
{
    /// "IP:port".
    std::string address;
    /// Name of the memory reservation at that engine; empty when there is none.
    std::string ticket;
};

/// Metadata added to a caller's request when it is relayed.
struct BackendCall
{
    /// Identity of the intended backend server; a server with another one refuses the call.
    std::string expectedId;
    std::string organisation;
    /// From 0, the most urgent, to 9.
    std::uint32_t priority = 0;
    std::chrono::milliseconds timeLeft{};
    std::optional<std::uint64_t> lastEvent;
    std::vector<HelperEngine> helpers;
};

/// Returns the header fields of a call to a backend server: those of the caller, without hop-by-hop fields, and those
/// of the call. Fields that only this system may set are dropped from the caller's.
pomeloport::HttpFields encodeCall(const pomeloport::HttpFields &callerFields, const BackendCall &call);

/// What an answer of a backend server says of the server.
struct BackendNotice
{
    ServerNotice notice;
    /// Name and value of a field that cannot be read, shortened, which is ignored; empty if there is none.
    std::string wrongField;
};

/// Reads the notices of an answer. A pause counts only in an answer that turns a request away. Of several readable
/// fields the most cautious one counts.
BackendNotice decodeNotice(unsigned status, const pomeloport::HttpFields &fields);

/// Decoded head of a backend server's answer.
struct BackendAnswer
{
    /// The call did not run and will not run later.
    bool notRun = false;
    /// The address now belongs to another backend server.
    bool identityMismatch = false;
    /// The attempt that the answer belongs to; empty when the answer does not name one.
    std::string attemptId;
    /// Whether the answer carries the backend server's seal, by which it vouches for the answer.
    bool sealed = false;
    /// Whether the body is a stream of server-sent events.
    bool isEventStream = false;
    /// Whether the body has a content encoding, because it was changed on the way.
    bool contentEncoded = false;
    /// Address of the server that caused the failure, such as a helper engine, if the answer names one.
    std::string serverAtFault;
    /// The answer has a status that promises callers that their request has not run, but does not say so itself.
    bool falsePromise = false;
    BackendNotice notice;
};

BackendAnswer decodeAnswer(const pomeloport::HttpResponseHead &head);

/// Returns the head of a failure answer that this system generates itself.
pomeloport::HttpResponseHead encodeFailure(unsigned status,
                                           const std::string &attemptId,
                                           std::optional<std::chrono::milliseconds> retryAfter);

/// Order to an engine to reserve memory, renew a reservation or free it. The engine answers without waiting for memory.
struct ReservationOrder
{
    std::string address;
    std::string ticket;
    /// Tokens of memory; zero frees the reservation.
    std::uint64_t tokens = 0;
    std::chrono::milliseconds holdTime{};
};

pomeloport::HttpCall encodeReservation(const ReservationOrder &order);

/// Returns a call for the report of an engine.
pomeloport::HttpCall encodeReportCall(const std::string &address);

/// Returns the names of the reservations that a request uses, from an engine's report. Returns nothing and sets the
/// last reason when the report cannot be read.
std::optional<std::vector<std::string>> decodeUsedReservations(std::string_view report);

/// Requests and answers of service discovery and of the platform's readiness check.
bool isDiscovery(const pomeloport::HttpRequest &request);
/// Failure domain and region that a discovery request names; each is empty when it names none.
CallerLocation callerLocation(const pomeloport::HttpRequest &request);
bool isReadiness(const pomeloport::HttpRequest &request);
std::string encodeAddresses(const std::vector<std::string> &addresses, std::chrono::seconds lifetime);

/// Kinds of documents in the platform's store.
enum class DocumentKind {
    /// The operators' configuration, a single document.
    Routing,
    /// One document for each backend server.
    Backends,
    /// One document for each failure domain whose backend servers get nothing any more, written by the operators. Its
    /// name is the failure domain; what it holds has no meaning.
    Evacuations,
    /// One document for each entry instance, written by the instance itself.
    Entries,
};

constexpr pomeloport::NameTable<DocumentKind, 4> nameTable(DocumentKind /*unused*/)
{
    return {{{DocumentKind::Routing, "routing"},
             {DocumentKind::Backends, "backends"},
             {DocumentKind::Evacuations, "evacuations"},
             {DocumentKind::Entries, "entries"}}};
}

/// Names in the store: of a document kind, and of the routing document.
std::string_view kindName(DocumentKind kind);
std::string_view routingName();

/// Decodes the routing document. Returns null and sets the last reason when it is invalid.
std::shared_ptr<const RoutingTable> decodeRouting(std::string_view document);

/// Decodes a backend server's document. Returns nothing and sets the last reason when it is invalid.
std::optional<BackendEntry> decodeBackend(const std::string &name, std::string_view document);

/// Encoding of calls to the store.
pomeloport::StoreCodec storeCodec();

/// Name of the environment variable with the path of the settings file.
const char *settingsVariable();

/// Loads the settings file that the platform provides. Returns nothing when errors were collected.
std::optional<EntrySettings> loadSettings(const std::string &fileName, pomeloport::SettingsErrors &errors);

} // namespace pomeloentry::wire

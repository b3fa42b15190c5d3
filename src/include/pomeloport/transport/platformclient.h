#pragma once

#include "pomeloport/nametable.h"
#include "pomeloport/protocol/store.h"
#include "pomeloport/transport/httpclient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Calls of the platform's object API, instance list and weight store over HTTP.
namespace pomeloport
{

/// What an entry of the platform's instance list is.
enum class PlatformRole {
    Entry,
    Engine,
    Service,
};

constexpr NameTable<PlatformRole, 3> nameTable(PlatformRole /*unused*/)
{
    return {{{PlatformRole::Entry, "entry"}, {PlatformRole::Engine, "engine"}, {PlatformRole::Service, "service"}}};
}

/// One entry of the platform's list, which lags behind what happens.
struct PlatformInstance
{
    std::string name;
    /// "IP:port"; for entry instances the controller's datagram address.
    std::string address;
    PlatformRole role = PlatformRole::Entry;
    bool leaving = false;
};

/// The HTTP form of the object API's calls.
struct StoreCodec
{
    std::function<HttpCall(const StoreCall &call)> request;
    /// Understands the answer to a call; "sent" as in HttpCallback.
    std::function<StoreReply(const StoreCall &call, const std::optional<HttpReply> &reply, bool sent)> reply;
};

/// Sends calls to the platform. Safe from any thread; callbacks run on threads of the context, once each.
class PlatformClient
{
public:
    /// Time that a watch waits for a change.
    static constexpr std::chrono::milliseconds WatchTime{20'000};

    /// Talks to the platform at "IP:port"; calls other than watches fail as Unavailable after the timeout.
    PlatformClient(boost::asio::io_context &context, std::string address, std::chrono::milliseconds timeout);

    /// The same for a platform whose object API has another form.
    PlatformClient(boost::asio::io_context &context,
                   std::string address,
                   std::chrono::milliseconds timeout,
                   StoreCodec codec);

    /// Executes a call of the object API. A write that certainly never left is Rejected; one whose answer is missing
    /// is Unavailable.
    void call(const StoreCall &call, std::function<void(StoreReply)> callback);

    /// Fetches the list of instances; nothing when the platform does not answer properly.
    void instances(std::function<void(std::optional<std::vector<PlatformInstance>>)> callback);

    /// Asks the weight store for permission to load an item; false when over its rate or unavailable.
    void loadWeights(const std::string &item, std::function<void(bool)> callback);

private:
    std::string m_address;
    std::chrono::milliseconds m_timeout;
    StoreCodec m_codec;
    std::shared_ptr<HttpClient> m_client;
};

/// The HTTP form of a call.
HttpCall platformRequest(const StoreCall &call);

/// Understands the answer to a call; "sent" as in HttpCallback.
StoreReply platformReply(const StoreCall &call, const std::optional<HttpReply> &reply, bool sent);

/// Parses the platform's list of instances. Returns nothing, with a last reason, for malformed text.
std::optional<std::vector<PlatformInstance>> decodePlatformInstances(std::string_view json);

} // namespace pomeloport

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

/// HTTP client of the platform's object API, instance list and weight store.
namespace pomeloport
{

/// Role of an entry in the platform's instance list.
enum class PlatformRole {
    Entry,
    Engine,
    Service,
};

constexpr NameTable<PlatformRole, 3> nameTable(PlatformRole /*unused*/)
{
    return {{{PlatformRole::Entry, "entry"}, {PlatformRole::Engine, "engine"}, {PlatformRole::Service, "service"}}};
}

/// One entry of the platform's instance list. The list may be stale.
struct PlatformInstance
{
    std::string name;
    /// "IP:port"; for entry instances, the datagram address of the controller.
    std::string address;
    PlatformRole role = PlatformRole::Entry;
    bool leaving = false;
};

/// Encodes calls of the object API as HTTP requests and decodes their replies.
struct StoreCodec
{
    std::function<HttpCall(const StoreCall &call)> request;
    /// Decodes the reply to a call; `sent` as in HttpCallback.
    std::function<StoreReply(const StoreCall &call, const std::optional<HttpReply> &reply, bool sent)> reply;
};

/// Sends calls to the platform. Thread-safe; each callback runs once, on a thread of the io_context.
class PlatformClient
{
public:
    /// How long the platform holds a watch open if nothing changes.
    static constexpr std::chrono::milliseconds WatchTime{20'000};

    /// Connects to the platform at "IP:port". Calls other than watches fail as Unavailable after the timeout.
    PlatformClient(boost::asio::io_context &context, std::string address, std::chrono::milliseconds timeout);

    /// Uses a codec for a platform whose object API has a different HTTP form.
    PlatformClient(boost::asio::io_context &context,
                   std::string address,
                   std::chrono::milliseconds timeout,
                   StoreCodec codec);

    /// Executes a call of the object API. A write that was not sent yields Rejected; a write that may have been sent
    /// but got no reply yields Unavailable.
    void call(const StoreCall &call, std::function<void(StoreReply)> callback);

    /// Fetches the instance list. Yields nothing if the platform does not return a valid list.
    void instances(std::function<void(std::optional<std::vector<PlatformInstance>>)> callback);

    /// Requests permission from the weight store to load an item. Yields false if its rate limit is exceeded or it is
    /// unavailable.
    void loadWeights(const std::string &item, std::function<void(bool)> callback);

private:
    std::string m_address;
    std::chrono::milliseconds m_timeout;
    StoreCodec m_codec;
    std::shared_ptr<HttpClient> m_client;
};

/// Encodes a call in the platform's default HTTP form.
HttpCall encodeStoreCall(const StoreCall &call);

/// Decodes the reply to a call; `sent` as in HttpCallback.
StoreReply decodeStoreReply(const StoreCall &call, const std::optional<HttpReply> &reply, bool sent);

/// Parses the instance list and skips entries that it cannot interpret. Returns nothing and sets the last reason if the
/// text is malformed.
std::optional<std::vector<PlatformInstance>> decodePlatformInstances(std::string_view json);

} // namespace pomeloport

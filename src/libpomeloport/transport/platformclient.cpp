#include "pomeloport/transport/platformclient.h"

#include "../protocol/jsonfields.h"

#include "pomeloport/logging.h"
#include "pomeloport/transport/httpmessage.h"

namespace pomeloport
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooManyRequests = 429;
/// Maximum size of a list. Few calls are in progress at a time, so their replies are not counted.
constexpr std::size_t MaximumListBytes = 32 * 1024 * 1024;
/// Added to the watch time to give the timeout of the HTTP call.
constexpr std::chrono::milliseconds WatchGracePeriod{5'000};

std::string objectTarget(const StoreCall &call)
{
    return "/v1/objects/" + percentEncoded(call.kind) + '/' + percentEncoded(call.name);
}

std::string versionQuery(const StoreCall &call)
{
    const auto version = call.operation == StoreOperation::Create ? 0 : call.ifVersion;
    return "?if_version=" + std::to_string(version);
}

bool isWrite(StoreOperation operation)
{
    return operation == StoreOperation::Create || operation == StoreOperation::Update
        || operation == StoreOperation::Remove;
}

StoreObject readObject(detail::JsonReader &reader, const StoreCall &call)
{
    StoreObject object;
    object.kind = call.kind;
    object.name = reader.text("name");
    object.value = reader.text("value");
    object.version = reader.number("version", true);
    object.removed = reader.boolean("removed");
    return object;
}

/// Decodes the body of a reply with status 200. Returns false if it is malformed.
bool decodeSuccess(const StoreCall &call, const std::string &body, StoreReply &result)
{
    if (call.operation == StoreOperation::Remove && body.empty()) {
        return true;
    }
    detail::JsonReader reader(body);
    result.storeVersion = reader.number("version", call.operation != StoreOperation::Remove);
    switch (call.operation) {
    case StoreOperation::Get:
        result.objects.push_back(readObject(reader, call));
        break;
    case StoreOperation::Create:
    case StoreOperation::Update:
        result.objects.push_back({call.kind, call.name, call.value, result.storeVersion, false});
        break;
    case StoreOperation::Remove:
        break;
    case StoreOperation::List:
    case StoreOperation::Watch:
        for (const auto &entry : reader.array("objects")) {
            detail::JsonReader fields(entry);
            result.objects.push_back(readObject(fields, call));
            if (!fields.ok()) {
                return false;
            }
        }
        break;
    }
    return reader.ok();
}

/// Decodes the stored object if the body of a conflict reply contains it.
void decodeConflict(const StoreCall &call, const std::string &body, StoreReply &result)
{
    detail::JsonReader reader(body);
    auto object = readObject(reader, call);
    if (reader.ok() && object.version != 0) {
        object.name = call.name;
        result.storeVersion = object.version;
        result.objects.push_back(std::move(object));
    }
}

} // namespace

HttpCall encodeStoreCall(const StoreCall &call)
{
    HttpCall request;
    request.method = "GET";
    switch (call.operation) {
    case StoreOperation::Get:
        request.target = objectTarget(call);
        break;
    case StoreOperation::Create:
    case StoreOperation::Update:
        request.method = "PUT";
        request.target = objectTarget(call) + versionQuery(call);
        request.body = call.value;
        break;
    case StoreOperation::Remove:
        request.method = "DELETE";
        request.target = objectTarget(call) + versionQuery(call);
        break;
    case StoreOperation::List:
        request.target = "/v1/objects/" + percentEncoded(call.kind) + "?prefix=" + percentEncoded(call.name);
        break;
    case StoreOperation::Watch:
        request.target = "/v1/watch/" + percentEncoded(call.kind) + "?after=" + std::to_string(call.ifVersion)
            + "&timeout_ms=" + std::to_string(PlatformClient::WatchTime.count());
        break;
    }
    return request;
}

StoreReply decodeStoreReply(const StoreCall &call, const std::optional<HttpReply> &reply, bool sent)
{
    StoreReply result;
    result.id = call.id;
    if (!reply) {
        result.status = !sent && isWrite(call.operation) ? StoreStatus::Rejected : StoreStatus::Unavailable;
        return result;
    }
    switch (reply->status) {
    case StatusOk:
        result.status = decodeSuccess(call, reply->body, result) ? StoreStatus::Ok : StoreStatus::Unavailable;
        if (result.status != StoreStatus::Ok) {
            result.objects.clear();
        }
        break;
    case StatusNotFound:
        result.status = StoreStatus::NotFound;
        break;
    case StatusConflict:
        result.status = StoreStatus::Conflict;
        decodeConflict(call, reply->body, result);
        break;
    case StatusBadRequest:
        logEvent(LogLevel::Error, "store_bad_request", {{"operation", nameOf(call.operation)}, {"kind", call.kind}});
        result.status = StoreStatus::Rejected;
        break;
    case StatusTooManyRequests:
        result.status = StoreStatus::Rejected;
        break;
    default:
        result.status = StoreStatus::Unavailable;
    }
    return result;
}

std::optional<std::vector<PlatformInstance>> decodePlatformInstances(std::string_view json)
{
    detail::JsonReader reader(json);
    std::vector<PlatformInstance> result;
    for (const auto &entry : reader.array("instances")) {
        detail::JsonReader fields(entry);
        PlatformInstance instance;
        instance.name = fields.text("name", true);
        instance.address = fields.text("address", true);
        instance.leaving = fields.text("state") == "leaving";
        const auto role = valueOf<PlatformRole>(fields.text("kind", true));
        if (!fields.ok() || !role) {
            continue;
        }
        instance.role = *role;
        result.push_back(std::move(instance));
    }
    return reader.ok() ? std::optional(std::move(result)) : std::nullopt;
}

PlatformClient::PlatformClient(boost::asio::io_context &context, std::string address, std::chrono::milliseconds timeout)
    : PlatformClient(context, std::move(address), timeout, {encodeStoreCall, decodeStoreReply})
{
}

PlatformClient::PlatformClient(boost::asio::io_context &context,
                               std::string address,
                               std::chrono::milliseconds timeout,
                               StoreCodec codec)
    : m_address(std::move(address))
    , m_timeout(timeout)
    , m_codec(std::move(codec))
    , m_client(std::make_shared<HttpClient>(context))
{
}

void PlatformClient::call(const StoreCall &call, std::function<void(StoreReply)> callback)
{
    auto request = m_codec.request(call);
    request.address = m_address;
    request.timeout = m_timeout;
    request.maximumReplyBytes = MaximumListBytes;
    request.newConnection = call.newConnection;
    if (call.operation == StoreOperation::Watch) {
        request.timeout = call.wait.count() > 0 ? call.wait + m_timeout : WatchTime + WatchGracePeriod;
    }
    m_client->send(std::move(request), [call, codec = m_codec, callback = std::move(callback)](auto reply, bool sent) {
        callback(codec.reply(call, reply, sent));
    });
}

void PlatformClient::instances(std::function<void(std::optional<std::vector<PlatformInstance>>)> callback)
{
    HttpCall request{m_address, "GET", "/v1/instances", {}, {}, m_timeout, MaximumListBytes};
    m_client->send(std::move(request), [callback = std::move(callback)](auto reply, bool) {
        const bool usable = reply && reply->status == StatusOk;
        callback(usable ? decodePlatformInstances(reply->body) : std::nullopt);
    });
}

void PlatformClient::loadWeights(const std::string &item, std::function<void(bool)> callback)
{
    HttpCall request{m_address, "POST", "/v1/weights/" + percentEncoded(item), {}, {}, m_timeout};
    m_client->send(std::move(request), [callback = std::move(callback)](auto reply, bool) {
        callback(reply && reply->status == StatusOk);
    });
}

} // namespace pomeloport

#include "storeclient.h"

#include "pomeloport/coordination/configpatch.h"
#include "pomeloport/lastreason.h"
#include "pomeloport/transport/platformclient.h"

#include <boost/asio/io_context.hpp>

#include <thread>
#include <utility>

namespace pomeloctl
{

namespace
{

/// Time limit of an edit, as a multiple of the timeout of one call.
constexpr int RunTimeoutFactor = 10;

pomeloport::Instant now()
{
    return std::chrono::time_point_cast<pomeloport::Duration>(std::chrono::steady_clock::now());
}

} // namespace

StoreClient::StoreClient(Connection connection)
    : m_connection(std::move(connection))
{
}

pomeloport::StoreReply StoreClient::call(const pomeloport::StoreCall &call)
{
    boost::asio::io_context context;
    pomeloport::PlatformClient client(context, m_connection.platform, m_connection.timeout);
    pomeloport::StoreReply result;
    client.call(call, [&result, &context](pomeloport::StoreReply reply) {
        result = std::move(reply);
        context.stop();
    });
    context.run();
    return result;
}

pomeloport::configapply::Done StoreClient::run(pomeloport::ConfigEdit edit)
{
    pomeloport::ConfigApply apply(std::move(edit), now() + RunTimeoutFactor * m_connection.timeout);
    auto step = apply.begin(now());
    while (const auto *next = std::get_if<pomeloport::configapply::Call>(&step)) {
        std::this_thread::sleep_until(next->at);
        const auto reply = call(next->call);
        step = apply.handle(reply, now());
    }
    return std::get<pomeloport::configapply::Done>(step);
}

std::optional<std::string> StoreClient::declarations()
{
    const auto reply = call({.id = 1,
                             .operation = pomeloport::StoreOperation::Get,
                             .kind = std::string(pomeloport::ConfigKind),
                             .name = std::string(pomeloport::ConfigName)});
    if (reply.status != pomeloport::StoreStatus::Ok || reply.objects.empty()) {
        pomeloport::setLastReason("the store returned no declarations: " + std::string(nameOf(reply.status)));
        return std::nullopt;
    }
    auto object = pomeloport::decodeConfigObject(reply.objects.front().value);
    if (!object) {
        return std::nullopt;
    }
    return std::move(object->yaml);
}

} // namespace pomeloctl

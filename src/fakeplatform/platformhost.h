#pragma once

#include "pomelofake/httpreplies.h"
#include "pomelofake/platformmodel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string_view>

/// The HTTP interface of the stand-in platform.
namespace fakeplatform
{

/// Serves one platform model over HTTP on the clock of the process. Runs on a context with one thread.
class PlatformHost
{
public:
    PlatformHost(boost::asio::io_context &context, pomelofake::PlatformModelSettings settings);

    /// Answers one request.
    void handle(const pomelofake::ExchangePointer &exchange);

private:
    void callStore(const pomelofake::ExchangePointer &exchange, std::string_view rest);
    void watch(const pomelofake::ExchangePointer &exchange, std::string_view kind);
    void submit(const pomelofake::ExchangePointer &exchange,
                const pomeloport::StoreCall &call,
                pomeloport::Duration wait = {});
    void listInstances(const pomelofake::ExchangePointer &exchange);
    void registerInstance(const pomelofake::ExchangePointer &exchange);
    void setFaults(const pomelofake::ExchangePointer &exchange);
    void pump();
    void arm();

    struct Waiting
    {
        pomelofake::ExchangePointer exchange;
        pomeloport::StoreOperation operation = pomeloport::StoreOperation::Get;
    };

    pomelofake::PlatformModel m_model;
    std::map<std::uint64_t, Waiting> m_waiting;
    boost::asio::steady_timer m_timer;
};

} // namespace fakeplatform

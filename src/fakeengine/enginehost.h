#pragma once

#include "pomelofake/enginemodel.h"
#include "pomelofake/httpreplies.h"
#include "pomeloport/transport/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

/// The HTTP interface of the stand-in engine.
namespace fakeengine
{

/// Faults that the host adds to the model's outputs and reports.
struct HostFaults
{
    /// Share of chunks, 0 to 1, that are sent twice.
    double duplicateChunks = 0;
    /// Share of chunks that are sent after their successor.
    double swapChunks = 0;
    /// Share of chunks at which the connection is cut.
    double cutStreams = 0;
    /// Share of cache events that are never published.
    double loseEvents = 0;
    /// Age of load reports and cache events as published.
    std::chrono::milliseconds lag{300};
    /// Whether a stream whose reader has gone is cancelled; otherwise it runs to its end.
    bool cancelOnDisconnect = false;
};

/// Serves one engine model over HTTP on the clock of the process. Runs on a context with one thread.
class EngineHost
{
public:
    /// With a platform's address, weights are asked for at its weight store before they are loaded.
    EngineHost(boost::asio::io_context &context,
               pomelofake::EngineModelSettings settings,
               HostFaults faults,
               std::string platform);

    /// Answers one request.
    void handle(const pomelofake::ExchangePointer &exchange);

private:
    struct OpenStream
    {
        pomelofake::ExchangePointer exchange;
        /// A line held back until its successor is sent.
        std::string heldBack;
    };

    struct Published
    {
        pomeloport::Instant at{};
        std::string load;
        std::uint64_t lastEvent = 0;
    };

    void generate(const pomelofake::ExchangePointer &exchange);
    void cancel(const pomelofake::ExchangePointer &exchange);
    void freeBlob(const pomelofake::ExchangePointer &exchange);
    void takeOrder(const pomelofake::ExchangePointer &exchange);
    void publishEvents(const pomelofake::ExchangePointer &exchange);
    void setFaults(const pomelofake::ExchangePointer &exchange);
    void readerGone(const pomeloport::StreamAddress &address);
    void pump();
    void arm();
    void send(const pomelofake::ChunkOut &chunk);
    void send(const pomelofake::EndOut &end);
    void sample();
    void askForWeights();
    const Published &published() const;
    bool happens(double share);

    pomelofake::EngineModel m_model;
    HostFaults m_faults;
    std::map<pomeloport::StreamAddress, OpenStream> m_streams;
    std::deque<Published> m_published;
    std::map<std::string, std::uint64_t> m_counts;
    boost::asio::steady_timer m_stepTimer;
    boost::asio::steady_timer m_sampleTimer;
    pomeloport::HttpClient m_client;
    std::string m_platform;
    bool m_askingForWeights = false;
    std::uint64_t m_samples = 0;
    std::mt19937_64 m_random{1};
};

} // namespace fakeengine

#include "pomeloport/transport/enginestream.h"

#include "connectionpool.h"

#include "pomeloport/transport/callstream.h"

#include "../protocol/chunklines.h"
#include "../protocol/jsonfields.h"

#include <boost/asio/steady_timer.hpp>

#include <xxhash.h>

#include <utility>

namespace pomeloport
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using Strand = asio::strand<asio::io_context::executor_type>;

/// Time limit for the rest of the response after the end marker; the connection is closed afterwards.
constexpr std::chrono::milliseconds TrailingDataTimeout{1000};
/// Maximum size of the result of a service call.
constexpr std::size_t MaximumBodyBytes = 16 * 1024 * 1024;
/// Maximum size of the body of a response that is no success.
constexpr std::size_t MaximumRefusalBytes = 64 * 1024;
constexpr unsigned StatusOk = 200;

const char *targetOf(StreamCallKind kind)
{
    return kind == StreamCallKind::Generate ? "/v1/generate" : "/v1/call";
}

} // namespace

namespace detail
{

/// The session behind an EngineStream. After the end marker its timer keeps it alive.
class EngineStreamSession : public std::enable_shared_from_this<EngineStreamSession>
{
public:
    EngineStreamSession(std::shared_ptr<ConnectionPool> pool,
                        Strand executor,
                        StreamCall call,
                        EngineStream::Listener listener)
        : m_pool(std::move(pool))
        , m_executor(std::move(executor))
        , m_timer(m_executor)
        , m_kind(call.kind)
        , m_listener(std::make_shared<EngineStream::Listener>(std::move(listener)))
    {
        m_call.fields = {{"Host", call.address}, {"Content-Type", "application/json"}};
        m_call.address = std::move(call.address);
        m_call.method = "POST";
        m_call.target = targetOf(m_kind);
        m_call.body = std::make_shared<const std::string>(std::move(call.body));
    }

    void start()
    {
        m_stream = std::make_unique<CallStream>(
            m_pool, m_executor, std::move(m_call), [weak = weak_from_this()](CallEvent event) {
                if (const auto self = weak.lock()) {
                    std::visit([&self](auto &received) { self->handle(received); }, event);
                }
            });
    }

    void pause()
    {
        if (m_stream) {
            m_stream->pause();
        }
    }

    void resume()
    {
        if (m_stream) {
            m_stream->resume();
        }
    }

    void close()
    {
        m_listener = nullptr;
        if (!m_endReported) {
            m_stream = nullptr;
        }
    }

private:
    void handle(callevent::Sending & /*event*/)
    {
        emit(streamevent::Sending{});
    }

    void handle(callevent::Unwritten & /*event*/)
    {
    }

    void handle(callevent::Unreachable & /*event*/)
    {
        emitFinal(streamevent::Refused{RefusalCode::Leaving, true});
    }

    void handle(callevent::Head &event)
    {
        m_status = event.head.status;
    }

    void handle(callevent::BodyData &event)
    {
        if (!handleBodyData(event.bytes)) {
            emitFinal(streamevent::Broken{"malformed response"});
        }
    }

    void handle(callevent::Drained & /*event*/)
    {
        if (std::exchange(m_chunksReported, false)) {
            emit(streamevent::Drained{});
        }
    }

    /// Handles a response that is complete according to its HTTP framing.
    void handle(callevent::End & /*event*/)
    {
        m_timer.cancel();
        if (m_endReported) {
            return;
        }
        if (m_status != StatusOk) {
            completeRefusal();
            return;
        }
        if (m_kind == StreamCallKind::Service) {
            completeService();
            return;
        }
        emitFinal(streamevent::Broken{"no end marker"});
    }

    void handle(callevent::Broken &event)
    {
        emitFinal(streamevent::Broken{std::move(event.detail)});
    }

    bool handleBodyData(std::string_view piece)
    {
        if (m_kind == StreamCallKind::Generate && m_status == StatusOk) {
            return m_lines.feed(piece, [this](std::string_view line) { return handleLine(line); });
        }
        m_body += piece;
        return m_body.size() <= (m_status == StatusOk ? MaximumBodyBytes : MaximumRefusalBytes);
    }

    bool handleLine(std::string_view line)
    {
        if (m_endReported || !m_listener) {
            return m_endReported;
        }
        auto parsed = parseStreamLine(line);
        if (!parsed) {
            return false;
        }
        if (auto *chunk = std::get_if<StreamChunk>(&*parsed)) {
            m_chunksReported = true;
            emit(streamevent::Chunk{std::move(*chunk)});
            return m_listener != nullptr;
        }
        m_endReported = true;
        readTrailingData();
        emit(streamevent::End{std::get<StreamEnd>(std::move(*parsed))});
        return true;
    }

    /// Reads the rest of the response after the end marker, so that the connection can be reused.
    void readTrailingData()
    {
        m_stream->resume();
        m_timer.expires_after(TrailingDataTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code) { self->m_stream = nullptr; });
    }

    void completeRefusal()
    {
        if (const auto refusal = decodeRefusal(m_body)) {
            emitFinal(streamevent::Refused{refusal->code, false});
            return;
        }
        emitFinal(streamevent::Broken{"status " + std::to_string(m_status)});
    }

    void completeService()
    {
        JsonReader reader(std::string_view{m_body});
        auto text = reader.text("result", true);
        if (!reader.ok()) {
            emitFinal(streamevent::Broken{"malformed response"});
            return;
        }
        const auto digest = XXH64(text.data(), text.size(), 0);
        m_endReported = true;
        emit(streamevent::Chunk{{0, std::move(text)}});
        emit(streamevent::End{{1, digest, {}}});
    }

    void emit(EngineStreamEvent event)
    {
        if (const auto listener = m_listener) {
            (*listener)(std::move(event));
        }
    }

    /// Closes the connection and, unless End was reported, reports the final event.
    void emitFinal(EngineStreamEvent event)
    {
        m_timer.cancel();
        m_stream = nullptr;
        if (!m_endReported) {
            emit(std::move(event));
        }
        m_listener = nullptr;
    }

    std::shared_ptr<ConnectionPool> m_pool;
    Strand m_executor;
    asio::steady_timer m_timer;
    StreamCallKind m_kind;
    RelayedCall m_call;
    std::shared_ptr<EngineStream::Listener> m_listener;
    std::unique_ptr<CallStream> m_stream;
    unsigned m_status = 0;
    LineSplitter m_lines;
    std::string m_body;
    bool m_chunksReported = false;
    bool m_endReported = false;
};

} // namespace detail

EngineStream::EngineStream(std::shared_ptr<detail::ConnectionPool> pool,
                           asio::strand<asio::io_context::executor_type> executor,
                           StreamCall call,
                           Listener listener)
    : m_session(std::make_shared<detail::EngineStreamSession>(std::move(pool),
                                                              std::move(executor),
                                                              std::move(call),
                                                              std::move(listener)))
{
    m_session->start();
}

EngineStream::~EngineStream()
{
    close();
}

void EngineStream::pause()
{
    m_session->pause();
}

void EngineStream::resume()
{
    m_session->resume();
}

void EngineStream::close()
{
    m_session->close();
}

} // namespace pomeloport

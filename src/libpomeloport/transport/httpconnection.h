#pragma once

#include "pomeloport/state/published.h"
#include "pomeloport/transport/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The server side of one HTTP connection.
namespace pomeloport::detail
{

/// State shared by all connections of a server.
struct HttpServerState
{
    Published<HttpLimits> limits{std::make_shared<const HttpLimits>()};
    HttpHandler handler;
    /// Budget for request bodies and handler of requests that find no place in it; neither is set without a limit.
    std::shared_ptr<MemoryBudget> memory;
    HttpHandler refuse;
    /// Budget for streamed bytes that wait to be written, limits on them and the report of peers that do not read; none
    /// is set without a limit.
    std::shared_ptr<MemoryBudget> unreadMemory;
    std::optional<UnreadLimits> unreadLimits;
    HttpServer::SlowReaderReport slowReader;
    std::atomic<std::size_t> connections{0};
    /// Number of connections with a request whose reply has not been completely sent.
    std::atomic<std::size_t> busy{0};
    std::atomic<bool> keepAlive{true};
};

/// Reads requests in sequence and writes their replies. Kept alive by its pending operations and its exchange. All
/// members must be used on the strand only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
    using Written = std::function<void(bool ok)>;
    using HeaderList = std::vector<std::pair<std::string, std::string>>;

    HttpConnection(Socket socket, std::shared_ptr<HttpServerState> state);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    Strand strand() const;

    /// Waits for the next request.
    void start();

    /// Implement the methods of HttpExchange; must be called on the strand.
    void reply(unsigned status, std::string contentType, std::string body, const HeaderList &headers);
    void beginStream(unsigned status, std::string contentType, const HeaderList &headers);
    void reply(const HttpResponseHead &head, std::string body, MemoryShare memory);
    void beginStream(const HttpResponseHead &head);
    void write(std::string piece, Written written);
    void endStream();
    void close();
    void reset();
    void onClosed(std::function<void()> callback);
    void setName(std::string name);

    /// Number of the current exchange.
    std::uint64_t exchange() const;

    /// Closes the connection if the exchange with this number was not fully answered.
    void closeIfUnanswered(std::uint64_t exchange);

private:
    using Error = boost::system::error_code;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using StringResponse = boost::beast::http::response<boost::beast::http::string_body>;

    void armTimer(std::chrono::milliseconds timeout, bool respond);
    void timedOut();
    void waitReadable();
    void readHeader();
    void headerRead(Error error);
    void sendContinue();
    bool framingIsUnambiguous() const;
    void readBody();
    void readBodyPiece();
    void waitForMemory(std::chrono::steady_clock::time_point end);
    bool takeMemory();
    void refuseForMemory();
    void bodyRead(Error error);
    void dispatchRequest(const HttpHandler &handler, bool keepAlive);
    HttpRequest extractRequest();
    void rejectRequest(unsigned status, const std::string &detail);
    void rejectOnError(Error error);
    void sendResponse(std::shared_ptr<StringResponse> response);
    void linger();
    void discard();
    void beginHead(const HttpResponseHead &head);
    void setBusy(bool busy);
    void watchForDisconnect();
    void peerReadable(Error error);
    void peerDisconnected();
    void flush();
    void writeSome();
    void wrote(Error error, std::size_t bytes);
    void flushed(Error error);
    void runCallbacks(bool ok);
    void finishReply();
    std::size_t unreadBytes() const;
    bool holdsUnread();
    void watchUnread();
    void unreadTimeOver();
    void watchProgress();
    void checkProgressLater();
    void checkProgress();
    std::int64_t acknowledgedBytes();
    void disconnectSlowReader(SlowReaderCause cause);
    void dropUnread();
    void reportSlowReader(SlowReaderCause cause);

    /// The stage of the current exchange.
    enum class Phase {
        Reading,
        Handling,
        Streaming,
        Replying,
        Lingering,
        Closed,
    };

    Socket m_socket;
    std::shared_ptr<HttpServerState> m_state;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_memoryTimer;
    boost::asio::steady_timer m_unreadTimer;
    boost::asio::steady_timer m_progressTimer;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    /// Share of the body that is being read.
    MemoryShare m_memory;
    std::string m_remote;
    std::function<void()> m_onClosed;
    std::string m_pending;
    std::string m_writing;
    /// Number of bytes of m_writing that the socket has taken.
    std::size_t m_written = 0;
    /// Bytes that the socket has taken of all replies, and their number when the current period of watching began.
    std::uint64_t m_takenBytes = 0;
    std::uint64_t m_takenBefore = 0;
    /// Bytes that the peer has acknowledged, and when their number was last seen to change.
    std::int64_t m_acknowledged = 0;
    std::chrono::steady_clock::time_point m_acknowledgedAt;
    /// A callback and the number of bytes of its buffer up to the end of its piece.
    struct PieceCallback
    {
        std::size_t end = 0;
        Written written;
    };
    std::deque<PieceCallback> m_pendingCallbacks;
    std::deque<PieceCallback> m_writingCallbacks;
    /// Share of the reply that is being written.
    MemoryShare m_unreadMemory;
    std::string m_name;
    std::size_t m_discarded = 0;
    std::uint64_t m_exchange = 0;
    Phase m_phase = Phase::Reading;
    bool m_keepAlive = true;
    bool m_busy = false;
    bool m_writeActive = false;
    bool m_ended = false;
    bool m_watchingPeer = false;
    bool m_respondOnTimeout = false;
    bool m_watchingUnread = false;
    bool m_watchingProgress = false;
};

} // namespace pomeloport::detail

#include "pomeloport/transport/httpclient.h"

#include "addresses.h"
#include "connectionpool.h"
#include "replyparser.h"
#include "socketoptions.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace pomeloport
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Maximum number of received bytes that the parser has not consumed, such as a chunk's extension or the trailer.
constexpr std::size_t MaximumUnparsedBytes = 128 * 1024;

/// Runs one call on its own strand. Pending operations keep the session alive until the callback has run.
class CallSession : public std::enable_shared_from_this<CallSession>
{
public:
    CallSession(std::shared_ptr<detail::ConnectionPool> pool, HttpCall call, HttpCallback callback)
        : m_pool(std::move(pool))
        , m_strand(asio::make_strand(m_pool->context()))
        , m_timer(m_strand)
        , m_call(std::move(call))
        , m_callback(std::move(callback))
        , m_replyMemory(m_call.replyMemory)
    {
    }

    void start()
    {
        asio::post(m_strand, [self = shared_from_this()] { self->begin(); });
    }

private:
    void begin()
    {
        buildRequest();
        m_timer.expires_after(m_call.timeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->finish(std::nullopt);
            }
        });
        m_socket = m_call.newConnection ? nullptr : m_pool->acquire(m_call.address);
        m_reused = m_socket != nullptr;
        m_reused ? write() : connect();
    }

    void buildRequest()
    {
        m_request.method_string(m_call.method);
        m_request.target(m_call.target);
        m_request.version(11);
        m_request.set(http::field::host, m_call.address);
        for (const auto &[name, value] : m_call.headers) {
            m_request.set(name, value);
        }
        m_request.body() = std::move(m_call.body);
        m_request.prepare_payload();
    }

    void connect()
    {
        const auto endpoint = detail::parseEndpoint(m_call.address);
        if (!endpoint) {
            finish(std::nullopt);
            return;
        }
        m_reused = false;
        m_socket = std::make_unique<tcp::socket>(m_pool->context());
        m_socket->async_connect(*endpoint, asio::bind_executor(m_strand, [self = shared_from_this()](error_code error) {
            self->connected(error);
        }));
    }

    void connected(error_code error)
    {
        if (!m_callback) {
            return;
        }
        if (error) {
            finish(std::nullopt);
            return;
        }
        detail::configureConnection(*m_socket);
        write();
    }

    void write()
    {
        m_sent = true;
        http::async_write(
            *m_socket,
            m_request,
            asio::bind_executor(m_strand, [self = shared_from_this()](error_code error, std::size_t bytes) {
                self->written(error, bytes);
            }));
    }

    void written(error_code error, std::size_t bytes)
    {
        if (!m_callback) {
            return;
        }
        if (!error) {
            read();
            return;
        }
        m_sent = bytes > 0;
        if (m_reused && !m_sent) {
            connect();
            return;
        }
        finish(std::nullopt);
    }

    /// Begins to read a response, the first one or the one that follows an informational response.
    void read()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->body_limit(m_call.maximumReplyBytes);
        readSome();
    }

    void readSome()
    {
        http::async_read_some(*m_socket,
                              m_buffer,
                              *m_parser,
                              asio::bind_executor(m_strand, [self = shared_from_this()](error_code error, std::size_t) {
                                  self->received(error);
                              }));
    }

    void received(error_code error)
    {
        if (!m_callback) {
            return;
        }
        auto &response = m_parser->get();
        const bool malformed = m_parser->is_header_done() && !isWellFormed(response);
        if (error || malformed || !countReply(response.body().size())) {
            finish(std::nullopt);
            return;
        }
        if (!m_parser->is_done()) {
            readSome();
            return;
        }
        if (detail::isInformational(response.result_int())) {
            ++m_skippedResponses > detail::MaximumSkippedResponses ? finish(std::nullopt) : read();
            return;
        }
        if (response.keep_alive() && m_buffer.size() == 0) {
            m_pool->release(m_call.address, std::move(m_socket));
        }
        HttpReply reply{response.result_int(), std::move(response.body()), {}};
        for (const auto &field : response) {
            reply.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        finish(std::move(reply));
    }

    static bool isWellFormed(const http::response<http::string_body> &response)
    {
        const auto encoding = response.find(http::field::transfer_encoding);
        const bool encodingKnown = encoding == response.end()
            || detail::isKnownTransferEncoding({encoding->value().data(), encoding->value().size()});
        return encodingKnown && detail::isValidStatus(response.result_int());
    }

    /// Returns whether there is memory for the body of the response so far.
    bool countReply(std::size_t bytes)
    {
        return bytes <= HttpCall::UncountedReplyBytes || m_replyMemory.resize(bytes);
    }

    void finish(std::optional<HttpReply> reply)
    {
        if (!m_callback) {
            return;
        }
        m_timer.cancel();
        m_replyMemory = {};
        if (m_socket) {
            error_code ignored;
            m_socket->close(ignored);
        }
        std::exchange(m_callback, nullptr)(std::move(reply), m_sent);
    }

    std::shared_ptr<detail::ConnectionPool> m_pool;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    HttpCall m_call;
    HttpCallback m_callback;
    std::unique_ptr<tcp::socket> m_socket;
    http::request<http::string_body> m_request;
    /// The response that is being read.
    std::optional<http::response_parser<http::string_body>> m_parser;
    boost::beast::flat_buffer m_buffer{MaximumUnparsedBytes};
    MemoryShare m_replyMemory;
    unsigned m_skippedResponses = 0;
    bool m_reused = false;
    bool m_sent = false;
};

} // namespace

HttpClient::HttpClient(asio::io_context &context)
    : m_pool(std::make_shared<detail::ConnectionPool>(context))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpCall call, HttpCallback callback)
{
    std::make_shared<CallSession>(m_pool, std::move(call), std::move(callback))->start();
}

std::shared_ptr<detail::ConnectionPool> HttpClient::pool() const
{
    return m_pool;
}

} // namespace pomeloport

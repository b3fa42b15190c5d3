#include "callerstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace pomeloload
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{

constexpr auto ConnectTimeout = std::chrono::seconds(1);
constexpr std::size_t ReadBufferBytes = 16'384;
constexpr unsigned Http11 = 11;

std::optional<tcp::endpoint> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    unsigned short port = 0;
    const auto *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

} // namespace

namespace detail
{

/// Connects, sends and reads; handlers keep the session alive.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(boost::asio::io_context &context, ReplyListener listener)
        : m_stream(context)
        , m_listener(std::move(listener))
    {
        m_parser.body_limit(boost::none);
    }

    void start(const std::string &address, http::request<http::string_body> request)
    {
        m_request = std::move(request);
        const auto endpoint = parseAddress(address);
        if (!endpoint) {
            boost::asio::post(m_stream.get_executor(),
                              [self = shared_from_this()] { self->finish(CallEnd::NotConnected); });
            return;
        }
        m_stream.expires_after(ConnectTimeout);
        m_stream.async_connect(*endpoint, [self = shared_from_this()](beast::error_code error) {
            if (error) {
                self->finish(CallEnd::NotConnected);
                return;
            }
            self->write();
        });
    }

    void close()
    {
        m_listener = {};
        m_stream.close();
    }

private:
    void write()
    {
        m_stream.expires_never();
        http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code /*error*/, std::size_t) {
            // A server may refuse a request before it has read all of it; the reply decides.
            self->m_request.body().clear();
            self->m_request.body().shrink_to_fit();
            self->readHeader();
        });
    }

    void readHeader()
    {
        http::async_read_header(
            m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (error) {
                    self->finish(CallEnd::Broken);
                    return;
                }
                if (const auto header = self->m_listener.header) {
                    header(self->m_parser.get().result_int());
                }
                self->readBody();
            });
    }

    void readBody()
    {
        if (m_parser.is_done()) {
            finish(CallEnd::Whole);
            return;
        }
        m_parser.get().body().data = m_piece.data();
        m_parser.get().body().size = m_piece.size();
        http::async_read_some(
            m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
                const auto length = self->m_piece.size() - self->m_parser.get().body().size;
                const auto piece = self->m_listener.piece;
                if (length > 0 && piece) {
                    piece({self->m_piece.data(), length});
                }
                if (error && error != http::error::need_buffer) {
                    self->finish(CallEnd::Broken);
                    return;
                }
                self->readBody();
            });
    }

    void finish(CallEnd end)
    {
        const auto done = std::exchange(m_listener, {}).done;
        if (done) {
            done(end);
        }
    }

    beast::tcp_stream m_stream;
    ReplyListener m_listener;
    http::request<http::string_body> m_request;
    http::response_parser<http::buffer_body> m_parser;
    beast::flat_buffer m_buffer;
    std::array<char, ReadBufferBytes> m_piece{};
};

} // namespace detail

CallerStream::CallerStream(boost::asio::io_context &context, StreamRequest request, ReplyListener listener)
    : m_session(std::make_shared<detail::CallerSession>(context, std::move(listener)))
{
    http::request<http::string_body> message(http::verb::post, request.path, Http11);
    message.set(http::field::host, request.address);
    message.set(http::field::authorization, "Bearer " + request.token);
    message.set(http::field::content_type, "application/json");
    message.keep_alive(false);
    message.body() = std::move(request.body);
    message.prepare_payload();
    m_session->start(request.address, std::move(message));
}

CallerStream::~CallerStream()
{
    m_session->close();
}

} // namespace pomeloload

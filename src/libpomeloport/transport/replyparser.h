#pragma once

#include "pomeloport/transport/httpmessage.h"

#include <boost/beast/http/basic_parser.hpp>

#include <functional>
#include <string_view>

/// Incremental parsing of HTTP responses without buffering the body.
namespace pomeloport::detail
{

/// Maximum number of informational responses, and of those to earlier calls, before the response to a call.
constexpr unsigned MaximumSkippedResponses = 16;

/// Whether a status code announces another response to the same request.
constexpr bool isInformational(unsigned status)
{
    return status < 200;
}

/// Whether a response may have this status code: a number outside of the five classes is no status (RFC 9110, 15), and
/// no call asks for another protocol.
constexpr bool isValidStatus(unsigned status)
{
    constexpr unsigned SwitchingProtocols = 101;
    return status >= 100 && status < 600 && status != SwitchingProtocols;
}

/// Whether the body of a response is understood that has this transfer encoding. Calls announce no other (RFC
/// 9112, 7.4).
bool isKnownTransferEncoding(std::string_view value);

/// Parses one response and passes each piece of its body on as it arrives, without chunk framing. Feed it with put().
class ReplyParser : public boost::beast::http::basic_parser<false>
{
public:
    /// Receives body data; returns false to make parsing fail.
    using Sink = std::function<bool(std::string_view piece)>;

    explicit ReplyParser(Sink sink);

    /// The status code, or 0 before the status line was parsed.
    unsigned status() const;

    /// Status line and header fields; complete once is_header_done() returns true.
    const HttpResponseHead &head() const;

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, Error &) override;
    void on_response_impl(int code, Text reason, int version, Error &error) override;
    void on_field_impl(boost::beast::http::field, Text, Text, Error &) override;
    void on_header_impl(Error &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error) override;
    std::size_t on_body_impl(Text body, Error &error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, Error &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, Text body, Error &error) override;
    void on_finish_impl(Error &error) override;

    Sink m_sink;
    HttpResponseHead m_head;
};

} // namespace pomeloport::detail

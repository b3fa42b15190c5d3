#include "replyparser.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace pomeloport::detail
{

namespace
{

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// Whether a status line begins inside a text, as in "text/plHTTP/1.1 200 OK". Then one response has broken off in its
/// head and another one follows, so that the fields belong to two responses.
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view Protocol = "HTTP/";
    constexpr std::string_view Version = "1.1 200";
    for (auto position = text.find(Protocol); position != std::string_view::npos;
         position = text.find(Protocol, position + 1)) {
        const auto rest = text.substr(position + Protocol.size(), Version.size());
        const auto matches = [](char expected, char actual) {
            return isDigit(expected) ? isDigit(actual) : expected == actual;
        };
        if (rest.size() == Version.size() && std::ranges::equal(Version, rest, matches)) {
            return true;
        }
    }
    return false;
}

} // namespace

bool isKnownTransferEncoding(std::string_view value)
{
    return boost::beast::iequals({value.data(), value.size()}, "chunked");
}

ReplyParser::ReplyParser(Sink sink)
    : m_sink(std::move(sink))
{
    eager(true);
    body_limit(boost::none);
}

unsigned ReplyParser::status() const
{
    return m_head.status;
}

const HttpResponseHead &ReplyParser::head() const
{
    return m_head;
}

void ReplyParser::on_request_impl(boost::beast::http::verb, Text, Text, int, Error &)
{
}

void ReplyParser::on_response_impl(int code, Text reason, int, Error &error)
{
    if (containsStatusLine({reason.data(), reason.size()})) {
        error = boost::beast::http::error::bad_reason;
    }
    if (!isValidStatus(static_cast<unsigned>(code))) {
        error = boost::beast::http::error::bad_status;
    }
    m_head.status = static_cast<unsigned>(code);
    m_head.reason = std::string(reason);
}

void ReplyParser::on_field_impl(boost::beast::http::field field, Text name, Text value, Error &error)
{
    if (containsStatusLine({value.data(), value.size()})) {
        error = boost::beast::http::error::bad_value;
    }
    if (field == boost::beast::http::field::transfer_encoding
        && !isKnownTransferEncoding({value.data(), value.size()})) {
        error = boost::beast::http::error::bad_transfer_encoding;
    }
    m_head.fields.emplace_back(std::string(name), std::string(value));
}

void ReplyParser::on_header_impl(Error &)
{
}

void ReplyParser::on_body_init_impl(const boost::optional<std::uint64_t> &, Error &)
{
}

std::size_t ReplyParser::on_body_impl(Text body, Error &error)
{
    if (!m_sink({body.data(), body.size()})) {
        error = boost::beast::http::error::unexpected_body;
    }
    return body.size();
}

void ReplyParser::on_chunk_header_impl(std::uint64_t, Text, Error &)
{
}

std::size_t ReplyParser::on_chunk_body_impl(std::uint64_t, Text body, Error &error)
{
    return on_body_impl(body, error);
}

void ReplyParser::on_finish_impl(Error &)
{
}

} // namespace pomeloport::detail

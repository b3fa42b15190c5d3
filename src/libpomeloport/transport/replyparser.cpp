#include "replyparser.h"

#include <boost/beast/http/error.hpp>

namespace pomeloport::detail
{

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

void ReplyParser::on_response_impl(int code, Text reason, int, Error &)
{
    m_head.status = static_cast<unsigned>(code);
    m_head.reason = std::string(reason);
}

void ReplyParser::on_field_impl(boost::beast::http::field, Text name, Text value, Error &)
{
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

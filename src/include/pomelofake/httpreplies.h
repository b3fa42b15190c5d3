#pragma once

#include "pomeloport/transport/httpserver.h"

#include <boost/json.hpp>

#include <memory>
#include <string>

/// Replies that the HTTP interfaces of the stand-ins share.
namespace pomelofake
{

using ExchangePointer = std::shared_ptr<pomeloport::HttpExchange>;

/// Status codes that the stand-ins answer with.
enum class HttpStatus : unsigned {
    Ok = 200,
    BadRequest = 400,
    NotFound = 404,
    Conflict = 409,
    TooManyRequests = 429,
    Unavailable = 503,
};

/// Answers with JSON that is already encoded.
inline void replyJson(const ExchangePointer &exchange, HttpStatus status, std::string body)
{
    exchange->reply(static_cast<unsigned>(status), "application/json", std::move(body));
}

/// Answers with a JSON value.
inline void replyJson(const ExchangePointer &exchange, HttpStatus status, const boost::json::value &body)
{
    replyJson(exchange, status, serialize(body));
}

/// Answers an empty JSON object: what was asked is done.
inline void replyDone(const ExchangePointer &exchange)
{
    replyJson(exchange, HttpStatus::Ok, std::string("{}"));
}

/// Answers {"error": DETAIL}.
inline void replyError(const ExchangePointer &exchange, HttpStatus status, const std::string &detail)
{
    replyJson(exchange, status, boost::json::value{{"error", detail}});
}

} // namespace pomelofake

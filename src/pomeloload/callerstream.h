#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// One call to an entry instance whose reply is read piece by piece, as a caller reads a stream.
namespace pomeloload
{

/// How a call went as far as its connection is concerned.
enum class CallEnd {
    /// The reply was read to its proper end.
    Whole,
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The connection failed after it was made.
    Broken,
};

/// Receives a reply. The done function is called once, last, unless the call is destroyed before.
struct ReplyListener
{
    std::function<void(unsigned status)> header;
    std::function<void(std::string_view piece)> piece;
    std::function<void(CallEnd end)> done;
};

namespace detail
{
class CallerSession;
}

/// A JSON body to post to a path of a numeric address "IP:port".
struct StreamRequest
{
    std::string address;
    std::string path;
    /// The caller's bearer token.
    std::string token;
    std::string body;
};

/// A running call over a connection of its own. Destroying it ends the call silently; a listener may do so.
class CallerStream
{
public:
    CallerStream(boost::asio::io_context &context, StreamRequest request, ReplyListener listener);
    ~CallerStream();
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;

private:
    std::shared_ptr<detail::CallerSession> m_session;
};

} // namespace pomeloload

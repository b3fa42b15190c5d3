#pragma once

#include "pomeloport/memorybudget.h"
#include "pomeloport/transport/httpclient.h"
#include "pomeloport/transport/httpmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

/// Relays one HTTP call, request and response unchanged, with backpressure.
namespace pomeloport
{

namespace detail
{
class CallStreamSession;
}

namespace callevent
{

/// The first byte is about to be written to the socket; from now on the call may have been executed.
struct Sending
{
};

/// The connection has taken less of the request than there is, or more of it than before. Not reported for a request
/// that is taken at once.
struct Unwritten
{
    /// Bytes that the connection has not taken; zero at the end.
    std::size_t bytes = 0;
};

/// No connection could be established; the call was not executed.
struct Unreachable
{
    std::string detail;
    /// Whether nothing came back in time, as opposed to an error.
    bool timedOut = false;
};

struct Head
{
    HttpResponseHead head;
};

/// A piece of the response body, without chunk framing.
struct BodyData
{
    std::string bytes;
};

/// All body data read from the socket so far has been reported; a receiver that batches may flush.
struct Drained
{
};

/// The response is complete. No event follows.
struct End
{
    /// Whether a length or chunks marked the end. Otherwise the response ended with its connection, so a server that
    /// exits in the middle of it leaves the same trace as one that has sent all.
    bool framed = true;
};

/// The response was truncated or malformed. No event follows.
struct Broken
{
    std::string detail;
    /// Whether the server closed or reset the connection, as opposed to sending what is no response.
    bool connectionLost = false;
};

} // namespace callevent

using CallEvent = std::variant<callevent::Sending,
                               callevent::Unwritten,
                               callevent::Unreachable,
                               callevent::Head,
                               callevent::BodyData,
                               callevent::Drained,
                               callevent::End,
                               callevent::Broken>;

/// The request of a relayed call.
struct RelayedCall
{
    /// A numeric "IP:port".
    std::string address;
    std::string method;
    std::string target;
    /// Header fields other than those that frame the body.
    HttpFields fields;
    /// Shared between the attempts of a request; null for an empty body.
    std::shared_ptr<const std::string> body;
    /// Counts the body from the first attempt to write it until it is written. Has no limit that refuses it, since the
    /// body is held elsewhere, too.
    std::shared_ptr<MemoryBudget> unsentBodies;
    /// Whether the system takes only a little more of the body than the server reads, so that the bytes that it leaves
    /// unread are reported. Otherwise the system takes up to 4 MB that it leaves unread.
    bool limitsUnsent = false;
    /// A pooled connection is reused only if it was idle for at most this long; zero forces a new connection.
    std::chrono::milliseconds maximumIdle = std::chrono::minutes(1);
    /// Whether a response belongs to this call. On a reused connection, responses that do not are read and discarded,
    /// because a server may answer an earlier call twice.
    std::function<bool(const HttpResponseHead &head)> responseMatches;
};

/// A call in progress. Construct it, call its methods and receive its events on the same executor. The destructor
/// closes it.
class CallStream
{
public:
    /// Receives events and may call any method of the stream.
    using Listener = std::function<void(CallEvent event)>;

    /// Starts the call on a pooled connection if one is usable, otherwise on a new one. The listener is never called
    /// from within the constructor.
    CallStream(std::shared_ptr<detail::ConnectionPool> pool,
               boost::asio::strand<boost::asio::io_context::executor_type> executor,
               RelayedCall call,
               Listener listener);
    ~CallStream();
    CallStream(const CallStream &) = delete;
    CallStream &operator=(const CallStream &) = delete;

    /// Stops reading from the socket. Data already read, at most one read buffer, is still reported.
    void pause();

    /// Continues reading after pause().
    void resume();

    /// Closes the connection. No event follows.
    void close();

private:
    std::shared_ptr<detail::CallStreamSession> m_session;
};

} // namespace pomeloport

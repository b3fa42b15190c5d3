#pragma once

#include "pomeloport/transport/httpclient.h"
#include "pomeloport/transport/httpmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

/// One HTTP call whose request and answer are relayed as they are, with backpressure.
namespace pomeloport
{

namespace detail
{
class CallStreamSession;
}

namespace callevent
{

/// The first byte is about to be handed to the network: from here the call may have run.
struct Sending
{
};

/// No connection could be made: the call did not run.
struct Unreachable
{
    std::string detail;
};

/// Status and header fields of the answer.
struct Head
{
    HttpResponseHead head;
};

/// A piece of the body, without framing.
struct BodyData
{
    std::string bytes;
};

/// All pieces that were read from the network have been reported; a receiver that batches may flush.
struct Drained
{
};

/// The answer is whole by its framing; nothing follows.
struct End
{
};

/// The answer stopped early or was malformed; nothing follows.
struct Broken
{
    std::string detail;
};

} // namespace callevent

using CallEvent = std::variant<callevent::Sending,
                               callevent::Unreachable,
                               callevent::Head,
                               callevent::BodyData,
                               callevent::Drained,
                               callevent::End,
                               callevent::Broken>;

/// A call that is ready to be sent.
struct RelayedCall
{
    /// A numeric "IP:port".
    std::string address;
    std::string method;
    std::string target;
    /// Fields beside those that frame the body.
    HttpFields fields;
    std::string body;
    /// A kept connection that was idle for longer is not used; zero asks for a new connection.
    std::chrono::milliseconds maximumIdle = std::chrono::minutes(1);
    /// Says whether an answer belongs to this call. On a kept connection, answers that don't are read and dropped:
    /// servers may answer an earlier call twice.
    std::function<bool(const HttpResponseHead &head)> responseMatches;
};

/// A running call. Open it, call its methods and receive its events on one executor. Dropping the object closes it.
class CallStream
{
public:
    /// Receives events; may call any method of the stream.
    using Listener = std::function<void(CallEvent event)>;

    /// Starts a call over a pooled connection. Events come later, never from within the constructor.
    CallStream(std::shared_ptr<detail::ConnectionPool> pool,
               boost::asio::strand<boost::asio::io_context::executor_type> executor,
               RelayedCall call,
               Listener listener);
    ~CallStream();
    CallStream(const CallStream &) = delete;
    CallStream &operator=(const CallStream &) = delete;

    /// Stops reading from the network. What was read before, at most one read buffer, is still reported.
    void pause();

    /// Goes on reading.
    void resume();

    /// Reports nothing more and closes the connection.
    void close();

private:
    std::shared_ptr<detail::CallStreamSession> m_session;
};

} // namespace pomeloport

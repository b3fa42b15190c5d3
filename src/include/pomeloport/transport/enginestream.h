#pragma once

#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/transport/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>

/// One call to a backend server whose answer arrives in pieces, with backpressure.
namespace pomeloport
{

namespace detail
{
class EngineStreamSession;
}

namespace streamevent
{

/// The first byte is about to be handed to the network: from here the call may have run.
struct Sending
{
};

/// The call did not run: the backend server refused it, or could not be reached.
struct Refused
{
    RefusalCode code = RefusalCode::Full;
    /// True when no connection could be made.
    bool unreachable = false;
};

/// One chunk, as it arrived; order and duplicates are the receiver's concern.
struct Chunk
{
    StreamChunk chunk;
};

/// All chunks that were read from the network have been reported; a receiver that batches may flush.
struct Drained
{
};

/// The end marker arrived; nothing follows.
struct End
{
    StreamEnd end;
};

/// The answer stopped without an end marker, or was malformed; nothing follows.
struct Broken
{
    std::string detail;
};

} // namespace streamevent

using EngineStreamEvent = std::variant<streamevent::Sending,
                                       streamevent::Refused,
                                       streamevent::Chunk,
                                       streamevent::Drained,
                                       streamevent::End,
                                       streamevent::Broken>;

/// Kinds of calls that EngineStream makes.
enum class StreamCallKind {
    /// POST /v1/generate, answered by lines of chunks.
    Generate,
    /// POST /v1/call, answered by one JSON object; reported as one chunk and an end marker.
    Service,
};

constexpr NameTable<StreamCallKind, 2> nameTable(StreamCallKind /*unused*/)
{
    return {{{StreamCallKind::Generate, "generate"}, {StreamCallKind::Service, "service"}}};
}

/// A call with its encoded body. The address is a numeric "IP:port".
struct StreamCall
{
    StreamCallKind kind = StreamCallKind::Generate;
    std::string address;
    std::string body;
};

/// A running call. Open it, call its methods and receive its events on one executor. Dropping the object closes it.
class EngineStream
{
public:
    /// Receives events; may call any method of the stream.
    using Listener = std::function<void(EngineStreamEvent event)>;

    /// Starts a call over a pooled connection. Events come later, never from within the constructor.
    EngineStream(std::shared_ptr<detail::ConnectionPool> pool,
                 boost::asio::strand<boost::asio::io_context::executor_type> executor,
                 StreamCall call,
                 Listener listener);
    ~EngineStream();
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    /// Stops reading from the network. What was read before, at most one read buffer, is still reported.
    void pause();

    /// Goes on reading.
    void resume();

    /// Reports nothing more and closes the connection, unless the answer was whole.
    void close();

private:
    std::shared_ptr<detail::EngineStreamSession> m_session;
};

} // namespace pomeloport

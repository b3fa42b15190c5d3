#pragma once

#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/transport/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>

/// One call to a backend server with a streamed response and backpressure.
namespace pomeloport
{

namespace detail
{
class EngineStreamSession;
}

namespace streamevent
{

/// The first byte is about to be written to the socket; from now on the call may have been executed.
struct Sending
{
};

/// The call was not executed: the backend server refused it or could not be reached.
struct Refused
{
    RefusalCode code = RefusalCode::Full;
    /// Whether the connection could not be established.
    bool unreachable = false;
};

/// One chunk as received. The receiver handles order and duplicates.
struct Chunk
{
    StreamChunk chunk;
};

/// All chunks read from the socket so far have been reported; a receiver that batches may flush.
struct Drained
{
};

/// The end marker was received. No event follows.
struct End
{
    StreamEnd end;
};

/// The response ended without an end marker or was malformed. No event follows.
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

/// The endpoint of a call and the format of its response.
enum class StreamCallKind {
    /// POST /v1/generate; the response is a stream of chunks, one per line.
    Generate,
    /// POST /v1/call; the response is one JSON object, reported as one chunk and an end marker.
    Service,
};

constexpr NameTable<StreamCallKind, 2> nameTable(StreamCallKind /*unused*/)
{
    return {{{StreamCallKind::Generate, "generate"}, {StreamCallKind::Service, "service"}}};
}

/// A call with its encoded body and a numeric "IP:port" address.
struct StreamCall
{
    StreamCallKind kind = StreamCallKind::Generate;
    std::string address;
    std::string body;
};

/// A call in progress. Construct it, call its methods and receive its events on the same executor. The destructor
/// closes it.
class EngineStream
{
public:
    /// Receives events and may call any method of the stream.
    using Listener = std::function<void(EngineStreamEvent event)>;

    /// Starts the call on a pooled connection if one is usable, otherwise on a new one. The listener is never called
    /// from within the constructor.
    EngineStream(std::shared_ptr<detail::ConnectionPool> pool,
                 boost::asio::strand<boost::asio::io_context::executor_type> executor,
                 StreamCall call,
                 Listener listener);
    ~EngineStream();
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    /// Stops reading from the socket. Data already read, at most one read buffer, is still reported.
    void pause();

    /// Continues reading after pause().
    void resume();

    /// Suppresses further events. Closes the connection unless the end marker was received; in that case the rest of
    /// the response is read so that the connection can be reused.
    void close();

private:
    std::shared_ptr<detail::EngineStreamSession> m_session;
};

} // namespace pomeloport

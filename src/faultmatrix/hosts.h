#pragma once

#include "truth.h"
#include "virtualclock.h"

#include "pomelofake/enginemodel.h"
#include "pomelofake/platformmodel.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/protocol/store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The platform, the engines and the plain services of a run, behind connections that can fail.
namespace faultmatrix
{

class World;

/// How the next connection of an operation fails.
enum class ConnectionFault {
    None,
    BeforeSend,
    AfterSend,
};

/// One way over the network.
constexpr Duration NetworkDelay = std::chrono::microseconds(500);

/// The platform's store behind connections with a timeout.
class StoreHost
{
public:
    using Callback = std::function<void(pomeloport::StoreReply)>;

    StoreHost(World &world, pomelofake::PlatformModelSettings settings);

    /// Sends a call from a process of an instance. The callback runs in the process, once.
    void call(const std::shared_ptr<Process> &process,
              const std::string &instance,
              pomeloport::StoreCall call,
              const Callback &callback,
              Duration wait = {});

    pomelofake::PlatformModel &model();
    void setFaults(const pomelofake::PlatformFaults &faults);
    /// Holds requests back on their way for this long, beyond the caller's timeout.
    void setRequestDelay(Duration delay);
    /// Calls that a fault touched.
    std::size_t disturbed() const;

private:
    struct Waiting
    {
        std::shared_ptr<Process> process;
        Callback callback;
        std::shared_ptr<bool> settled;
        std::uint64_t id = 0;
    };

    void execute(const pomeloport::StoreCall &call, const Waiting &waiting, Duration wait, bool loseReply);
    void pump();

    World &m_world;
    pomelofake::PlatformModel m_model;
    std::map<std::uint64_t, Waiting> m_waiting;
    Duration m_requestDelay{};
    /// When pump() is due.
    Instant m_pumpAt = Instant::max();
    std::size_t m_disturbed = 0;
};

/// A backend server: a model engine, or a plain service when it has no engine.
class BackendHost
{
public:
    using Sink = std::function<void(pomeloport::FlowEvent)>;

    BackendHost(World &world, std::string name, std::optional<pomelofake::EngineModelSettings> engine);

    const std::string &name() const;
    bool isEngine() const;
    pomelofake::EngineModel &engine();

    /// Sends an attempt; the sink gets its events in the process, until close().
    void open(const std::shared_ptr<Process> &process,
              const pomeloport::GenerateCall &call,
              std::size_t member,
              const std::string &key,
              ConnectionFault fault,
              Sink sink);
    /// Closes the caller's end of an attempt; the backend server notices nothing.
    void close(const pomeloport::StreamAddress &stream);
    /// Cancels an attempt at the server, without a caller.
    pomelofake::CancelResult cancel(const pomeloport::StreamAddress &stream);
    void freeBlob(const std::string &blob);
    std::optional<pomeloport::Refusal> order(const pomeloport::EngineOrder &order);

    void kill();
    void restart();
    void setStalled(bool stalled);
    void setRefusing(bool refusing);
    void setLeaving(bool leaving);
    bool alive() const;
    bool leaving() const;
    /// Whether a caller still reads this stream.
    bool isConnected(const pomeloport::StreamAddress &stream) const;

    /// Breaks the connection of one stream; the server goes on.
    void breakConnection(const pomeloport::StreamAddress &stream);
    /// Arms a chunk fault for the streams of one sending.
    void armChunkFault(Fault fault, std::size_t sending);
    /// Calls and chunks that a fault touched.
    std::size_t disturbed() const;

private:
    struct Connection
    {
        std::shared_ptr<Process> process;
        Sink sink;
        std::size_t member = 0;
        bool broken = false;
        std::optional<pomeloport::FlowEvent> held;
    };

    void accept(const pomeloport::GenerateCall &call, const std::string &key);
    void runService(const pomeloport::GenerateCall &call, const std::string &key);
    void pump();
    void note();
    void emit(const pomeloport::StreamAddress &stream, const pomeloport::FlowEvent &event);
    void deliver(const pomeloport::StreamAddress &stream, const pomeloport::FlowEvent &event, Duration delay);
    bool chunkFaultHits(const pomeloport::StreamAddress &stream) const;

    World &m_world;
    std::string m_name;
    std::unique_ptr<pomelofake::EngineModel> m_engine;
    std::map<pomeloport::StreamAddress, Connection> m_connections;
    bool m_alive = true;
    bool m_stalled = false;
    bool m_refusing = false;
    bool m_leaving = false;
    std::uint64_t m_generation = 0;
    /// When pump() is due.
    Instant m_pumpAt = Instant::max();
    std::optional<std::pair<Fault, std::size_t>> m_chunkFault;
    std::size_t m_disturbed = 0;
};

} // namespace faultmatrix

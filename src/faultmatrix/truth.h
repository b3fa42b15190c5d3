#pragma once

#include "catalogue.h"
#include "virtualclock.h"

#include "pomeloport/protocol/identity.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// What really happened in a run, against which the invariants are checked. Only the checks read it; the code under
/// test never does.
namespace faultmatrix
{

using pomeloport::OwnerId;
using pomeloport::StreamAddress;

/// What a caller asks for.
struct Demand
{
    Work work = Work::Answer;
    std::string key;
    pomeloport::WallTime issuedAt{};
    std::uint64_t promptDigest = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t chunks = 0;
    Duration patience{};

    bool nonIdempotent() const
    {
        return work == Work::Action || work == Work::EngineAction;
    }
};

/// One sending of a demand to one instance, as its caller sees it.
struct Sending
{
    Demand demand;
    std::string instance;
    Instant sentAt{};
    Instant deadline{};
    bool admitted = false;
    StreamAddress stream;
    std::vector<std::string> chunks;
    bool whole = false;
    /// Set when the caller's connection ended without an outcome.
    bool lost = false;
    bool cancelled = false;
    /// Set when the caller's own connection was reset.
    bool reset = false;
    std::optional<pomeloport::Failure> failure;
    /// Outcomes told: ends and failures.
    int outcomes = 0;
    Instant endedAt{};
    /// Whether any attempt of it started at a backend server.
    bool started = false;

    bool ended() const
    {
        return outcomes > 0 || lost || cancelled;
    }
};

/// The books of one run, and the violations found. Callbacks name a sending by its number.
class Truth
{
public:
    explicit Truth(VirtualClock &clock);

    std::size_t send(const Demand &demand, const std::string &instance);
    void admitted(std::size_t sending, const StreamAddress &stream);
    void chunk(std::size_t sending, std::uint64_t index, const std::string &text);
    void ended(std::size_t sending, std::uint64_t count, std::uint64_t digest);
    void failed(std::size_t sending, const pomeloport::Failure &failure);
    void lost(std::size_t sending);
    void reset(std::size_t sending);
    void cancelled(std::size_t sending);

    /// An attempt left the queue of a backend server and runs.
    void started(const StreamAddress &stream);
    /// The outcome of an earlier sending was told; nothing of this sending ran.
    const Sending *find(const StreamAddress &stream) const;
    /// A call of this owner reached a backend server. Where several faults may hide that a server leaves, each owner
    /// may learn it by one refusal.
    void workArrived(const std::string &backend, const OwnerId &owner);
    void allowLearningByRefusal();
    void leaving(const std::string &backend, bool leaving);

    /// A write of the configuration took effect.
    void configAccepted(std::uint64_t version);
    /// An instance admits with this version; called often.
    void admitting(const std::string &instance, std::uint64_t version);
    void adopted(const std::string &process, std::uint64_t version);

    void violate(const std::string &text);

    const std::vector<Sending> &sendings() const;
    const std::vector<std::string> &violations() const;
    /// The highest configuration version accepted.
    std::uint64_t configVersion() const;

    /// Checks each sending's time, verdict and runs after the run.
    void checkSendings();

private:
    void outcome(std::size_t sending);
    std::string describe(std::size_t sending) const;

    VirtualClock &m_clock;
    std::vector<Sending> m_sendings;
    std::map<std::pair<OwnerId, std::uint64_t>, std::size_t> m_byStream;
    std::map<std::string, std::set<StreamAddress>> m_runs;
    std::map<std::string, Instant> m_leaving;
    bool m_learningAllowed = false;
    std::set<std::pair<std::string, OwnerId>> m_learned;
    std::map<std::uint64_t, Instant> m_accepted;
    std::map<std::string, std::uint64_t> m_adopted;
    std::set<std::string> m_reported;
    std::vector<std::string> m_violations;
};

} // namespace faultmatrix

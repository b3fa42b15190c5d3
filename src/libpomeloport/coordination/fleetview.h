#pragma once

#include "pomeloport/coordination/circuitbreaker.h"
#include "pomeloport/coordination/costmodel.h"
#include "pomeloport/coordination/eligibility.h"
#include "pomeloport/coordination/inflightledger.h"
#include "pomeloport/coordination/isolation.h"
#include "pomeloport/coordination/placementpolicy.h"
#include "pomeloport/coordination/prefixaffinity.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What one router knows of the backend servers: the snapshot, its own books, learned speeds and circuit breakers,
/// combined into predictions. Not thread safe.
namespace pomeloport::detail
{

/// The backend servers that serve requests with the same needs.
struct Pool
{
    /// Indices into the snapshot's backends.
    std::vector<std::uint32_t> members;
    std::vector<std::string> names;
    std::unordered_map<std::string, std::uint32_t> positions;
    /// Over positions in members.
    AffinityRing ring{{}};
    std::vector<std::uint32_t> shortOnlyOrder;
    ShortOnlyShare share;
    /// Whether long work is kept away, by position in members.
    std::vector<bool> shortOnly;
    std::uint64_t largestKvTokens = 0;
    std::uint64_t totalKvTokens = 0;
    /// Empty-context tokens per second of all members.
    double tokensPerSecond = 0;
};

/// What a backend server would do for a request.
struct Prediction
{
    /// Empty-context tokens that go before the request's own, and its own without the cached ones.
    double tokensAhead = 0;
    double ownTokens = 0;
    /// Seconds before the request's own prefill starts, until its first token, and until its end. The end counts decode
    /// steps only as far as they have been measured, because requests are refused by it.
    double wait = 0;
    double firstToken = 0;
    double decode = 0;
    double finish = 0;
    /// Free KV memory over what the request needs; below 1 it does not fit.
    double memoryFit = 0;
    /// Prompt tokens of class Bulk that wait there.
    double bulkTokens = 0;
    bool mixed = false;
};

/// Predicts what each backend server would do for a request.
class FleetView
{
public:
    explicit FleetView(const PlacementPolicy &policy);

    /// Adopts a snapshot and learns from its reports.
    void update(std::shared_ptr<const Snapshot> snapshot, Instant now);

    /// The present snapshot, or null.
    const Snapshot *snapshot() const;

    /// Returns the pool for a request, computed at most once per snapshot.
    const Pool &pool(const RequestSpec &request, Instant now);

    /// Predicts for one backend server, given by its index in the snapshot.
    Prediction predict(std::uint32_t backend, const RequestSpec &request, EnginePriority priority, Instant now) const;

    /// Returns the index of a backend server in the snapshot.
    std::optional<std::uint32_t> indexOf(const std::string &backend) const;

    const BackendView &view(std::uint32_t backend) const;
    CircuitBreaker &breaker(const std::string &backend);
    const CircuitBreaker &breaker(std::uint32_t backend) const;
    EngineSpeed &speed(const std::string &backend);
    InFlightLedger &ledger();
    const BackendInFlight &books(std::uint32_t backend) const;

private:
    struct Record
    {
        EngineSpeed speed;
        CircuitBreaker breaker;
    };
    void refresh(Pool &pool, const PoolKey &key, Instant now);
    double memoryLimit(EnginePriority priority) const;
    void refreshShortOnly(Pool &pool, Instant now) const;

    const PlacementPolicy &m_policy;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::uint64_t m_snapshotNumber = 0;
    struct KnownPool
    {
        Pool pool;
        std::uint64_t snapshotNumber = 0;
    };
    std::map<PoolKey, KnownPool> m_pools;
    std::unordered_map<std::string, Record> m_records;
    /// By index in the snapshot.
    std::vector<const Record *> m_recordByIndex;
    std::vector<const BackendInFlight *> m_booksByIndex;
    std::unordered_map<std::string, std::uint32_t> m_indices;
    InFlightLedger m_ledger;
};

} // namespace pomeloport::detail

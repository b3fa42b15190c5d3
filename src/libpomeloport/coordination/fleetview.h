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

/// A router's view of the backend servers. Predicts waiting times and memory from the snapshot, the router's own
/// in-flight requests, measured engine speeds and circuit breakers.
namespace pomeloport::detail
{

/// The backend servers that are eligible for requests with the same pool key.
struct Pool
{
    /// Indices into the snapshot's backends.
    std::vector<std::uint32_t> members;
    /// Names of the members, in the same order.
    std::vector<std::string> names;
    /// Positions in members, by name.
    std::unordered_map<std::string, std::uint32_t> positions;
    /// Prefix affinity, in terms of positions in members.
    AffinityRing ring{{}};
    /// Positions in members in the order in which engines are reserved for short work.
    std::vector<std::uint32_t> shortOnlyOrder;
    ShortOnlyShare share;
    /// Whether an engine accepts short work only, by position in members.
    std::vector<bool> shortOnly;
    std::uint64_t largestKvTokens = 0;
    std::uint64_t totalKvTokens = 0;
    /// Total prefill rate of all members, in empty-context tokens per second.
    double tokensPerSecond = 0;
};

/// Predicted service of a request at a backend server.
struct Prediction
{
    /// Empty-context tokens that are queued ahead of the request.
    double tokensAhead = 0;
    /// Empty-context tokens of the request's own prompt, without the cached prefix.
    double requestTokens = 0;
    /// Seconds until the prefill of the request starts.
    double wait = 0;
    /// Seconds until its first token.
    double firstToken = 0;
    /// Duration of its decoding, in seconds.
    double decode = 0;
    /// Seconds until its end. Includes the decoding only once the duration of a decode step has been measured, because
    /// requests are rejected on this prediction.
    double finish = 0;
    /// Ratio of the free KV memory to the memory that the request needs; below 1 the request does not fit.
    double memoryFit = 0;
    /// Queued prompt tokens of class Bulk.
    double bulkTokens = 0;
    /// Whether prompt tokens of other requests are queued.
    bool hasQueuedPrefill = false;
};

/// Predicts how each backend server would serve a request. Not thread safe.
class FleetView
{
public:
    explicit FleetView(const PlacementPolicy &policy);

    /// Replaces the snapshot and updates the measured engine speeds from its reports.
    void update(std::shared_ptr<const Snapshot> snapshot, Instant now);

    /// Returns the current snapshot, or null before the first.
    const Snapshot *snapshot() const;

    /// Returns the pool for a request. A pool is computed at most once per snapshot.
    const Pool &pool(const RequestSpec &request, Instant now);

    /// Predicts the service of a request at the backend server with the given index in the snapshot.
    Prediction predict(std::uint32_t backend, const RequestSpec &request, EnginePriority priority, Instant now) const;

    /// Returns the index of a backend server in the snapshot, or nothing if it is not part of it.
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
    struct CachedPool
    {
        Pool pool;
        std::uint64_t snapshotNumber = 0;
    };
    std::map<PoolKey, CachedPool> m_pools;
    std::unordered_map<std::string, Record> m_records;
    /// Elements of m_records and of the ledger, by index in the snapshot.
    std::vector<const Record *> m_recordByIndex;
    std::vector<const BackendInFlight *> m_booksByIndex;
    std::unordered_map<std::string, std::uint32_t> m_indices;
    InFlightLedger m_ledger;
};

} // namespace pomeloport::detail

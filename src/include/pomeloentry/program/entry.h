#pragma once

#include "pomeloentry/program/entrysettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

/// One entry instance: relays callers' requests to backend servers, answers service discovery, and tracks the state of
/// the fleet.
namespace pomeloentry
{

struct EntryCore;

/// Runs all parts of an entry instance. Thread safe.
class Entry
{
public:
    /// Binds all addresses and starts serving. Returns null and sets the last reason when an address cannot be bound.
    static std::unique_ptr<Entry> start(boost::asio::io_context &context,
                                        const EntrySettings &settings,
                                        std::uint64_t incarnation);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Drains the instance: discovery no longer names it, while requests in flight and new ones on known addresses are
    /// still served. Calls back once no request is left, or shortly before the stop grace period ends.
    void shutDown(std::function<void()> onShutDown);

    /// Ends a shutdown that has begun: each open call gets its final answer, and the callback follows once these are
    /// written, 250 ms later at the latest.
    void endShutDown();

    /// Number of calls that are being relayed.
    std::uint64_t openCalls() const;

private:
    struct Implementation;
    explicit Entry(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace pomeloentry

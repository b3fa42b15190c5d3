#pragma once

#include "pomeloentry/entrysettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

/// The whole of one entry instance: relays callers' requests, answers where to connect, and keeps the fleet's state.
namespace pomeloentry
{

struct EntryCore;

/// Methods are safe from any thread.
class Entry
{
public:
    /// Starts all parts. Returns null, with a last reason, when an address cannot be bound.
    static std::unique_ptr<Entry> start(boost::asio::io_context &context,
                                        const EntrySettings &settings,
                                        std::uint64_t incarnation);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Stops inviting callers, serves those that are here, and calls back once all are served, or shortly before the
    /// stop time of the settings has passed.
    void shutDown(std::function<void()> onShutDown);

    /// Calls being relayed.
    std::uint64_t openCalls() const;

private:
    struct Implementation;
    explicit Entry(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace pomeloentry

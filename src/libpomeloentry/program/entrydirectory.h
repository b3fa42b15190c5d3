#pragma once

#include "knowledge/peermesh.h"
#include "program/entrycore.h"

#include "pomeloport/protocol/store.h"
#include "pomeloport/transport/platformclient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomeloentry
{

/// The list of entry instances in the platform's store, through which instances find each other when all seeds and all
/// known peers are gone. The readers of the store are on it, so that its calls do not grow with the fleet. Keeps this
/// instance registered while it is one, passes the addresses of others to the mesh, and removes instances that have
/// been silent for long. All work runs on one strand.
class EntryDirectory : public std::enable_shared_from_this<EntryDirectory>
{
public:
    EntryDirectory(std::shared_ptr<EntryCore> core, std::shared_ptr<PeerMesh> mesh);

    void start();
    void stop();

    /// Reads the list again soon after the store has come back from an older copy, which may lack this instance.
    void storeRestored();

private:
    void list(const std::string &after);
    void onListReply(const pomeloport::StoreReply &reply);
    void scheduleNextList();
    void scheduleNextList(std::chrono::milliseconds interval);
    bool needsList() const;
    void registerSelf(const pomeloport::StoreObject *existing);
    void removeSilentInstances();
    void send(pomeloport::StoreCall call, std::function<void(const pomeloport::StoreReply &)> callback);

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<PeerMesh> m_mesh;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    pomeloport::PlatformClient m_store;
    boost::asio::steady_timer m_timer;
    /// Objects from the pages of the current list.
    std::vector<pomeloport::StoreObject> m_listedObjects;
    /// Id of the call for the last page that was asked for. Replies to others are of a list that was given up.
    std::uint64_t m_listCall = 0;
    /// Era of the store that the pages of the current list are of.
    std::optional<std::uint64_t> m_listEra;
    /// Time since which a listed instance has not been heard from.
    std::map<std::string, Instant> m_silentSince;
    std::uint32_t m_failedLists = 0;
    std::uint32_t m_completedLists = 0;
    bool m_stopped = false;
    std::uint64_t m_nextCall = 1;
};

} // namespace pomeloentry

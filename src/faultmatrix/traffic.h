#pragma once

#include "world.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace faultmatrix
{

/// Callers and operators of a run: requests in the background, the observed request, resends of actions whose outcome
/// is not known, and a change of the configuration.
class Traffic
{
public:
    Traffic(World &world, Work observed, Step step);

    /// Starts everything.
    void start();

    /// Number of the observed sending, once it was sent.
    std::optional<std::size_t> observed() const;

    /// The observed request reached this step; cancels or drains at the steps that call for it.
    void stepReached(Step step, const StepContext &context);

    /// Stops new work; unsettled actions are sent once more to see what their callers are told.
    void settle();

    /// Two operators change the same version at the same time.
    void editConflictingly();

    /// Checks what callers can rely on after settle().
    void check(const std::vector<Fault> &faults);

private:
    bool endedWell(const Sending &sending) const;
    void checkResends();
    Demand demandOf(Work work);
    void background();
    void sendObserved();
    std::vector<std::string> discover();
    void send(const Demand &demand, const std::string &instance, bool observed);
    void deliver(std::size_t sending, const std::string &instance, ConnectionFault fault);
    void watch(std::size_t sending);
    void cancelObserved();
    void drainObserved();
    void apply(const std::string &yaml, const std::string &token, bool rebase);
    void write(const pomeloport::StoreObject &object, const std::string &yaml, const std::string &token, bool rebase);

    World &m_world;
    Work m_observedWork;
    Step m_step;
    std::optional<std::size_t> m_observed;
    std::shared_ptr<Process> m_operator;
    std::vector<std::string> m_cachedInstances;
    Instant m_cachedAt{};
    std::uint64_t m_lastDemand = 0;
    std::uint64_t m_backgroundSent = 0;
    bool m_settling = false;
    bool m_left = false;
    std::set<std::size_t> m_finalSendings;
    /// Versions that a conflicting edit replaced.
    std::vector<std::uint64_t> m_replacedVersions;
};

} // namespace faultmatrix

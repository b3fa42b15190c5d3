#pragma once

#include "traffic.h"
#include "world.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace faultmatrix
{

/// Makes faults happen at a step, heals them, and tells whether they touched anything.
class Injector
{
public:
    Injector(World &world, Traffic &traffic, std::vector<Fault> faults, Step step, Work work);

    /// The observed work reached a step.
    void stepReached(Step step, const StepContext &context);

    /// Ends all faults that last.
    void heal();

    /// Whether each fault happened and touched something.
    bool acted() const;

private:
    Step triggerOf(Fault fault) const;
    void fire(Fault fault, const StepContext &context);
    void fireAtBackend(Fault fault, BackendHost &backend, const StepContext &context);
    void fireAtInstance(Fault fault, Instance &instance);
    void fireAtStore(Fault fault);
    void fireAtNetwork(Fault fault, const StepContext &context);
    std::string backendFor(const StepContext &context) const;
    std::string instanceFor(const StepContext &context) const;
    std::size_t disturbed() const;
    void pause(const std::shared_ptr<Process> &process);

    World &m_world;
    Traffic &m_traffic;
    std::vector<Fault> m_faults;
    Step m_step;
    Work m_work;
    bool m_fired = false;
    /// One entry for each fault: whether it touched something.
    std::vector<std::function<bool()>> m_evidence;
    std::vector<Task> m_heals;
};

} // namespace faultmatrix

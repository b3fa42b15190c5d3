#pragma once

#include "pomeloport/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Time and processes of the fault matrix: one queue of tasks on a virtual clock, in order of time and of arrival.
namespace faultmatrix
{

using pomeloport::Duration;
using pomeloport::Instant;
using Task = std::function<void()>;

/// The virtual clock with its tasks and the trace of the run.
class VirtualClock
{
public:
    Instant now() const;

    /// Calendar time that belongs to now().
    pomeloport::WallTime wall() const;

    void after(Duration delay, Task task);

    /// Runs all tasks up to this time.
    void runUntil(Instant end);

    /// Adds a line to the trace, with the time.
    void trace(const std::string &line);

    const std::vector<std::string> &lines() const;

private:
    Instant m_now{std::chrono::hours(1)};
    std::multimap<Instant, Task> m_tasks;
    std::vector<std::string> m_lines;
};

/// One start of a process. Tasks posted to it are dropped after its end and wait while it is paused.
class Process : public std::enable_shared_from_this<Process>
{
public:
    explicit Process(VirtualClock &clock);

    /// Runs a task in this process after a delay.
    void post(Duration delay, Task task);

    /// Runs a task in this process again and again.
    void repeat(Duration interval, const Task &task);

    void kill();
    void pause();
    void resume();

    bool alive() const;
    bool paused() const;
    bool running() const;

private:
    void run(Task task);

    VirtualClock &m_clock;
    bool m_alive = true;
    bool m_paused = false;
    std::vector<Task> m_backlog;
};

} // namespace faultmatrix

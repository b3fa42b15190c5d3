#include "virtualclock.h"

#include <cstdio>

namespace faultmatrix
{

namespace
{

/// Calendar time at the clock's start.
constexpr pomeloport::WallTime StartOfCalendar{std::chrono::hours(24 * 365 * 50)};

} // namespace

Instant VirtualClock::now() const
{
    return m_now;
}

pomeloport::WallTime VirtualClock::wall() const
{
    return StartOfCalendar + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
}

void VirtualClock::after(Duration delay, Task task)
{
    m_tasks.emplace(m_now + delay, std::move(task));
}

void VirtualClock::runUntil(Instant end)
{
    while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
        const auto first = m_tasks.begin();
        m_now = first->first;
        const Task task = std::move(first->second);
        m_tasks.erase(first);
        task();
    }
    m_now = end;
}

void VirtualClock::trace(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%10.4f ", pomeloport::seconds(m_now.time_since_epoch()) - 3600);
    m_lines.push_back(time + line);
}

const std::vector<std::string> &VirtualClock::lines() const
{
    return m_lines;
}

Process::Process(VirtualClock &clock)
    : m_clock(clock)
{
}

void Process::post(Duration delay, Task task)
{
    m_clock.after(delay, [self = shared_from_this(), task = std::move(task)] { self->run(task); });
}

void Process::repeat(Duration interval, const Task &task)
{
    post(interval, [this, interval, task] {
        task();
        repeat(interval, task);
    });
}

void Process::run(Task task)
{
    if (m_alive && m_paused) {
        m_backlog.push_back(std::move(task));
    } else if (m_alive) {
        task();
    }
}

void Process::kill()
{
    m_alive = false;
    m_backlog.clear();
}

void Process::pause()
{
    m_paused = true;
}

void Process::resume()
{
    if (!m_paused) {
        return;
    }
    m_paused = false;
    std::vector<Task> backlog = std::move(m_backlog);
    m_backlog.clear();
    for (const Task &task : backlog) {
        run(task);
    }
}

bool Process::alive() const
{
    return m_alive;
}

bool Process::paused() const
{
    return m_paused;
}

bool Process::running() const
{
    return m_alive && !m_paused;
}

} // namespace faultmatrix

#include "logoutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace pomeloport::detail
{

LogOutput::LogOutput(int descriptor)
    : m_descriptor(descriptor)
{
}

LogOutput::~LogOutput()
{
    const std::lock_guard lock(m_mutex);
    flush();
}

void LogOutput::write(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() > BufferBytes) {
        flush();
    }
    if (m_pending.size() + line.size() > BufferBytes) {
        ++m_dropped;
        ++m_unreported;
        return;
    }
    if (m_unreported > 0) {
        m_pending.append("event=log_dropped lines=").append(std::to_string(m_unreported)).append("\n");
        m_unreported = 0;
    }
    m_pending += line;
    flush();
}

std::uint64_t LogOutput::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

/// Writes while the descriptor takes bytes at once: a pipe that is writable takes PIPE_BUF bytes without waiting.
void LogOutput::flush()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const auto size = std::min<std::size_t>(m_pending.size() - written, PIPE_BUF);
        const auto taken = ::write(m_descriptor, m_pending.data() + written, size);
        if (taken <= 0) {
            break;
        }
        written += static_cast<std::size_t>(taken);
    }
    m_pending.erase(0, written);
}

} // namespace pomeloport::detail

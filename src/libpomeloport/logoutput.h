#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace pomeloport::detail
{

/// Writes log lines to a file descriptor without ever waiting for its reader: lines wait in a bounded buffer, and those
/// that don't fit are dropped and counted. Safe from any thread.
class LogOutput
{
public:
    /// Memory for lines that the reader has not taken yet.
    static constexpr std::size_t BufferBytes = 256 * 1024;

    explicit LogOutput(int descriptor);
    ~LogOutput();
    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;

    /// Takes one line with its line feed. Lines that were dropped before it are reported by a line of their own.
    void write(std::string_view line);

    /// Lines dropped so far.
    std::uint64_t dropped() const;

private:
    void flush();

    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreported = 0;
};

} // namespace pomeloport::detail

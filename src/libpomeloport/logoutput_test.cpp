#include "logoutput.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <string>

using pomeloport::detail::LogOutput;

namespace
{

/// A pipe whose reader does nothing by itself.
struct Pipe
{
    Pipe()
    {
        REQUIRE(pipe(ends) == 0);
    }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string take()
    {
        std::string bytes(1024 * 1024, 0);
        bytes.resize(static_cast<std::size_t>(read(ends[0], bytes.data(), bytes.size())));
        return bytes;
    }
    int ends[2] = {-1, -1};
};

} // namespace

TEST_CASE("log lines reach their reader in order", "[logoutput]")
{
    Pipe pipe;
    LogOutput output(pipe.ends[1]);
    output.write("one\n");
    output.write("two\n");
    CHECK(pipe.take() == "one\ntwo\n");
    CHECK(output.dropped() == 0);
}

TEST_CASE("a reader that stops blocks nobody, and lost lines are counted", "[logoutput]")
{
    Pipe pipe;
    LogOutput output(pipe.ends[1]);
    const std::string line = std::string(999, 'x') + "\n";
    for (int i = 0; i < 1000; ++i) {
        output.write(line);
    }
    REQUIRE(output.dropped() > 0);
    const auto dropped = output.dropped();
    std::string seen;
    for (int i = 0; i < 40; ++i) {
        seen = pipe.take();
        output.write("after\n");
        if (seen.find("event=log_dropped") != std::string::npos) {
            break;
        }
    }
    const auto told = std::string("event=log_dropped lines=").append(std::to_string(dropped));
    CHECK(seen.find(told) != std::string::npos);
    CHECK(output.dropped() == dropped);
}

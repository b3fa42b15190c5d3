#include "pomeloport/requeststory.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace pomeloport;

namespace
{

const std::string Log = R"(time=2026-01-01T00:00:01.000 level=INFO program=p event=backend backend=i-1 leaving=false
time=2026-01-01T00:00:02.000 level=INFO program=p event=admitted id=a1 route=/x/ version=3
time=2026-01-01T00:00:02.001 level=INFO program=p event=choice id=a1 attempt=1 backend=i-1
time=2026-01-01T00:00:02.100 level=INFO program=p event=choice id=a11 attempt=1 backend=i-1
time=2026-01-01T00:00:02.200 level=INFO program=p event=backend_gone backend=i-1
time=2026-01-01T00:00:02.250 level=INFO program=p event=backend_gone backend=i-2
time=2026-01-01T00:00:02.300 level=WARNING program=p event=dependency_lost dependency=store
time=2026-01-01T00:00:02.400 level=INFO program=p event=ticket ticket=a1-1-0-0 backend=i-3 granted=true
time=2026-01-01T00:00:03.000 level=INFO program=p event=end id=a1 outcome=cut detail="the stream: cut short" attempts=1
time=2026-01-01T00:00:04.000 level=INFO program=p event=dependency_regained dependency=store
)";

} // namespace

TEST_CASE("the value of a key is found by its whole name, quoted or not", "[requeststory]")
{
    CHECK(logValue("time=1 event=end detail=\"a b\" id=x", "detail") == "a b");
    CHECK(logValue("time=1 event=end detail=\"a b\" id=x", "id") == "x");
    CHECK(logValue("time=1 request_id=x", "id").empty());
    CHECK(logValue("time=1", "time") == "1");
}

TEST_CASE("the history of a request has its own lines and the related state changes while it was open, by time",
          "[requeststory]")
{
    RequestStory story("a1");
    std::istringstream first(Log);
    story.read("one", first);
    std::istringstream second("time=2026-01-01T00:00:02.500 event=peer id=b\n");
    story.read("two", second);
    std::vector<std::string> events;
    for (const auto &line : story.lines()) {
        events.push_back(logValue(line.text, "event"));
    }
    CHECK(events == std::vector<std::string>{"admitted", "choice", "backend_gone", "dependency_lost", "ticket", "end"});
}

TEST_CASE("the history of a request that appears in no log is empty", "[requeststory]")
{
    RequestStory story("a2");
    std::istringstream log(Log);
    story.read("one", log);
    CHECK(story.lines().empty());
}

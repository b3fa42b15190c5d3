#include "../libpomeloport/transport/httpfixture.h"
#include "drainplan.h"

#include "pomelorouter/router.h"

#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/transport/httpclient.h"

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <future>
#include <mutex>

using namespace pomeloport;
using Catch::Contains;
using detail::ServerFixture;

namespace
{

constexpr const char *OperatorToken = "operator";

/// An engine that answers each call with three chunks. It refuses calls for the model "full" and never answers calls
/// for the model "silent".
class ScriptedEngine
{
public:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto &path = exchange->request().path;
        if (path == "/v1/cancel") {
            exchange->reply(200, "application/json", R"({"started":true,"existed":true})");
            return;
        }
        const auto call = decodeGenerateCall(exchange->request().body);
        if (!call) {
            exchange->reply(400, "text/plain", "bad call");
            return;
        }
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        if (call->model == "full") {
            exchange->reply(429, "application/json", encode(Refusal{RefusalCode::Full}));
            return;
        }
        answer(exchange, call->model == "silent");
    }

    /// Closes the streams of calls for the model "silent".
    void closeUnansweredStreams()
    {
        const std::lock_guard lock(m_mutex);
        m_unansweredExchanges.clear();
    }

    /// Number of accepted calls that were left unanswered.
    std::size_t unansweredCalls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_unansweredExchanges.size();
    }

    int calls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_calls;
    }

private:
    void answer(const std::shared_ptr<HttpExchange> &exchange, bool silent)
    {
        exchange->beginStream(200, "application/x-ndjson");
        if (silent) {
            m_unansweredExchanges.push_back(exchange);
            return;
        }
        std::string text;
        for (std::uint64_t index = 0; index < 3; ++index) {
            text += encode(StreamChunk{index, "t" + std::to_string(index)}) + "\n";
        }
        constexpr std::string_view FullText = "t0t1t2";
        const StreamEnd end{3, XXH64(FullText.data(), FullText.size(), 0), {}};
        exchange->write(text + encode(end) + "\n", [](bool) {});
        exchange->endStream();
    }

    mutable std::mutex m_mutex;
    int m_calls = 0;
    std::vector<std::shared_ptr<HttpExchange>> m_unansweredExchanges;
};

/// A router with one scripted engine as its only backend server, and an HTTP client for it.
struct RouterFixture
{
    RouterFixture()
        : engineServer([this](const std::shared_ptr<HttpExchange> &exchange) { engine.handle(exchange); })
        , client(engineServer.context)
    {
        pomelorouter::RouterSettings settings;
        settings.instance = "entry-1";
        settings.listen = "127.42.0.2:0";
        settings.operatorToken = OperatorToken;
        settings.drainPropagation = std::chrono::milliseconds(10);
        router = pomelorouter::Router::start(engineServer.context, settings, 1);
        router->publish(snapshot());
    }

    ~RouterFixture()
    {
        engine.closeUnansweredStreams();
    }

    std::shared_ptr<Snapshot> snapshot() const
    {
        auto result = std::make_shared<Snapshot>();
        result->self = {"entry-1", 1};
        result->configVersion = 1;
        result->admitting = true;
        result->declarations.organisations = {{"clipback", "caller", 1}, {"kandy", "other", 1}};
        result->declarations.limits.discoveryLifetimeMs = 10;
        for (const auto *model : {"plain", "full", "silent"}) {
            result->declarations.intents.push_back({model, {}, {model}, {}, {}, model, "", ""});
        }
        BackendView backend;
        backend.server.name = "engine-1";
        backend.server.address = engineServer.server->address();
        backend.server.kvTokens = 100'000;
        backend.server.load = {"plain", "full", "silent"};
        result->backends.push_back(backend);
        InstanceView self;
        self.id = result->self;
        self.httpAddress = router->address();
        self.configVersion = 1;
        result->instances.push_back(self);
        return result;
    }

    HttpReply call(const std::string &method,
                   const std::string &target,
                   const std::string &body = {},
                   const std::string &token = "caller")
    {
        std::promise<std::optional<HttpReply>> result;
        HttpCall httpCall{router->address(), method, target, body, {{"Authorization", "Bearer " + token}}};
        client.send(httpCall, [&result](std::optional<HttpReply> reply, bool) { result.set_value(std::move(reply)); });
        return result.get_future().get().value_or(HttpReply{});
    }

    ScriptedEngine engine;
    ServerFixture engineServer;
    HttpClient client;
    std::shared_ptr<pomelorouter::Router> router;
};

} // namespace

TEST_CASE("router sends an answer as one reply or as a stream of events")
{
    RouterFixture fixture;
    const auto whole = fixture.call("POST", "/v1/requests", R"({"kind":"plain","prompt":"hello"})");
    INFO(whole.body);
    CHECK(whole.status == 200);
    REQUIRE_THAT(whole.body, Contains(R"("verdict":"ran","chunks":3)") && Contains(R"("text":"t0t1t2")"));
    const auto stream = fixture.call("POST", "/v1/requests", R"({"kind":"plain","prompt":"hello","stream":true})");
    REQUIRE_THAT(stream.body, Catch::StartsWith("id: 0\ndata: {\"index\":0,\"text\":\"t0\"}\n\nid: 1\n"));
    REQUIRE_THAT(stream.body, Contains("event: end\ndata: {\"count\":3,"));
    REQUIRE(fixture.router->openRequests() == 0);
    const auto metrics = fixture.call("GET", "/metrics").body;
    REQUIRE_THAT(metrics, Contains(R"(pomelo_requests_total{organisation="clipback",class="short",verdict="ran"} 2)"));
}

TEST_CASE("router refuses invalid requests with verdict not_run and calls no backend server")
{
    RouterFixture fixture;
    const auto expectRefusal = [&](const std::string &body, unsigned status, const std::string &reason) {
        const auto reply = fixture.call("POST", "/v1/requests", body);
        INFO(reply.body);
        CHECK(reply.status == status);
        CHECK_THAT(reply.body, Contains(R"("verdict":"not_run","reason":")" + reason + '"'));
    };
    expectRefusal("{]", 400, "bad_request");
    expectRefusal(R"({"kind":"plain","prompt":"x","deadline_ms":-5})", 400, "deadline_passed");
    expectRefusal(R"({"kind":"plain","prompt":"x","non_idempotent":true})", 400, "missing_key");
    expectRefusal(R"({"kind":"unheard","prompt":"x"})", 404, "no_matching_intent");
    expectRefusal(R"({"kind":"plain","prompt":")" + std::string(500'000, 'x') + "\"}", 413, "prompt_too_large");
    CHECK(fixture.call("POST", "/v1/requests", R"({"kind":"plain","prompt":"x"})", "guess").status == 403);
    CHECK(fixture.call("GET", "/v1/nowhere").status == 404);
    CHECK(fixture.engine.calls() == 0);
    CHECK(fixture.call("GET", "/healthz").status == 200);
}

TEST_CASE("router fails a request by its deadline if the engine refuses or never answers")
{
    constexpr const char *Full = R"({"kind":"full","prompt":"x","max_tokens":1,"deadline_ms":300})";
    constexpr const char *Silent = R"({"kind":"silent","prompt":"x","max_tokens":1,"deadline_ms":300})";
    RouterFixture fixture;
    SECTION("refused: not run")
    {
        CHECK_THAT(fixture.call("POST", "/v1/requests", Full).body, Contains(R"("verdict":"not_run")"));
        CHECK(fixture.engine.calls() > 0);
        CHECK(fixture.engine.unansweredCalls() == 0);
    }
    SECTION("never answered: may have run")
    {
        CHECK_THAT(fixture.call("POST", "/v1/requests", Silent).body, Contains(R"("verdict":"may_have_run")"));
        CHECK(fixture.engine.unansweredCalls() == 1);
    }
    // Refusals may exclude the engine from routing for a while, so that the second request never reaches it.
    SECTION("unanswered after refusals: the verdict tells whether the engine was called")
    {
        fixture.call("POST", "/v1/requests", Full);
        const auto silent = fixture.call("POST", "/v1/requests", Silent).body;
        const bool reportedNotRun = silent.find(R"("verdict":"not_run")") != std::string::npos;
        CHECK(reportedNotRun == (fixture.engine.unansweredCalls() == 0));
    }
}

TEST_CASE("router requires the operator token for operator resources")
{
    RouterFixture fixture;
    CHECK(fixture.call("GET", "/v1/operator/status").status == 401);
    const auto status = fixture.call("GET", "/v1/operator/status", "", OperatorToken);
    CHECK_THAT(status.body, Contains(R"("config_version":1)") && Contains(R"("backend":"engine-1")"));
    fixture.call("POST", "/v1/requests", R"({"kind":"plain","prompt":"x"})");
    const auto explained = fixture.call("GET", "/v1/operator/explain?request=entry-1.1.1", "", OperatorToken);
    CHECK_THAT(explained.body, Contains("engine-1"));
}

TEST_CASE("draining router leaves discovery and ends when no request is open")
{
    RouterFixture fixture;
    REQUIRE_THAT(fixture.call("GET", "/v1/endpoints").body, Contains(fixture.router->address()));
    std::promise<void> drained;
    fixture.router->onDrained([&drained] { drained.set_value(); });
    auto open = std::async(std::launch::async, [&fixture] {
        return fixture.call(
            "POST", "/v1/requests", R"({"kind":"silent","prompt":"x","max_tokens":1,"deadline_ms":400})");
    });
    while (fixture.engine.calls() == 0) {
        REQUIRE(open.wait_for(std::chrono::milliseconds(1)) == std::future_status::timeout);
    }
    fixture.router->drain();
    REQUIRE_THAT(fixture.call("GET", "/v1/endpoints").body, Contains(R"("endpoints":[])"));
    drained.get_future().wait();
    CHECK(fixture.router->openRequests() == 0);
    CHECK_THAT(open.get().body, Contains(R"("verdict":"may_have_run")"));
    CHECK_THAT(fixture.call("POST", "/v1/requests", R"({"kind":"plain","prompt":"x"})").body, Contains("stopping"));
}

TEST_CASE("drain plan admits requests until discovery answers cached by callers have expired")
{
    using namespace std::chrono_literals;
    pomelorouter::DrainPlan plan;
    const Instant start{1s};
    REQUIRE(plan.admits(start));
    REQUIRE_FALSE(plan.finished(start, 0));
    plan.start(start, 10s, 3s, true);
    plan.start(start + 5s, 10s, 3s, true);
    REQUIRE(plan.admits(start + 12s));
    REQUIRE_FALSE(plan.finished(start + 12s, 0));
    REQUIRE_FALSE(plan.admits(start + 13s));
    REQUIRE_FALSE(plan.finished(start + 13s, 1));
    REQUIRE(plan.finished(start + 13s, 0));
    pomelorouter::DrainPlan undiscovered;
    undiscovered.start(start, 10s, 3s, false);
    REQUIRE(undiscovered.finished(start, 0));
}

// Guards against closing callers' connections without an answer when an operator ends a drain.
TEST_CASE("a drain that is ended gives up what is open and admits nothing")
{
    using namespace std::chrono_literals;
    pomelorouter::DrainPlan plan;
    const Instant start{1s};
    plan.endAt(start);
    REQUIRE_FALSE(plan.givesUp(start));
    plan.start(start, 10s, 3s, true);
    plan.endAt(start + 1s);
    plan.endAt(start + 2s);
    CHECK_FALSE(plan.admits(start + 1s));
    CHECK(plan.givesUp(start + 1s));
    CHECK(plan.finished(start + 1s, 0));
    CHECK_FALSE(plan.finished(start + 1s, 1));
    CHECK(plan.finished(start + 1250ms, 1));
}

// Guards against requests that are open when the supervisor kills a router whose drain has no end.
TEST_CASE("a drain gives up what is open at its limit")
{
    using namespace std::chrono_literals;
    const Instant start{1s};
    pomelorouter::DrainPlan unlimited;
    unlimited.start(start, 10s, 3s, true);
    CHECK_FALSE(unlimited.givesUp(start + 24h));
    CHECK_FALSE(unlimited.finished(start + 24h, 1));

    pomelorouter::DrainPlan plan;
    plan.start(start, 10s, 3s, true, 5s);
    CHECK(plan.admits(start + 4s));
    CHECK_FALSE(plan.givesUp(start + 4s));
    CHECK_FALSE(plan.admits(start + 5s));
    CHECK(plan.givesUp(start + 5s));
    CHECK(plan.finished(start + 5250ms, 1));
}

#include "eventsplitter.h"

#include "pomeloentry/fleetcopy.h"
#include "pomeloentry/peertable.h"
#include "pomeloentry/wire.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <functional>
#include <random>

using namespace pomeloentry;

/// Seeded fuzzing of the decoders of bytes that others write. POMELO_FUZZ_ROUNDS sets the number of inputs for each
/// decoder, POMELO_FUZZ_SEED the first seed; with sanitizers it is run for longer by hand.
namespace
{

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Changes valid inputs: bytes, lengths and numbers, repeated and nested parts, and pieces of other inputs.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string mutate(const std::vector<std::string> &samples)
    {
        auto text = samples[draw(samples.size())];
        for (auto count = draw(6); count > 0; --count) {
            mutateOnce(text, samples[draw(samples.size())]);
        }
        return text;
    }

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

private:
    void mutateOnce(std::string &text, const std::string &other)
    {
        static const std::vector<std::string> Tokens{"\"",         "\\",
                                                     "\\ud800",    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
                                                     "]]]]",       "{",
                                                     "}",          ":",
                                                     ",",          "1e999",
                                                     "-1",         "99999999999999999999",
                                                     "4294967296", "null",
                                                     "true",       "\r\n",
                                                     "\n\n",       std::string(1, '\0'),
                                                     "\xff\xfe",   "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x7f"};
        const auto position = draw(text.size() + 1);
        switch (draw(6)) {
        case 0:
            text.insert(position, Tokens[draw(Tokens.size())]);
            break;
        case 1:
            text.erase(position, draw(20));
            break;
        case 2:
            if (position < text.size()) {
                text[position] = static_cast<char>(draw(256));
            }
            break;
        case 3:
            text.insert(position, text.substr(draw(text.size() + 1), draw(200)));
            break;
        case 4:
            text.replace(position, draw(10), other.substr(draw(other.size() + 1), draw(100)));
            break;
        default:
            text.resize(position);
            break;
        }
    }

    std::mt19937_64 m_random;
};

const std::string Backend = R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":8,"state":"ready","born":5})";
const std::string Config =
    R"({"version":7,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/x/","kind":"streaming",
 "timeoutMs":900,"targetLatencyMs":300,"trafficSplit":[{"service":"s","weight":90}],"maxAttempts":2,"gapAimMs":250}],
 "services":[{"name":"s","maxConnections":9,"engine":{"slots":16,"kvCapacityTokens":405000,"stride":34,"step_ms":1.31,
 "read_per_s":154000.0,"pairs_per_m":0.162}}],"limits":{"idleTimeoutMs":5000},"tenants":[{"name":"o","apiKeys":["k"]}]})";

std::string objectText(const std::string &spec)
{
    return R"({"metadata":{"name":"i-1","revision":531},"spec":)" + spec + R"(,"born":9})";
}

void fuzz(const std::vector<std::string> &samples, const std::function<void(const std::string &)> &decode)
{
    const auto rounds = numberFrom("POMELO_FUZZ_ROUNDS", 10'000);
    const auto firstSeed = numberFrom("POMELO_FUZZ_SEED", 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + rounds; ++seed) {
        CAPTURE(seed);
        decode(Mutator(seed).mutate(samples));
    }
}

/// Decodes header fields written one on a line.
pomeloport::HttpFields fieldsOf(const std::string &text)
{
    pomeloport::HttpFields result;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find('\n', begin), text.size());
        const auto line = text.substr(begin, end - begin);
        const auto colon = std::min(line.find(": "), line.size());
        result.emplace_back(line.substr(0, colon), line.substr(std::min(colon + 2, line.size())));
        begin = end + 1;
    }
    return result;
}

} // namespace

TEST_CASE("no reply of the store ends the process or reports more than it holds", "[malformed]")
{
    const auto operation = GENERATE(pomeloport::StoreOperation::List,
                                    pomeloport::StoreOperation::Watch,
                                    pomeloport::StoreOperation::Get,
                                    pomeloport::StoreOperation::Update);
    const auto object = objectText(Backend);
    const std::vector<std::string> samples{R"({"items":[)" + object + "," + object + R"(],"hasMore":true,"asOf":7})",
                                           R"({"events":[{"deleted":true,"object":)" + object + R"(}],"asOf":533})",
                                           object};
    const auto codec = wire::storeCodec();
    fuzz(samples, [&](const std::string &body) {
        pomeloport::StoreCall call;
        call.operation = operation;
        call.kind = "servers";
        const auto reply = codec.reply(call, pomeloport::HttpReply{200, body, {}}, true);
        REQUIRE(reply.objects.size() <= body.size());
        for (const auto &stored : reply.objects) {
            REQUIRE(stored.value.size() <= body.size() + 32);
            wire::decodeBackend(stored.name, stored.value);
        }
    });
}

TEST_CASE("no entry or configuration ends the process or yields values out of range", "[malformed]")
{
    fuzz({Backend}, [](const std::string &text) {
        const auto entry = wire::decodeBackend("i-1", text);
        REQUIRE((!entry || (entry->slots <= 1'000'000 && pomeloport::isNumericAddress(entry->address))));
    });
    fuzz({Config}, [](const std::string &text) {
        const auto table = wire::decodeRouting(text);
        if (table) {
            table->match("a.example", "/x/y");
            for (const auto &[name, service] : table->services) {
                REQUIRE((!service.engine || service.engine->prefillTokensPerMs > 0));
            }
        }
    });
}

TEST_CASE("no answer, report or request ends the process", "[malformed]")
{
    fuzz({R"({"tickets":[{"id":"a","state":"used"},{"id":"b","state":"held"}]})"},
         [](const std::string &text) { wire::decodeUsedReservations(text); });
    fuzz({"Attempt-Id: 1\nRetry-After: 4.0\nServer-Leaving: 1\nNot-Executed: 1\nResponse-Seal: s\nContent-Type: "
          "text/plain"},
         [](const std::string &text) {
             const auto answer = wire::decodeAnswer({503, "", fieldsOf(text)});
             REQUIRE(answer.notice.notice.pause.value_or(Duration::zero()) >= Duration::zero());
         });
    fuzz({"Host: a:80\nAttempt-Id: 1\nDeadline-Ms: 900\nToken-Usage: 1460,80\nPrompt-Prefix: "
          "a:1,b:2,c:3\nLast-Event-Id: 2"},
         [](const std::string &text) {
             pomeloport::HttpRequest request;
             request.target = "/x";
             request.fields = fieldsOf(text);
             const auto decoded = wire::decodeRequest(request);
             REQUIRE((!decoded || decoded->sharedParts.size() <= wire::MaximumSharedParts));
         });
}

TEST_CASE("no stream of events ends the process or grows beyond its limit", "[malformed]")
{
    fuzz({"id: 1\ndata: x\n\nid:2\r\ndata: y\r\n\r\nid: 3\ndata: z\n\n"}, [](const std::string &text) {
        EventSplitter splitter;
        std::size_t bytes = 0;
        for (std::size_t begin = 0; begin < text.size(); begin += 7) {
            for (const auto &event : splitter.feed(std::string_view(text).substr(begin, 7))) {
                bytes += event.bytes.size();
            }
        }
        REQUIRE(bytes <= text.size());
    });
}

TEST_CASE("no message of another instance ends the process", "[malformed]")
{
    PeerMessage message;
    message.description = PeerDescription{"10.0.0.2:80", "a", 120, 3, {{"10.0.0.3:7000", "a", true}}};
    message.work.items.push_back({});
    message.notices = {{7, true, 0}};
    const auto work = encodePeerMessage(message);
    message.notices.clear();
    fuzz({work, encodePeerMessage(message)}, [](const std::string &bytes) {
        if (const auto decoded = decodePeerMessage(bytes)) {
            PeerTable table("10.0.0.1:7000", "a");
            table.applyMessage({"b", 1}, "10.0.0.2:7000", *decoded, Instant(std::chrono::hours(1)));
            WorkLedger ledger;
            ledger.merge({"b", 1}, decoded->work, Instant(std::chrono::hours(1)), {});
            ServerNotices notices;
            for (const auto &notice : decoded->notices) {
                notices.heard(
                    notice.server, {notice.leaving, std::nullopt}, NoticeSource::Peer, Instant(std::chrono::hours(1)));
            }
        }
    });
    FleetCopy copy;
    copy.backends = DocumentCopy{9, 8, {{"i-1", {8, Backend}}, {"i-2", {7, Backend}}}, {{"i-2", 1500}}};
    fuzz({encodeFleetCopy(copy)}, [](const std::string &bytes) {
        const auto decoded = decodeFleetCopy(bytes);
        if (decoded && decoded->backends) {
            FleetDocuments documents;
            documents.merge(*decoded->backends, std::nullopt, Instant(std::chrono::hours(1)));
        }
    });
}

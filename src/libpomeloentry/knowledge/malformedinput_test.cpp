#include "knowledge/inputmutator.h"
#include "session/eventsplitter.h"

#include "pomeloentry/knowledge/fleetcopy.h"
#include "pomeloentry/knowledge/peertable.h"

using namespace pomeloentry;
using detail::fuzz;

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
    message.known.evacuations.revision = 1'000'000;
    const auto evacuations = encodePeerMessage(message);
    message.work.items[0].origin = {40'000, 2, ServedOften::TooSeldom};
    const auto origins = encodePeerMessage(message);
    message.known.routing.era = 3;
    message.known.retained = 70'000;
    const auto eras = encodePeerMessage(message);
    message.known = {};
    message.work.items[0].origin = {};
    message.known.evacuations = {};
    message.notices.clear();
    fuzz({work, evacuations, origins, eras, encodePeerMessage(message)}, [](const std::string &bytes) {
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
    copy.backends = DocumentCopy{{2, 9},
                                 {2, 8},
                                 {{"i-1", {{2, 8}, "first"}}, {"i-2", {{1, 7}, "second"}}},
                                 {{"i-2", 1500}},
                                 {{"i-1", {{{2, 8}, "earlier"}, 900}}},
                                 {{"i-3", {{{2, 9}, "third"}, 700}}}};
    const auto backends = encodeFleetCopy(copy);
    copy.evacuations = DocumentCopy{{2, 12}, {2, 11}, {{"zone-a", {{2, 11}, "{}"}}}, {}, {}, {}};
    fuzz({backends, encodeFleetCopy(copy)}, [](const std::string &bytes) {
        const auto decoded = decodeFleetCopy(bytes);
        for (const auto &kind :
             {decoded ? decoded->backends : std::nullopt, decoded ? decoded->evacuations : std::nullopt}) {
            FleetDocuments documents;
            if (kind) {
                documents.merge(*kind, std::nullopt, Instant(std::chrono::hours(1)));
            }
        }
    });
}

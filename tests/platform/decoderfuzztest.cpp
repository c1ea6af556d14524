#include "catalog/boundedjson.h"
#include "leadership/leadershiprecord.h"
#include "leadership/memberrecord.h"
#include "linecodec.h"
#include "net/streamconnection.h"
#include "pool/feedrequest.h"
#include "pool/feedupdate.h"
#include "pool/relayedroute.h"
#include "storedecoder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

/// Every decoder of input from outside gets truncated, oversized, wrongly typed, deeply nested and duplicated input.
/// Environment variable JUJUBEKEEL_FUZZ_RUNS: inputs for each decoder.
namespace Jujubekeel {

namespace {

constexpr int defaultRuns = 3000;

int fuzzRuns()
{
    const char *runs = std::getenv("JUJUBEKEEL_FUZZ_RUNS");
    return runs == nullptr ? defaultRuns : std::atoi(runs);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Changes a valid text in one of the ways in which other writers get it wrong.
std::string mutated(std::string text)
{
    static const std::vector<std::string> values{
        "null",        "-1",           "1e300",    "18446744073709551616", "true", "\"x\"", "[]", "{}", "0.5",
        "\"\\ud800\"", "\"\xff\xfe\"", nested(40), "-9223372036854775809"};
    const auto position = [&] { return *rc::gen::inRange<std::size_t>(0, text.size() + 1); };
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return text.substr(0, position());
    case 1: {
        const std::size_t at = position();
        return text.insert(at, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    }
    case 2: { // another value in place of the one after a colon
        std::vector<std::size_t> colons;
        for (std::size_t at = text.find(':'); at != std::string::npos; at = text.find(':', at + 1))
            colons.push_back(at + 1);
        if (colons.empty())
            return text;
        const std::size_t from = colons.at(*rc::gen::inRange<std::size_t>(0, colons.size()));
        const std::size_t to = std::min(text.find_first_of(",}", from), text.size());
        return text.replace(from, to - from, *rc::gen::elementOf(values));
    }
    case 3: // a part twice
    {
        const std::size_t from = position();
        const std::string part = text.substr(from, *rc::gen::inRange<std::size_t>(0, 200));
        return text.insert(from, part);
    }
    case 4: {
        const std::size_t at = position();
        if (at < text.size())
            text[at] = *rc::gen::arbitrary<char>();
        return text;
    }
    case 5: {
        const std::size_t from = position();
        return text.erase(from, *rc::gen::inRange<std::size_t>(0, 40));
    }
    default:
        return *rc::gen::elementOf(values) + text;
    }
}

/// Runs the decoder on changed forms of a valid text; it must return, whatever the text.
void fuzz(const std::string &valid, const std::function<void(const std::string &text)> &decode)
{
    const int runs = fuzzRuns();
    const auto result = rc::detail::checkTestable(
        [&] {
            std::string text = valid;
            const int changes = *rc::gen::inRange(0, 4);
            for (int change = 0; change < changes; ++change)
                text = mutated(text);
            decode(text);
        },
        rc::detail::TestMetadata{},
        [&] {
            rc::detail::TestParams params = rc::detail::configuration().testParams;
            params.maxSuccess = runs;
            return params;
        }());
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>());
}

const std::string entryText =
    R"({"Service":"huvo","Address":"10.1.0.9:8080","Zone":"d0","Version":"v1","Slots":3,"State":"ready",)"
    R"("ColdLeftMs":0,"DbRole":"replica","Seq":4,"born":1700000000123})";
const std::string routesText =
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"db1","Service":"huvo","Kind":"bounded_stale","MaxStalenessMs":1500,)"
    R"("TimeoutMs":1000,"GoalMs":400,"Priority":1}],"Services":[{"Name":"huvo","MaxConns":57}],)"
    R"("Limits":{"TxIdleMs":3000}})";

TEST(DecoderFuzz, StorePages)
{
    const std::string page = R"({"items":[{"meta":{"Name":"i-1","Revision":12,"Finalizers":[]},"spec":)" + entryText
                             + R"(}],"More":false,"CurrentRev":40})";
    const std::string events =
        R"({"events":[{"Object":{"meta":{"Name":"main","Revision":12},"spec":{}},"Deleted":false}],"CurrentRev":9})";
    for (const std::string &valid : {page, events}) {
        fuzz(valid, [](const std::string &text) {
            FailureReason reason;
            const auto decoded = decodeStorePage(text, reason);
            for (const StoreObject &object : decoded ? decoded->objects : std::vector<StoreObject>{})
                [[maybe_unused]] const auto entry = decodeServerEntry(object, reason);
            [[maybe_unused]] const auto object = decodeStoreObject(text, reason);
        });
    }
}

TEST(DecoderFuzz, EntriesAndRoutes)
{
    fuzz(entryText, [](const std::string &text) {
        FailureReason reason;
        const auto entry = decodeServerEntry(StoreObject{.name = "i-1", .revision = 1, .content = text}, reason);
        RC_ASSERT((!entry || parseEndpoint(entry->address).has_value()));
        RC_ASSERT((entry || !reason.text().empty()));
    });
    fuzz(routesText, [](const std::string &text) {
        FailureReason reason;
        const auto routes = decodeRoutes(StoreObject{.name = "main", .revision = 1, .content = text}, reason);
        RC_ASSERT((routes || !reason.text().empty()));
        if (routes && routes->find("db1")) {
            RC_ASSERT(routes->find("db1")->statementTimeout.count() >= 0);
            RC_ASSERT(routes->find("db1")->maxStaleness.count() >= 0);
        }
    });
}

TEST(DecoderFuzz, FleetRecords)
{
    fuzz(LeadershipRecord{.epoch = 3, .primary = "i-1", .holder = "a"}.toText(), [](const std::string &text) {
        const auto record = LeadershipRecord::fromText(text);
        RC_ASSERT((!record || LeadershipRecord::fromText(record->toText()).has_value()));
    });
    fuzz(MemberRecord{.incarnation = 3, .relayAddress = "10.0.0.1:7440", .released = {{"s", 4}}}.toText(),
         [](const std::string &text) {
             const auto record = MemberRecord::fromText(text);
             RC_ASSERT((!record || MemberRecord::fromText(record->toText()).has_value()));
         });
}

TEST(DecoderFuzz, MessagesBetweenInstances)
{
    fuzz(
        RelayedRoute{.route = Route{.name = "r", .database = "db", .service = "s"}, .mark = LogPosition{3, 9}}.toText(),
        [](const std::string &text) {
            const auto route = RelayedRoute::fromText(text);
            RC_ASSERT((!route || RelayedRoute::fromText(route->toText()).has_value()));
        });
    fuzz(FeedRequest{.routeVersion = 3, .memberRevision = 4, .memberDigest = 5}.toText(),
         [](const std::string &text) { [[maybe_unused]] const auto request = FeedRequest::fromText(text); });
    auto routes = std::make_shared<RouteTable>(4);
    routes->addRoute(Route{.name = "r", .database = "db", .service = "s"});
    routes->addService("s", {});
    const FeedUpdate update{
        .routeVersion = 4, .routes = routes, .memberRevision = 9, .members = {{FleetObject{.name = "member.a"}}}};
    fuzz(update.toText(100000), [](const std::string &text) {
        const auto decoded = FeedUpdate::fromText(text);
        RC_ASSERT((!decoded || FeedUpdate::fromText(decoded->toText(100000)).has_value()));
    });
}

TEST(DecoderFuzz, LinesOfCallersAndServers)
{
    for (const std::string valid :
         {"QUERY 5c0e PREPARE s1 WRITE q2c", "QUERY 5c0e EXECUTE s1 1a4 data", "CONNECT lepu270 u3f1",
          "ERROR READONLY i-7f3a91c2", "READY I 3.1209", "ROW replica 3 3.1209 0 12 2 17", "DONE 7.1f3.c.2b"}) {
        fuzz(valid, [](const std::string &text) {
            const CallerLine line = decodeCallerLine(text);
            // What is passed on to a server must be the caller's text.
            if (line.kind == CallerLineKind::Run && line.statement.kind == StatementKind::Read)
                RC_ASSERT(text.ends_with(line.statement.text));
            [[maybe_unused]] const auto message = decodeServerLine(text);
        });
    }
}

// Guards against a message that arrives in pieces being read differently from one that arrives whole.
TEST(DecoderFuzz, LinesAreTheSameAtAnyByteSplit)
{
    fuzz("QUERY a READ 1\r\nQUERY b WRITE 2 x\r\n\r\nBYE\r\n", [](const std::string &text) {
        const auto linesOf = [](const std::vector<std::string> &parts) {
            LineSplitter splitter;
            std::vector<std::string> lines;
            for (const std::string &part : parts) {
                splitter.append(part);
                while (const auto line = splitter.next())
                    lines.emplace_back(*line);
            }
            return lines;
        };
        std::vector<std::string> bytes;
        for (const char byte : text)
            bytes.emplace_back(1, byte);
        RC_ASSERT(linesOf({text}) == linesOf(bytes));
        const std::size_t split = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        RC_ASSERT(linesOf({text}) == linesOf({text.substr(0, split), text.substr(split)}));
    });
}

// Guards against a short text of brackets exhausting the stack: an entry nested 200,000 levels deep ended every process
// that watched the entries.
TEST(DecoderFuzz, DeepNestingIsRejected)
{
    constexpr std::size_t depth = 200000;
    EXPECT_FALSE(parseBoundedJson(nested(depth)));
    EXPECT_TRUE(parseBoundedJson(nested(30)));
    FailureReason reason;
    EXPECT_FALSE(decodeStorePage(R"({"items":[{"meta":{"Name":"i-1","Revision":12},"spec":)" + nested(depth)
                                     + R"(}],"CurrentRev":40})",
                                 reason));
    EXPECT_FALSE(MemberRecord::fromText(nested(depth)));
    EXPECT_FALSE(FeedUpdate::fromText(nested(depth)));
}

// Guards against an entry of another writer ending the process: its address was parsed only when the connection was
// opened, and the exception left the event loop.
TEST(DecoderFuzz, EntriesWithAnInvalidAddressAreRejected)
{
    for (const std::string address : {"", "10.1.0.9", "10.1.0.9:", "10.1.0.9:99999", "host:80", "10.1.0.9:8x", ":80"}) {
        FailureReason reason;
        std::string text = entryText;
        text.replace(text.find("10.1.0.9:8080"), 13, address);
        EXPECT_FALSE(decodeServerEntry(StoreObject{.name = "i-1", .content = text}, reason)) << address;
        EXPECT_NE(reason.text().find("invalid address"), std::string::npos) << address;
    }
}

// Guards against durations and counts that overflow, or lose their fraction without notice.
TEST(DecoderFuzz, NumbersOutOfRangeAreRejected)
{
    const auto rejected = [](const std::string &from, const std::string &to) {
        std::string text = routesText;
        text.replace(text.find(from), from.size(), to);
        FailureReason reason;
        return decodeRoutes(StoreObject{.name = "main", .content = text}, reason) == nullptr;
    };
    EXPECT_TRUE(rejected(R"("TimeoutMs":1000)", R"("TimeoutMs":1e300)"));
    EXPECT_TRUE(rejected(R"("TimeoutMs":1000)", R"("TimeoutMs":-5)"));
    EXPECT_TRUE(rejected(R"("Version":7)", R"("Version":7.5)"));
    EXPECT_TRUE(rejected(R"("MaxConns":57)", R"("MaxConns":-57)"));
    EXPECT_TRUE(rejected(R"("MaxConns":57)", R"("MaxConns":5000000000)"));
    EXPECT_FALSE(rejected(R"("TimeoutMs":1000)", R"("TimeoutMs":1000.5)"));
}

} // namespace

} // namespace Jujubekeel

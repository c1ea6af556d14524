#include "catalog/boundedjson.h"
#include "catalog/jsonslices.h"
#include "catalog/tablechanges.h"
#include "catalog/tabledigest.h"
#include "core/compressedtext.h"
#include "leadership/leadershiprecord.h"
#include "leadership/memberrecord.h"
#include "linecodec.h"
#include "net/streamconnection.h"
#include "pool/feedrequest.h"
#include "pool/feedupdate.h"
#include "pool/relayedroute.h"
#include "settingsreader.h"
#include "storedecoder.h"
#include "support/fuzzing.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

/// Every decoder of input from outside gets truncated, oversized, wrongly typed, deeply nested and duplicated input.
namespace Jujubekeel {

namespace {

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
        std::vector<std::string> skipped;
        const auto routes = decodeRoutes(StoreObject{.name = "main", .revision = 1, .content = text}, reason, skipped);
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
    auto later = std::make_shared<RouteTable>(5);
    later->addRoute(Route{.name = "r", .database = "db2", .service = "s"});
    OrganisationTable organisations(5);
    organisations.add({.name = "guild", .limit = RateLimit{.operationsPerSecond = 2}},
                      std::vector{KeyDigest::ofKey("a")});
    const FeedUpdate differences{
        .routeVersion = 5,
        .routeDifference = std::make_shared<const RouteDifference>(
            RouteDifference::make(4, TableChanges::between(*routes, *later), *later, digestOf(*later))),
        .organisationDifference = std::make_shared<const OrganisationDifference>(OrganisationDifference::make(
            4, TableChanges::between(OrganisationTable(4), organisations), organisations, digestOf(organisations)))};
    const auto decode = [&](const std::string &text) {
        const auto decoded = FeedUpdate::fromText(text);
        if (decoded && decoded->routeDifference) {
            const auto applied = decoded->routeDifference->appliedTo(*routes);
            RC_ASSERT((!applied || digestOf(*applied) == decoded->routeDifference->digest));
        }
        if (decoded && decoded->organisationDifference)
            static_cast<void>(decoded->organisationDifference->appliedTo(OrganisationTable(4)));
        RC_ASSERT((!decoded || FeedUpdate::fromText(decoded->toText(100000)).has_value()));
    };
    fuzz(differences.toText(100000), decode);
    // Compressed reports, damaged before and after compression.
    for (int index = 0; index < 30; ++index)
        later->addRoute(Route{.name = "r", .database = "d" + std::to_string(index), .service = "s"});
    const std::string compressed = FeedUpdate{.routes = later}.tablesText(100000, true);
    ASSERT_NE(compressed.find("compressed"), std::string::npos);
    fuzz(FeedUpdate{}.toTextWith(compressed), decode);
    fuzz("{" + differences.tablesText(100000, false).substr(1) + "}", [&](const std::string &text) {
        decode(FeedUpdate{}.toTextWith(",\"compressed\":{\"size\":" + std::to_string(text.size()) + ",\"zlib\":\""
                                       + compressText(text) + "\"}"));
    });
}

// Guards against a report that expands to more than a message may hold: the size is checked before anything is
// decompressed.
TEST(DecoderFuzz, ReportsThatExpandTooFarAreRejected)
{
    const auto reportOf = [](std::size_t size) {
        const std::string text = "{" + std::string(size - 2, ' ') + "}";
        return FeedUpdate{}.toTextWith(",\"compressed\":{\"size\":" + std::to_string(size) + ",\"zlib\":\""
                                       + compressText(text) + "\"}");
    };
    constexpr std::size_t bound = std::size_t{1024} * 1024;
    EXPECT_TRUE(FeedUpdate::fromText(reportOf(bound)));
    EXPECT_FALSE(FeedUpdate::fromText(reportOf(bound + 1)));
    EXPECT_FALSE(FeedUpdate::fromText(
        FeedUpdate{}.toTextWith(R"(,"compressed":{"size":18446744073709551615,"zlib":"eAEAAAD//wAAAAE="})")));
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
    EXPECT_TRUE(parseBoundedJson(nested(32)));
    EXPECT_FALSE(parseBoundedJson(nested(33)));
    // Brackets in strings are no levels, and an escaped quote does not end a string.
    const std::string brackets(100, '[');
    EXPECT_TRUE(parseBoundedJson("[\"" + brackets + "\",{\"\\\"" + brackets + "\":\"\\\\\"}]"));
    EXPECT_FALSE(parseBoundedJson("[\"\\\\\"," + nested(32) + "]"));
    FailureReason reason;
    const auto page = decodeStorePage(R"({"items":[{"meta":{"Name":"i-1","Revision":12},"spec":)" + nested(depth)
                                          + R"(},{"meta":{"Name":"i-2","Revision":13},"spec":)" + entryText
                                          + R"(}],"CurrentRev":40})",
                                      reason);
    ASSERT_TRUE(page && page->objects.size() == 2);
    EXPECT_FALSE(decodeServerEntry(page->objects[0], reason));
    EXPECT_TRUE(decodeServerEntry(page->objects[1], reason));
    EXPECT_FALSE(MemberRecord::fromText(nested(depth)));
    EXPECT_FALSE(FeedUpdate::fromText(nested(depth)));
}

// Guards against a list of many objects: its parts took far more memory than its text, and the parser took a time that grew
// with the square of their number, 268 s for 340,000 of them, while the event loop stood still.
TEST(DecoderFuzz, ManyValuesAreReadAtOnceOrRejected)
{
    const auto list = [](std::size_t objects) {
        std::string text = "[{}";
        for (std::size_t index = 1; index < objects; ++index)
            text += ",{}";
        return text + "]";
    };
    EXPECT_TRUE(parseBoundedJson(list(99'000)));
    EXPECT_FALSE(parseBoundedJson(list(101'000)));
    EXPECT_TRUE(parseBoundedJson("\"" + std::string(300'000, ',') + "\""));
}

// Guards against limits of stored objects that are off by one.
TEST(DecoderFuzz, StoredObjectsAroundTheLimits)
{
    const auto list = [](std::size_t count, const std::string &value) {
        std::string text = "[";
        for (std::size_t index = 0; index < count; ++index)
            text += (index == 0 ? "" : ",") + value;
        return text + "]";
    };
    for (const std::size_t depth : {31U, 32U, 33U})
        EXPECT_EQ(parseBoundedJson(nested(depth)).has_value(), depth <= 32) << depth;
    for (const std::size_t count : {199'999U, 200'000U, 200'001U}) {
        // The list itself is a value, too.
        EXPECT_EQ(parseBoundedJson(list(count - 1, "0")).has_value(), count <= 200'000) << count;
        EXPECT_EQ(sliceJsonArray(list(count, "0")).has_value(), count <= 200'000) << count;
    }
    for (const std::size_t count : {9'999U, 10'000U, 10'001U}) {
        std::string members = "{\"m\":0";
        for (std::size_t index = 1; index < count; ++index)
            members += ",\"" + std::to_string(index) + "\":0";
        EXPECT_EQ(sliceJsonObject(members + "}").has_value(), count <= 10'000) << count;
        FailureReason reason;
        std::vector<std::string> skipped;
        const std::string text = R"({"Version":7,"Routes":[],"Services":[],"Tenants":[{"Name":"a","ApiKeys":)"
                                 + list(count, "\"key\"") + "}]}";
        EXPECT_TRUE(decodeRoutes(StoreObject{.name = "main", .content = text}, reason, skipped));
        EXPECT_EQ(skipped.empty(), count <= 10'000) << count;
    }
    for (const std::size_t size : {LineSplitter::lineLimit - 1, LineSplitter::lineLimit, LineSplitter::lineLimit + 1}) {
        LineSplitter splitter;
        splitter.append(std::string(size, 'x') + "\r\n");
        EXPECT_EQ(splitter.next().has_value(), size <= LineSplitter::lineLimit) << size;
        EXPECT_EQ(splitter.isOverlong(), size > LineSplitter::lineLimit) << size;
    }
}

// Guards against an entry of another writer ending the process: its address was parsed only when the connection was
// opened, and the exception left the event loop.
TEST(DecoderFuzz, EntriesWithAnInvalidAddressAreRejected)
{
    for (const std::string address : {"", "10.1.0.9", "10.1.0.9:", "10.1.0.9:99999", "10.1.0.9:0", "10.1.0.9:-1",
                                      "host:80", "10.1.0.9:8x", ":80"}) {
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
        std::vector<std::string> skipped;
        return decodeRoutes(StoreObject{.name = "main", .content = text}, reason, skipped) == nullptr;
    };
    EXPECT_TRUE(rejected(R"("TimeoutMs":1000)", R"("TimeoutMs":1e300)"));
    EXPECT_TRUE(rejected(R"("TimeoutMs":1000)", R"("TimeoutMs":-5)"));
    EXPECT_TRUE(rejected(R"("Version":7)", R"("Version":7.5)"));
    EXPECT_TRUE(rejected(R"("MaxConns":57)", R"("MaxConns":-57)"));
    EXPECT_TRUE(rejected(R"("MaxConns":57)", R"("MaxConns":5000000000)"));
    EXPECT_FALSE(rejected(R"("TimeoutMs":1000)", R"("TimeoutMs":1000.5)"));
}

const std::string settingsText = R"(NodeName: "a"
Zone: "d0"
Region: "north"
Zones: { d0: "north", d1: "south" }
Ip: "10.0.0.1"
PortRange: [7210, 7219]
Listen: { Front: "10.0.0.1:7200", ReadyAddr: "10.0.0.1:7201" }
Bounds: { GraceS: 6 }
Contracts: [tenants, pool]
ConnectionLingerMs: 300
platform: { Address: "10.0.0.9:7100" }
CloudApi: { Address: "10.0.0.9:7101" }
Limits: { MemoryMb: 160, MaxFds: 4000, GreetingMs: 30000, StoreAnswerKb: 8192 }
)";

// Guards against settings that end the process with another error than a message, or take effect out of range.
TEST(DecoderFuzz, Settings)
{
    fuzz(settingsText, [](const std::string &text) {
        FailureReason reason;
        const auto settings = decodeEntrySettings(text, reason);
        RC_ASSERT((settings || !reason.text().empty()));
        if (!settings)
            return;
        RC_ASSERT(settings->memoryMb >= 32U);
        RC_ASSERT(settings->storeAnswerBytes >= std::size_t{1100} * 1024);
        RC_ASSERT(settings->stopGrace.count() >= 0);
        RC_ASSERT(settings->stopGrace <= std::chrono::hours(1));
    });
}

// Guards against values around and far outside their limits.
TEST(DecoderFuzz, SettingsOutOfRangeAreRejected)
{
    const auto accepted = [](const std::string &from, const std::string &to) {
        std::string text = settingsText;
        text.replace(text.find(from), from.size(), to);
        FailureReason reason;
        return decodeEntrySettings(text, reason).has_value();
    };
    EXPECT_TRUE(accepted("MemoryMb: 160", "MemoryMb: 32"));
    for (const char *value : {"MemoryMb: 31", "MemoryMb: -1", "MemoryMb: 4294967296", "MemoryMb: x"})
        EXPECT_FALSE(accepted("MemoryMb: 160", value)) << value;
    EXPECT_TRUE(accepted("StoreAnswerKb: 8192", "StoreAnswerKb: 1100"));
    EXPECT_FALSE(accepted("StoreAnswerKb: 8192", "StoreAnswerKb: 1099"));
    for (const char *value : {"GraceS: 0", "GraceS: 0.5", "GraceS: 3600"})
        EXPECT_TRUE(accepted("GraceS: 6", value)) << value;
    for (const char *value : {"GraceS: -1", "GraceS: 3601", "GraceS: 1e300", "GraceS: .nan", "GraceS: .inf"})
        EXPECT_FALSE(accepted("GraceS: 6", value)) << value;
    EXPECT_FALSE(accepted("[7210, 7219]", std::string(200'000, '[')));
}

/// A value that another writer may have left, most of which a JSON reader rejects.
rc::Gen<std::string> oddValue()
{
    return rc::gen::element<std::string>("null", "true", "-1", "1e999", "99999999999999999999999", "0.5", "\"\\ud800\"",
                                         "\"\xff\xfe\"", "\"\x01\"", "\"\"", "[]", "{}", "[[[[\"]\"]]]]",
                                         "{\"a\":{\"b\":\"}\"}}", nested(40), nested(100000), "truth", "\"a\\\"b\"");
}

using Members = std::vector<std::pair<std::string, std::string>>;

std::string objectText(const Members &members, const std::string &replaced, const std::string &value)
{
    std::string text;
    for (const auto &[name, original] : members)
        text += (text.empty() ? "\"" : ",\"") + name + "\":" + (name == replaced ? value : original);
    return "{" + text + "}";
}

/// An item of a list in which the value of \a field is replaced.
std::string oddItem(const std::string &field, const std::string &value)
{
    const Members meta{{"Name", "\"i-2\""}, {"Revision", "13"}, {"Finalizers", "[]"}, {"Deleting", "false"}};
    const Members spec{{"Service", "\"huvo\""},
                       {"Address", "\"10.1.0.9:8080\""},
                       {"Zone", "\"d0\""},
                       {"Version", "\"v1\""},
                       {"Slots", "3"},
                       {"State", "\"ready\""},
                       {"ColdLeftMs", "0"},
                       {"DbRole", "\"replica\""},
                       {"Seq", "4"},
                       {"born", "1700000000123"}};
    const Members item{
        {"meta", objectText(meta, field, value)}, {"spec", objectText(spec, field, value)}, {"status", "null"}};
    return objectText(item, field, value);
}

std::string goodItem(const std::string &name, int revision)
{
    return R"({"meta":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision) + R"(},"spec":)" + entryText
           + "}";
}

// Guards against one object of another writer deciding on the whole answer of the store: the others of a list or a watch
// were discarded with it, for as long as it existed (review case 4).
TEST(DecoderFuzz, OddObjectLeavesTheOthersInForce)
{
    checkRuns([] {
        const auto field = *rc::gen::element<std::string>("meta", "Name", "Revision", "Finalizers", "Deleting", "spec",
                                                          "status", "Service", "Address", "Zone", "Version", "Slots",
                                                          "State", "ColdLeftMs", "DbRole", "Seq", "born");
        const std::string odd = oddItem(field, *oddValue());
        const bool isList = *rc::gen::arbitrary<bool>();
        const auto place = *rc::gen::inRange<std::size_t>(0, 3);
        std::vector<std::string> items{goodItem("i-1", 12), goodItem("i-3", 14)};
        items.insert(items.begin() + static_cast<std::ptrdiff_t>(place), odd);
        std::string body;
        for (const std::string &item : items)
            body += (body.empty() ? "" : ",") + (isList ? item : R"({"Object":)" + item + R"(,"Deleted":false})");
        body = std::string(isList ? R"({"items":[)" : R"({"events":[)") + body + R"(],"More":false,"CurrentRev":40})";
        FailureReason reason;
        const auto page = decodeStorePage(body, reason);
        RC_ASSERT(page.has_value());
        RC_ASSERT(page->version.revision == 40U);
        RC_ASSERT(page->objects.size() + page->unreadable.size() == 3U);
        for (const char *name : {"i-1", "i-3"}) {
            const auto found = std::find_if(page->objects.begin(), page->objects.end(),
                                            [&](const StoreObject &object) { return object.name == name; });
            RC_ASSERT(found != page->objects.end());
            const auto entry = decodeServerEntry(*found, reason);
            RC_ASSERT(entry.has_value());
            RC_ASSERT(entry->address == "10.1.0.9:8080");
        }
        // The odd one is read, or rejected with a reason, but ends nothing.
        for (const StoreObject &object : page->objects) {
            FailureReason entryReason;
            const auto entry = decodeServerEntry(object, entryReason);
            RC_ASSERT((entry || !entryReason.text().empty()));
        }
    });
}

// Guards against the messages of a caller depending on how its stream is split, and against an unfinished message being
// taken for a complete one.
TEST(DecoderFuzz, CallerMessagesSurviveEverySplit)
{
    const std::vector<std::string> valid{"CONNECT huvo key",
                                         "QUERY 1 BEGIN READ",
                                         "QUERY 2 SET name a value",
                                         "QUERY 3 PREPARE s READ q",
                                         "QUERY 4 EXECUTE s 1a4 x",
                                         "QUERY 5 WRITE 1a4 data",
                                         "BYE"};
    const auto describe = [](const std::string &line) {
        const CallerLine decoded = decodeCallerLine(line);
        return std::to_string(static_cast<int>(decoded.kind)) + ' '
               + std::to_string(static_cast<int>(decoded.statement.kind)) + ' ' + decoded.database + '|'
               + decoded.statement.id + '|' + decoded.statement.text + '|' + decoded.statement.name + '|'
               + decoded.statement.argument;
    };
    checkRuns([&] {
        std::vector<std::string> expected;
        std::string stream;
        for (const std::string &line : *rc::gen::container<std::vector<std::string>>(3, rc::gen::elementOf(valid))) {
            std::string sent = *rc::gen::arbitrary<bool>() ? line : mutated(line);
            std::erase(sent, '\r');
            expected.push_back(describe(sent));
            stream += sent + "\r\n";
        }
        for (std::size_t split = 0; split <= stream.size(); ++split) {
            LineSplitter splitter;
            std::vector<std::string> received;
            for (const std::string &part : {stream.substr(0, split), stream.substr(split)}) {
                splitter.append(part);
                while (const auto line = splitter.next())
                    received.push_back(describe(std::string(*line)));
            }
            RC_ASSERT(received == expected);
            RC_ASSERT(!splitter.hasPartial());
        }
    });
}

// Guards against a name or a service of another writer that becomes part of a line to a server.
TEST(DecoderFuzz, EntriesWithControlCharactersAreRejected)
{
    FailureReason reason;
    for (const std::string name : {"", "i 1", "i-1\r\nQUERY - STEPDOWN 9", "i\x7f"}) {
        EXPECT_FALSE(decodeServerEntry(StoreObject{.name = name, .content = entryText}, reason)) << name;
        std::string text = entryText;
        std::string service;
        for (const char letter : name)
            service += letter == '\r' ? "\\r" : letter == '\n' ? "\\n" : std::string(1, letter);
        text.replace(text.find("huvo"), 4, service);
        EXPECT_FALSE(decodeServerEntry(StoreObject{.name = "i-1", .content = text}, reason)) << service;
    }
}

} // namespace

} // namespace Jujubekeel

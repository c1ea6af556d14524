#include "storedecoder.h"
#include "settingsreader.h"

#include "net/httpclient.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

StoreObject entryObject(const std::string &content)
{
    return StoreObject{.name = "i-1", .revision = 3, .content = content};
}

constexpr const char *goodEntry =
    R"({"Service":"huvo","Address":"10.1.0.9:8080","Zone":"d0","Version":"v1","Slots":3,"State":"ready",)"
    R"("ColdLeftMs":0,"DbRole":"replica","Seq":4,"born":1700000000123})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

// Guards against fields of a server's entry being decoded wrongly.
TEST(StoreDecoder, DecodesServerEntry)
{
    FailureReason reason;
    const auto entry = decodeServerEntry(entryObject(goodEntry), reason);
    ASSERT_TRUE(entry.has_value()) << reason.text();
    EXPECT_EQ(entry->id, "i-1");
    EXPECT_EQ(entry->slots, 3U);
    EXPECT_FALSE(entry->claimsPrimary);
    EXPECT_EQ(entry->incarnation, 1700000000123U);
}

// Guards against an entry with missing or invalid fields being accepted, or raising an exception that also loses the
// valid entries.
TEST(StoreDecoder, InvalidServerEntriesAreRejected)
{
    for (const std::string &content :
         {std::string("garbage"), std::string("{}"), std::string("[]"), std::string("null"),
          replaced(goodEntry, "\"ready\"", "\"sleeping\""), replaced(goodEntry, "\"replica\"", "7"),
          replaced(goodEntry, "\"Slots\":3", "\"Slots\":\"three\""), replaced(goodEntry, "\"Slots\":3", "\"Slots\":-3"),
          replaced(goodEntry, "\"Zone\":\"d0\",", "")}) {
        FailureReason reason;
        EXPECT_FALSE(decodeServerEntry(entryObject(content), reason).has_value()) << content;
        EXPECT_NE(reason.text(), "") << content;
    }
}

// Guards against an era that is missing or no number being taken for one.
TEST(StoreDecoder, DecodesTheEraOfTheStore)
{
    const auto eraOf = [](const std::string &text) {
        HttpClientResponse response;
        response.headers.set("Store-Era", text);
        return decodeStoreEra(response);
    };
    EXPECT_EQ(eraOf("7"), 7U);
    for (const std::string text : {"", "-1", "7x", "99999999999999999999999"})
        EXPECT_EQ(eraOf(text), 0U) << text;
    EXPECT_EQ(decodeStoreEra(HttpClientResponse{}), 0U);
}

// Guards against routes being decoded with another consistency, staleness or version than configured.
TEST(StoreDecoder, DecodesRoutes)
{
    FailureReason reason;
    std::vector<std::string> skipped;
    const auto routes = decodeRoutes(
        {.name = "main",
         .content =
             R"({"Version":7,"Routes":[{"Name":"r-1","Host":"fiti","Kind":"read_your_writes","TimeoutMs":1000,)"
             R"("GoalMs":800,"Priority":2,"Service":"huvo","MaxStalenessMs":2500}],)"
             R"("Services":[{"Name":"huvo","MaxConns":21,"SyncReplicas":1},{"Name":"kafi"}],"Limits":{"TxIdleMs":3000}})"},
        reason, skipped);
    ASSERT_NE(routes, nullptr) << reason.text();
    const auto route = routes->find("fiti");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->consistency, ReadConsistency::ReadYourWrites);
    EXPECT_EQ(route->maxStaleness, milliseconds(2500));
    EXPECT_EQ(route->version, 7U);
    EXPECT_EQ(routes->maxConnections("huvo"), 21U);
    EXPECT_EQ(routes->syncReplicas("huvo"), 1U);
    EXPECT_EQ(routes->syncReplicas("kafi"), 0U);
    EXPECT_EQ(routes->find("other"), nullptr);
}

// Guards against list pages and watch events being confused, and against incomplete responses being accepted.
TEST(StoreDecoder, DecodesListsAndEvents)
{
    FailureReason reason;
    const auto list = decodeStorePage(
        R"({"items":[{"meta":{"Name":"a","Revision":4},"spec":{"x":1},"status":null}],"More":true,"CurrentRev":9})",
        reason);
    ASSERT_TRUE(list.has_value()) << reason.text();
    EXPECT_TRUE(list->more);
    EXPECT_EQ(list->objects.front().content, R"({"x":1})");
    const auto events = decodeStorePage(
        R"({"events":[{"Deleted":true,"Object":{"meta":{"Name":"a","Revision":5},"spec":{}}}],"CurrentRev":9})",
        reason);
    ASSERT_TRUE(events.has_value()) << reason.text();
    EXPECT_TRUE(events->objects.front().deleted);
    EXPECT_FALSE(decodeStorePage(R"({"events":[]})", reason).has_value());
    EXPECT_FALSE(decodeStorePage("cut of", reason).has_value());
}

// Guards against a conditional write without its condition, which would overwrite other writers' changes.
TEST(StoreDecoder, WriteContainsTheExpectedRevision)
{
    EXPECT_EQ(encodeStoreObject({.name = "a", .revision = 4, .content = R"({"x":1})"}),
              R"({"meta":{"Name":"a","Revision":4},"spec":{"x":1}})");
    EXPECT_EQ(encodeStoreObject({.name = "a", .content = "{}"}), R"({"meta":{"Name":"a"},"spec":{}})");
}

// Guards against settings errors that do not name their location.
TEST(SettingsReader, ErrorNamesFileLineAndKey)
{
    const std::string file = testing::TempDir() + "entrysettings.yaml";
    const std::string good =
        "NodeName: \"n\"\nZone: \"d0\"\nListen:\n  Front: \"127.0.0.1:0\"\n  ReadyAddr: \"127.0.0.1:0\"\n"
        "platform:\n  Address: \"127.0.0.1:1\"\nNewField: [1, 2]\n";
    std::ofstream(file) << good;
    FailureReason reason;
    const auto settings = readEntrySettings(file, reason);
    ASSERT_TRUE(settings.has_value()) << reason.text();
    EXPECT_EQ(settings->instance, "n");
    EXPECT_FALSE(settings->adaptivePacing);

    // Guards against pacing where the deployment does not ask for it, or against it staying off where it does.
    std::ofstream(file) << good << "Contracts: [\"tenants\", \"health\"]\n";
    EXPECT_FALSE(readEntrySettings(file, reason).value().adaptivePacing);
    std::ofstream(file) << good << "AdaptivePacing: true\n";
    EXPECT_TRUE(readEntrySettings(file, reason).value().adaptivePacing);

    // Guards against a misspelt order being taken for the default.
    EXPECT_TRUE(settings->queueByObjective);
    std::ofstream(file) << good << "QueueOrder: objective\n";
    EXPECT_TRUE(readEntrySettings(file, reason).value().queueByObjective);
    std::ofstream(file) << good << "QueueOrder: arrival\n";
    EXPECT_FALSE(readEntrySettings(file, reason).value().queueByObjective);
    std::ofstream(file) << good << "QueueOrder: objectives\n";
    EXPECT_FALSE(readEntrySettings(file, reason).has_value());
    // Guards against a changed placement where the deployment does not ask for it, and against factors that would prefer
    // primaries.
    EXPECT_EQ(settings->primaryReadFactor, 2U);
    std::ofstream(file) << good << "PrimaryReadFactor: 3\n";
    EXPECT_EQ(readEntrySettings(file, reason).value().primaryReadFactor, 3U);
    for (const char *const invalid : {"0", "101", "-1"}) {
        std::ofstream(file) << good << "PrimaryReadFactor: " << invalid << "\n";
        EXPECT_FALSE(readEntrySettings(file, reason).has_value());
        EXPECT_NE(reason.text().find("PrimaryReadFactor"), std::string::npos) << reason.text();
    }

    EXPECT_FALSE(settings->requiresKeys);

    std::ofstream(file) << replaced(good, "  Front: \"127.0.0.1:0\"\n", "");
    EXPECT_FALSE(readEntrySettings(file, reason).has_value());
    EXPECT_NE(reason.text().find("entrysettings.yaml: line 4: key Front"), std::string::npos) << reason.text();
    std::remove(file.c_str());
}

// Guards against callers being served without a key although the settings ask for one, in any form of the list.
TEST(SettingsReader, ContractsMayRequireKeys)
{
    const std::string file = testing::TempDir() + "contracts.yaml";
    const auto requiresKeys = [&](const std::string &contracts) {
        std::ofstream(file) << "NodeName: \"n\"\nZone: \"d0\"\nListen:\n  Front: \"127.0.0.1:0\"\n  ReadyAddr: "
                               "\"127.0.0.1:0\"\nplatform:\n  Address: \"127.0.0.1:1\"\n"
                            << contracts << "\n";
        FailureReason reason;
        const auto settings = readEntrySettings(file, reason);
        EXPECT_TRUE(settings.has_value()) << contracts << reason.text();
        return settings && settings->requiresKeys;
    };
    EXPECT_TRUE(requiresKeys("Contracts: [tenants]"));
    EXPECT_TRUE(requiresKeys("Contracts: [health, \"tenants\", 7]"));
    EXPECT_TRUE(requiresKeys("Contracts: tenants"));
    EXPECT_FALSE(requiresKeys("Contracts: [health]"));
    EXPECT_FALSE(requiresKeys("Contracts: []"));
    EXPECT_FALSE(requiresKeys("Contracts:"));
    EXPECT_FALSE(requiresKeys(""));
    std::remove(file.c_str());
}

} // namespace

} // namespace Jujubekeel

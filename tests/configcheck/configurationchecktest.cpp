#include "configcheck/checkedtext.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using Found = std::vector<std::string>;

/// A configuration with one part for each line: version, routes, services, organisations.
std::string configuration(const std::string &routes, const std::string &organisations = "[]",
                          const std::string &services = R"([{"Name":"s","MaxConns":20}])", int version = 8)
{
    return "{\"Version\":" + std::to_string(version) + ",\n\"Routes\":" + routes + ",\n\"Services\":" + services
           + ",\n\"Tenants\":" + organisations + "}";
}

std::string route(const std::string &database, const std::string &fields = {})
{
    return R"({"Name":"r-)" + database + R"(","Host":")" + database + R"(","Service":"s")" + fields + "}";
}

const std::string oneRoute = "[" + route("db") + "]";

// Guards against findings in a configuration that is in order.
TEST(ConfigurationCheck, ValidConfigurationHasNoFindings)
{
    const CheckedText checked(configuration(oneRoute, R"([{"Name":"guild","ApiKeys":["k1"],"RatePerS":4,"Burst":8}])"));
    EXPECT_EQ(checked.found(), Found{});
    EXPECT_EQ(checked.output, "0 errors, 0 warnings, 0 notes\n");
}

// Guards against faults that are reported at a wrong place, and against only the first one being reported.
TEST(ConfigurationCheck, AllFaultsAreReportedWithPathAndLine)
{
    const CheckedText checked("{\n\"Version\": -1,\n\"Routes\": [" + route("a", ",\"TimeoutMs\":\n-5") + ",\n7, "
                              + R"({"Host":"b","Service":3}],)" + "\n\"Services\": 5,\n\"Tenants\": ["
                              + R"({"Name":"x","ApiKeys":["k",)" + "\n8]},\n" + R"({"Name":"y",)"
                              + "\n\"RatePerS\":\n1e999}],\n\"Limits\": {\"TxIdleMs\": \"3\"}}");
    EXPECT_EQ(checked.found(),
              (Found{"2 error Version rejected", "4 error Routes[0].TimeoutMs rejected", "5 error Routes[1] rejected",
                     "5 error Routes[2].Name rejected", "5 error Routes[2].Service rejected",
                     "6 error Services rejected", "12 error Limits.TxIdleMs rejected",
                     "8 error Tenants[0].ApiKeys[1] entry-ignored", "11 error Tenants[1].RatePerS entry-ignored"}));
    EXPECT_FALSE(checked.report.version);
}

// Guards against a text that cannot be parsed being reported without the line at which to look.
TEST(ConfigurationCheck, InvalidTextIsReportedAtItsLine)
{
    EXPECT_EQ(CheckedText("{\"Version\": 1,\n\"Routes\": [\n{\"Name\"").found(), Found{"3 error  rejected"});
    EXPECT_EQ(CheckedText("").found(), Found{"1 error  rejected"});
    EXPECT_EQ(CheckedText("[]").found(), Found{"1 error  rejected"});
    EXPECT_EQ(CheckedText(configuration("[" + route("a") + ",\n" + route("b", ",\n\"X\":tru") + "]")).found(),
              Found{"4 error Routes[1] rejected"});
}

// Guards against values that are replaced by defaults without a word, such as an organisation whose limit is ignored.
TEST(ConfigurationCheck, IgnoredValuesAreWarnings)
{
    const CheckedText checked(configuration("[" + route("a", R"(,"Kind":"primry","Public":"true")") + "]",
                                            R"([{"Name":"x","ApiKeys":["k"],"Burst":5}])"));
    EXPECT_EQ(checked.found(),
              (Found{"2 warning Routes[0].Kind value-ignored", "2 warning Routes[0].Public value-ignored",
                     "4 note Tenants unlimited-organisations", "4 warning Tenants[0].Burst value-ignored"}));
}

// Guards against routes and services that can never be used going unnoticed.
TEST(ConfigurationCheck, EntriesThatNeverMatch)
{
    const CheckedText checked(
        configuration("[" + route("db") + "," + route("db") + "," + route("two words")
                          + R"(,{"Name":"","Host":"","Service":""},{"Name":"r","Host":"x","Service":"t"}])",
                      "[]", R"([{"Name":"s"},{"Name":"s"},{"Name":""},{"Name":"u"}])"));
    EXPECT_EQ(checked.found(),
              (Found{"2 error Routes[0].Host route-replaced", "2 error Routes[2].Host database-unreachable",
                     "2 warning Routes[3].Name route-name-empty", "2 error Routes[3].Host database-unreachable",
                     "2 error Routes[3].Service service-empty", "2 warning Routes[4].Service service-not-listed",
                     "3 error Services[0].Name service-replaced", "3 error Services[2].Name service-empty",
                     "3 note Services[3] service-unused"}));
    EXPECT_EQ(CheckedText(configuration("[]", "[]", "[]")).found(), Found{"2 warning Routes no-routes"});
}

// Guards against keys that let nobody in, or that are listed for the wrong organisation.
TEST(ConfigurationCheck, KeysThatIdentifyNobody)
{
    const std::string rate = R"(","RatePerS":1,"ApiKeys":)";
    const CheckedText checked(configuration(oneRoute, R"([{"Name":"a)" + rate + R"(["k1","k2","k1"]},{"Name":"b)" + rate
                                                          + R"(["k3","k2"]},{"Name":"c)" + rate + R"([]},{"Name":"d)"
                                                          + rate + R"(["k4","","k 5","k\n6"]},{"Name":"a)" + rate
                                                          + R"(["k7"]}])"));
    EXPECT_EQ(checked.found(),
              (Found{"4 warning Tenants[0].ApiKeys[2] key-repeated", "4 error Tenants[0].ApiKeys[1] key-ambiguous",
                     "4 error Tenants[1].ApiKeys[1] key-ambiguous", "4 warning Tenants[2] organisation-without-keys",
                     "4 error Tenants[3].ApiKeys[1] key-unusable", "4 error Tenants[4].Name entry-ignored"}));
}

// Guards against limits that contradict each other going unnoticed, or against their bounds being off by one.
TEST(ConfigurationCheck, LimitsThatContradictEachOther)
{
    const auto organisation = [](const std::string &fields) {
        return R"([{"Name":"a","ApiKeys":["k"],)" + fields + "}]";
    };
    EXPECT_EQ(CheckedText(configuration(oneRoute, organisation(R"("RatePerS":0.2,"Burst":1)"))).found(), Found{});
    EXPECT_EQ(CheckedText(configuration(oneRoute, organisation(R"("RatePerS":0.19,"Burst":0.9)"))).found(),
              (Found{"4 warning Tenants[0].RatePerS rate-below-window", "4 warning Tenants[0].Burst burst-below-one"}));
    EXPECT_EQ(
        CheckedText(configuration("[" + route("a", R"(,"TimeoutMs":500,"GoalMs":500)") + ","
                                  + route("b", R"(,"TimeoutMs":499,"GoalMs":500)") + ","
                                  + route("c", R"(,"TimeoutMs":0)") + "]"))
            .found(),
        (Found{"2 warning Routes[1].TimeoutMs timeout-below-objective", "2 warning Routes[2].TimeoutMs timeout-zero"}));
}

// Guards against rates and connections that the deployment cannot carry, and against warnings at what it just carries.
TEST(ConfigurationCheck, LimitsThatTheDeploymentCannotCarry)
{
    const auto found = [](int rate, int maxConnections, const CheckOptions &options) {
        return CheckedText(configuration(oneRoute,
                                         R"([{"Name":"a","ApiKeys":["k"],"RatePerS":)" + std::to_string(rate) + "}]",
                                         R"([{"Name":"s","MaxConns":)" + std::to_string(maxConnections) + "}]"),
                           {}, options)
            .found();
    };
    // 6 slots carry 600 operations of 10 ms per second.
    const CheckOptions slots{.servers = 3, .slots = 2, .statementTime = std::chrono::milliseconds(10)};
    EXPECT_EQ(found(600, 8, slots), Found{"4 note Tenants rates"});
    EXPECT_EQ(found(601, 8, slots), Found{"4 warning Tenants rates-above-capacity"});
    EXPECT_EQ(found(1, 1, slots),
              (Found{"3 warning Services[0].MaxConns connections-below-slots", "4 note Tenants rates"}));
    EXPECT_EQ(found(1, 8, {.connections = 8, .members = 8}), Found{});
    EXPECT_EQ(found(1, 8, {.connections = 7, .members = 8}),
              (Found{"3 warning Services[0].MaxConns connections-above-server",
                     "3 warning Services[0].MaxConns connections-below-members"}));
    EXPECT_EQ(found(1, 0, {.members = 8}), Found{"3 warning Services[0].MaxConns connections-zero"});
    EXPECT_EQ(found(1, 8, {.slots = 9, .connections = 8}),
              (Found{"3 warning Services connections-below-slots",
                     "3 warning Services[0].MaxConns connections-below-slots"}));
    const std::string two = R"([{"Name":"a","ApiKeys":["k"],"RatePerS":1},{"Name":"b","ApiKeys":["l"],"RatePerS":1}])";
    EXPECT_EQ(CheckedText(configuration(oneRoute, two, R"([{"Name":"s","MaxConns":1}])")).found(),
              Found{"3 note Services[0].MaxConns connections-below-organisations"});
}

// Guards against a configuration that instances would ignore, or that shuts callers out, being sent.
TEST(ConfigurationCheck, ReplacingTheVersionInForce)
{
    const std::string organisations = R"([{"Name":"a","ApiKeys":["k"],"RatePerS":1}])";
    const std::string services = R"([{"Name":"s"},{"Name":"t"}])";
    const std::string inForce = configuration(oneRoute, organisations);
    EXPECT_EQ(CheckedText(inForce, inForce).found(), Found{"1 note Version version-in-force"});
    const std::string other = "[" + route("other") + "]";
    EXPECT_EQ(CheckedText(configuration(other, organisations), inForce).found(),
              Found{"1 error Version version-not-higher"});
    EXPECT_EQ(CheckedText(configuration(oneRoute, organisations, R"([{"Name":"s"}])", 7), inForce).found(),
              Found{"1 error Version version-not-higher"});
    EXPECT_EQ(CheckedText(configuration(oneRoute, "[]", R"([{"Name":"s"}])", 9), inForce).found(),
              Found{"4 warning Tenants organisations-missing"});
    EXPECT_EQ(CheckedText(inForce, configuration(oneRoute, "[]", R"([{"Name":"s"}])", 7)).found(),
              Found{"4 warning Tenants organisations-introduced"});
    EXPECT_EQ(
        CheckedText(configuration(R"([{"Name":"r","Host":"db","Service":"t"}])", organisations, R"([{"Name":"t"}])", 9),
                    inForce)
            .found(),
        Found{"2 warning Routes[0].Service service-not-in-force"});
}

// Guards against differences that are missing, told the wrong way round, or counted wrongly.
TEST(ConfigurationCheck, DifferencesFromTheVersionInForce)
{
    const std::string inForce = configuration(
        "[" + route("same") + "," + route("gone") + "," + route("kept", R"(,"TimeoutMs":1000,"Priority":1)") + "]",
        R"([{"Name":"a","ApiKeys":["k1","k2"],"RatePerS":4,"Burst":8},{"Name":"b","ApiKeys":["k3"]},)"
        R"({"Name":"c","ApiKeys":["k4"],"RatePerS":4}])",
        R"([{"Name":"s","MaxConns":20},{"Name":"old"}])", 7);
    const CheckedText checked(configuration("[" + route("same") + ","
                                                + route("kept", R"(,"TimeoutMs":900,"Public":true)") + ","
                                                + route("new") + "]",
                                            R"([{"Name":"a","ApiKeys":["k2","k5","k6"],"RatePerS":2,"Burst":9},)"
                                            R"({"Name":"c","ApiKeys":["k4","k3"]},{"Name":"d","ApiKeys":[]}])",
                                            R"([{"Name":"s","MaxConns":30,"SyncReplicas":1},{"Name":"fresh"}])"),
                              inForce);
    const std::size_t start = checked.output.find("differences");
    EXPECT_EQ(checked.output.substr(start, checked.output.find("0 errors") - start),
              "differences of version 8 from version 7, which is in force:\n"
              "  route \"gone\": removed; callers can no longer open the database\n"
              "  route \"kept\": TimeoutMs changed from 1000 ms to 900 ms\n"
              "  route \"kept\": Priority changed from 1 to 0\n"
              "  route \"kept\": Public changed from false to true\n"
              "  route \"new\": added\n"
              "  service \"fresh\": added\n"
              "  service \"old\": removed\n"
              "  service \"s\": MaxConns raised from 20 to 30\n"
              "  service \"s\": SyncReplicas changed from 0 to 1\n"
              "  organisation \"a\": RatePerS lowered from 4 to 2; applies within 5 s\n"
              "  organisation \"a\": Burst raised from 8 to 9\n"
              "  organisation \"b\": removed\n"
              "  organisation \"c\": RatePerS raised from 4 to no limit\n"
              "  organisation \"c\": Burst raised from 0 to no limit\n"
              "  organisation \"d\": added\n"
              "  organisation \"a\": keys added: 2\n"
              "  organisation \"a\": keys withdrawn: 1; sessions of these keys end\n"
              "  organisation \"b\": keys withdrawn: 1; sessions of these keys end\n"
              "  organisation \"c\": keys added: 1\n");
}

// Guards against a report of hundreds of megabytes, and against an error that is not counted because it is not listed.
TEST(ConfigurationCheck, ReportsAreBounded)
{
    std::string routes = "[" + route("db");
    for (std::size_t count = 0; count < ConfigurationReport::differenceLimit + 5; ++count)
        routes += "," + route("db") + "," + route("x" + std::to_string(count));
    const CheckedText checked(configuration(routes + "]"), configuration("[]", "[]", "[]", 7));
    const std::size_t limit = ConfigurationReport::findingLimit;
    EXPECT_EQ(checked.report.count(FindingSeverity::Error), limit + 1);
    EXPECT_EQ(checked.report.findings.back().text,
              std::to_string(2 * ConfigurationReport::differenceLimit + 11 - limit)
                  + " further findings of the code service-not-in-force are not listed");
    EXPECT_EQ(checked.report.differences.size(), ConfigurationReport::differenceLimit);
    EXPECT_EQ(checked.report.omittedDifferences, 7U);
}

// Guards against names that send control sequences to a terminal, fill it, or show a key that was put in their place.
TEST(NameMask, ShowsNoKeysControlsOrLongNames)
{
    NameMask mask;
    mask.addKey("secret key");
    mask.addKey("ab");
    EXPECT_EQ(mask.shown("records"), "records");
    EXPECT_EQ(mask.shown("cab"), "cab");
    for (const std::string name : {"ab", "secret key", "x-secret key-y"}) {
        EXPECT_TRUE(mask.hidesKey(name)) << name;
        EXPECT_EQ(mask.shown(name), "(name that contains a key)") << name;
    }
    EXPECT_EQ(mask.shown("a\x1b[2J\x7f\xc2\x9b."), "a?[2J??.");
    EXPECT_EQ(mask.shown("Sigr\xc3\xad\xc3\xb0ur"), "Sigr\xc3\xad\xc3\xb0ur");
    EXPECT_EQ(mask.shown(std::string(81, 'x')), "(name of 81 bytes)");
    mask.addKey("per?od");
    EXPECT_EQ(mask.shown("per\x01od"), "(name that contains a key)");
}

} // namespace

} // namespace Jujubekeel

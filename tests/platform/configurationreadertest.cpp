#include "configurationreader.h"
#include "configurationlocator.h"
#include "configurationnames.h"
#include "storedecoder.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

std::string reasonOf(const std::string &text, std::vector<std::string> &skipped)
{
    FailureReason reason;
    EXPECT_EQ(decodeRoutes({.name = "main", .content = text}, reason, skipped), nullptr) << text;
    return reason.text();
}

// Guards against log lines that do not say where the fault is.
TEST(ConfigurationReader, ReasonsNameThePlace)
{
    std::vector<std::string> skipped;
    EXPECT_EQ(reasonOf(R"({"Version":1,"Services":[],"Routes":[{"Name":"r","Host":"d","Service":"s","GoalMs":"5"}]})",
                       skipped),
              "invalid configuration main: Routes[0].GoalMs: is not a number of milliseconds from 0 to a week");
    FailureReason reason;
    const std::string text = R"({"Version":1,"Services":[],"Routes":[],)"
                             R"("Tenants":[{"Name":"a"},{"Name":"b","Priority":-1,"RatePerS":"x"}]})";
    EXPECT_NE(decodeRoutes({.name = "main", .content = text}, reason, skipped), nullptr);
    EXPECT_EQ(skipped, (std::vector<std::string>{"Tenants[1].Priority: is not a whole number from 0 to 4294967295"}));
}

// Guards against a short text with very many faulty entries filling the memory of an instance, and against the reason of
// a rejection being lost among them.
TEST(ConfigurationReader, FaultsAreBounded)
{
    std::string entries = "7";
    for (std::size_t count = 0; count < 2 * ConfigurationReading::faultLimit; ++count)
        entries += ",7";
    const std::string text =
        R"({"Version":1,"Services":[],"Routes":[],"Limits":{"TxIdleMs":-1},"Tenants":[)" + entries + "]}";
    const ConfigurationReading reading = readConfiguration(text);
    EXPECT_EQ(reading.faults.size(), ConfigurationReading::faultLimit);
    EXPECT_EQ(reading.omittedFaults, ConfigurationReading::faultLimit + 2);
    std::vector<std::string> skipped;
    EXPECT_NE(reasonOf(text, skipped).find("Limits.TxIdleMs"), std::string::npos);
}

// Guards against lines that are wrong for the last part of a text, or for places that the text does not contain.
TEST(ConfigurationLocator, LinesOfPlaces)
{
    const std::string text =
        "{\n\"Routes\":\n[\n{\"Name\":\n\"r\"},\n{}],\n\"Tenants\": [{\"ApiKeys\":[\"a\",\n\"b\"]}]}";
    const ConfigurationLocator locator(text);
    const auto line = [&](const ConfigurationPlace &place) { return locator.lineOf(place); };
    using enum ConfigurationPart;
    EXPECT_EQ(line({}), 1U);
    EXPECT_EQ(line({.part = Services, .index = 4}), 1U);
    EXPECT_EQ(line({.part = Routes}), 3U);
    EXPECT_EQ(line({.part = Routes, .index = 0}), 4U);
    EXPECT_EQ(line({.part = Routes, .index = 0, .field = ConfigurationField::Name}), 5U);
    EXPECT_EQ(line({.part = Routes, .index = 0, .field = ConfigurationField::Database}), 4U);
    EXPECT_EQ(line({.part = Routes, .index = 1}), 6U);
    EXPECT_EQ(line({.part = Routes, .index = 2}), 3U);
    EXPECT_EQ(line({.part = Organisations, .index = 0, .field = ConfigurationField::Keys, .element = 1}), 8U);
    EXPECT_EQ(line({.part = Organisations, .index = 0, .field = ConfigurationField::Keys, .element = 2}), 7U);
    EXPECT_EQ(line({.offset = text.size()}), 8U);
    EXPECT_EQ(pathOf({.part = Organisations, .index = 0, .field = ConfigurationField::Keys, .element = 1}),
              "Tenants[0].ApiKeys[1]");
    EXPECT_EQ(ConfigurationLocator("").lineOf({.part = Routes, .index = 1}), 1U);
}

} // namespace

} // namespace Jujubekeel

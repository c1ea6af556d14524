#include "catalog/boundedjson.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace Jujubekeel {

namespace {

std::string nested(std::size_t depth, const std::string &content)
{
    return std::string(depth, '[') + content + std::string(depth, ']');
}

// Guards against a text that exhausts the stack, and against brackets in strings being counted.
TEST(BoundedJson, DepthIsLimited)
{
    for (const std::string content : {"7", "\"x\"", "{}", "[ ]"}) {
        const std::size_t depth = content == "{}" || content == "[ ]" ? 31 : 32; // empty lists and objects are levels
        EXPECT_TRUE(parseBoundedJson(nested(depth, content))) << content;
        EXPECT_FALSE(parseBoundedJson(nested(depth + 1, content))) << content;
        EXPECT_EQ(jsonFaultOffset(nested(depth + 1, content)), 32U) << content;
    }
    EXPECT_FALSE(parseBoundedJson(nested(33, " ")));
    EXPECT_TRUE(parseBoundedJson(nested(32, "\"[[\\\"[[{{\"")));
    EXPECT_TRUE(parseBoundedJson("[" + nested(31, "1") + "," + nested(31, "2") + "]"));
}

// Guards against a fault that is reported at another byte than where it is.
TEST(BoundedJson, OffsetOfFaults)
{
    EXPECT_EQ(jsonFaultOffset(R"({"a":1})"), std::nullopt);
    EXPECT_EQ(jsonFaultOffset("[1e999]"), std::nullopt);
    EXPECT_EQ(jsonFaultOffset(""), 0U);
    EXPECT_EQ(jsonFaultOffset("[1,"), 3U);
    EXPECT_EQ(jsonFaultOffset("[1,]"), 3U);
    EXPECT_EQ(jsonFaultOffset("[\"\xff\"]"), 2U);
}

// Guards against an answer of the store that occupies an instance for minutes: with callbacks the parser searched a list
// after each object in it, so that this text took more than the time limit of the test.
TEST(BoundedJson, LongListsAreReadInLinearTime)
{
    std::string text = "[{}";
    for (int count = 1; count < 99000; ++count)
        text += ",{}";
    const auto list = parseBoundedJson(text + "]");
    ASSERT_TRUE(list);
    EXPECT_EQ(list->size(), 99000U);
}

} // namespace

} // namespace Jujubekeel

#include "catalog/jsonslices.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

/// A JSON value with strings that contain quotes, brackets and escapes.
nlohmann::json arbitraryValue(int depth)
{
    const int kind = *rc::gen::inRange(0, depth > 0 ? 6 : 4);
    const auto text =
        rc::gen::container<std::string>(rc::gen::element('a', '"', '\\', '{', '}', '[', ']', ',', ':', ' '));
    switch (kind) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<int>();
    case 3:
        return *text;
    default:
        break;
    }
    const int size = *rc::gen::inRange(0, 4);
    auto value = kind == 4 ? nlohmann::json::array() : nlohmann::json::object();
    for (int index = 0; index < size; ++index) {
        if (kind == 4)
            value.push_back(arbitraryValue(depth - 1));
        else
            value["k" + std::to_string(index)] = arbitraryValue(depth - 1);
    }
    return value;
}

// Guards against parts that differ from what a JSON reader sees.
TEST(JsonSlices, PartsAreTheValuesOfTheText)
{
    EXPECT_TRUE(rc::check([] {
        const nlohmann::json value = arbitraryValue(4);
        const std::string text = value.dump(*rc::gen::element(-1, 2));
        const auto members = sliceJsonObject(text);
        const auto elements = sliceJsonArray(text);
        RC_ASSERT(members.has_value() == value.is_object());
        RC_ASSERT(elements.has_value() == value.is_array());
        if (members) {
            RC_ASSERT(members->size() == value.size());
            for (const auto &[name, part] : *members)
                RC_ASSERT(nlohmann::json::parse(part) == value.at(name));
        }
        if (elements) {
            RC_ASSERT(elements->size() == value.size());
            for (std::size_t index = 0; index < elements->size(); ++index)
                RC_ASSERT(nlohmann::json::parse(elements->at(index)) == value.at(index));
        }
    }));
}

// Guards against reading outside of a text that was cut off or damaged.
TEST(JsonSlices, DamagedTextIsRejectedOrDivided)
{
    EXPECT_TRUE(rc::check([] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('{', '}', '[', ']', '"', '\\', ':', ',', ' ', 'a', '\xff', '\0'));
        for (const std::string &damaged : {text, "{" + text, "[" + text + "]"}) {
            const auto within = [&](std::string_view part) {
                return part.data() >= damaged.data() && part.data() + part.size() <= damaged.data() + damaged.size();
            };
            if (const auto members = sliceJsonObject(damaged)) {
                for (const auto &[name, part] : *members)
                    RC_ASSERT((!part.empty() && within(part)));
            }
            if (const auto elements = sliceJsonArray(damaged)) {
                for (const std::string_view part : *elements)
                    RC_ASSERT((!part.empty() && within(part)));
            }
        }
    }));
}

// Guards against a short text of brackets exhausting the stack.
TEST(JsonSlices, DepthNeedsNoStack)
{
    const std::string deep = std::string(1000000, '[') + std::string(1000000, ']');
    const auto elements = sliceJsonArray("[1," + deep + ",\"]\"]");
    ASSERT_TRUE(elements.has_value());
    ASSERT_EQ(elements->size(), 3U);
    EXPECT_EQ(elements->at(1).size(), deep.size());
    EXPECT_FALSE(sliceJsonArray("[" + deep).has_value());
}

} // namespace

} // namespace Jujubekeel

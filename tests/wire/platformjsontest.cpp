#include "wire/platformjson.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Jujubekeel {

namespace {

// Guards against fields that one side writes and the other does not read.
TEST(PlatformJson, CallAndAnswerKeepAllFields)
{
    const PlatformCall call{.call = 5,
                            .operation = PlatformOperation::Watch,
                            .key = "rules/association",
                            .expectedVersion = 8,
                            .value = "text",
                            .wait = std::chrono::seconds(10)};
    const PlatformAnswer answer{.call = 5,
                                .code = PlatformStatusCode::Conflict,
                                .version = 9,
                                .value = "line 1\nline 2",
                                .instances = {{.name = "p1", .leaving = true}, {.name = "p2", .leaving = false}}};
    FailureReason reason;
    const auto callBack = platformCallFromText(toJsonText(call), reason);
    const auto answerBack = platformAnswerFromText(toJsonText(answer), reason);
    ASSERT_TRUE(callBack && answerBack) << reason.text();
    EXPECT_EQ(toJson(*callBack), toJson(call));
    EXPECT_EQ(callBack->wait, call.wait);
    EXPECT_EQ(toJson(*answerBack), toJson(answer));
    EXPECT_TRUE(answerBack->instances.at(0).leaving);
}

// Guards against errors that do not say which field is wrong.
TEST(PlatformJson, ErrorsNameTheField)
{
    FailureReason reason;
    EXPECT_FALSE(platformAnswerFromText("", reason).has_value());
    EXPECT_EQ(reason.code(), ResultCode::MalformedRequest);
    EXPECT_FALSE(platformAnswerFromText(R"({"code":"fine"})", reason).has_value());
    EXPECT_EQ(reason.text(), "field code: unknown value: fine");
    EXPECT_FALSE(platformAnswerFromText(R"({"code":"ok","version":1.5})", reason).has_value());
    EXPECT_EQ(reason.text(), "field version: a non-negative integer is expected");
    EXPECT_FALSE(platformAnswerFromText(R"({"code":"ok","instances":[{"leaving":true}]})", reason).has_value());
    EXPECT_EQ(reason.text(), "field instances[0].name: missing");
    EXPECT_FALSE(platformCallFromText(R"({"key":"k"})", reason).has_value());
    EXPECT_EQ(reason.text(), "field operation: missing");
}

} // namespace

} // namespace Jujubekeel

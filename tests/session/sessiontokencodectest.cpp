#include "session/sessiontokencodec.h"

#include <gtest/gtest.h>

#include <array>

namespace Jujubekeel {

namespace {

const SessionMark mark{.session = "s-1", .database = "orders", .position = {.term = 3, .position = 42}};

// Guards against a session that loses its position between two proxies with the same key.
TEST(SessionTokenCodec, ASignedMarkIsVerifiedByTheSameKey)
{
    const SessionTokenCodec codec(std::array<std::string, 1>{"key-one"});
    FailureReason reason;
    EXPECT_EQ(codec.verify(codec.sign(mark), reason), mark);
}

// Guards against callers that forge a position.
TEST(SessionTokenCodec, AChangedTokenIsRejected)
{
    const SessionTokenCodec codec(std::array<std::string, 1>{"key-one"});
    std::string token = codec.sign(mark);
    token.replace(token.find("42"), 2, "41");
    FailureReason reason;
    EXPECT_FALSE(codec.verify(token, reason).has_value());
    EXPECT_EQ(reason.code(), ResultCode::BadToken);
    for (const char *text : {"", "|", "a|b|1|2", "a|b|x|2|c", "a|b|1|2|c|d"})
        EXPECT_FALSE(codec.verify(text, reason).has_value()) << text;
}

// Guards against rejecting the tokens of open sessions during a key rotation.
TEST(SessionTokenCodec, BothKeysAreValidDuringARotation)
{
    const SessionTokenCodec before(std::array<std::string, 1>{"old"});
    const SessionTokenCodec during(std::array<std::string, 2>{"new", "old"});
    const SessionTokenCodec after(std::array<std::string, 1>{"new"});
    FailureReason reason;
    EXPECT_TRUE(during.verify(before.sign(mark), reason).has_value());
    EXPECT_TRUE(after.verify(during.sign(mark), reason).has_value());
    EXPECT_FALSE(after.verify(before.sign(mark), reason).has_value());
}

} // namespace

} // namespace Jujubekeel

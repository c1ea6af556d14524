#include "requests/transactionname.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

// Guards against a statement routed to another transaction because its name was encoded or parsed wrongly.
TEST(TransactionName, RoundTripKeepsAllFields)
{
    const TransactionName name{
        .owner = "north-1", .incarnation = 7, .id = {.index = 3, .generation = 9}, .term = 4, .backend = "sr1-a"};
    const auto parsed = TransactionName::parse(name.toText());
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed->owner, name.owner);
    EXPECT_EQ(parsed->incarnation, name.incarnation);
    EXPECT_EQ(parsed->id, name.id);
    EXPECT_EQ(parsed->term, name.term);
    EXPECT_EQ(parsed->backend, name.backend);
}

// Guards against malformed transaction ids from callers being accepted.
TEST(TransactionName, MalformedTextIsRejected)
{
    for (const char *text : {"", "a", "a/1/2/3", "a/x/2/3/b", "a/1/2/3/b/c", "a/1/-2/3/b"})
        EXPECT_FALSE(TransactionName::parse(text).has_value()) << text;
}

} // namespace

} // namespace Jujubekeel

#include "session/termhistory.h"

#include <gtest/gtest.h>

#include <array>

namespace Jujubekeel {

namespace {

const TermHistory history(std::array{TermStart{.term = 1, .start = 0}, TermStart{.term = 3, .start = 10}});

// Guards against serving a session from a log that ends before the session's last write.
TEST(TermHistory, MarkOfSameTermNeedsThePosition)
{
    EXPECT_EQ(history.relation({.term = 3, .position = 12}, {.term = 3, .position = 12}), MarkRelation::Contained);
    EXPECT_EQ(history.relation({.term = 3, .position = 11}, {.term = 3, .position = 12}), MarkRelation::NotReached);
}

// Guards against treating a write that a promotion discarded as one that survived.
TEST(TermHistory, MarkPastTheNextTermStartDidNotSurvive)
{
    EXPECT_EQ(history.relation({.term = 3, .position = 20}, {.term = 1, .position = 10}), MarkRelation::Contained);
    EXPECT_EQ(history.relation({.term = 3, .position = 20}, {.term = 1, .position = 11}), MarkRelation::NotSurvived);
}

// Guards against reading from a server that is still under an older term.
TEST(TermHistory, MarkOfNewerTermIsNotReachedByAnOlderServer)
{
    EXPECT_EQ(history.relation({.term = 1, .position = 99}, {.term = 3, .position = 11}), MarkRelation::NotReached);
}

} // namespace

} // namespace Jujubekeel

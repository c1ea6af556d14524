#include "pool/unlistedservers.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::set<std::string>;

constexpr TimePoint start = seconds(10);

// Guards against a server that runs without an entry being taken for one that has ended because commits go on: it may be
// the one that receives them (review case 11).
TEST(UnlistedServers, ServerThatLapsedLatelyMayHoldWhatWasAcknowledgedSince)
{
    UnlistedServers servers;
    servers.removed("a", "a:1", false, false, start);
    servers.commitAcknowledged(start + seconds(59));
    EXPECT_EQ(servers.holders(), Names{"a"});
    // Without a commit nothing shows that others have what it holds.
    EXPECT_EQ(servers.holders(), Names{"a"});
    servers.commitAcknowledged(start + seconds(60));
    EXPECT_EQ(servers.holders(), Names{});
}

// Guards against a wait for a server that has left as planned, whose log lives on at its address.
TEST(UnlistedServers, SuccessorOfALeavingServerCoversIt)
{
    UnlistedServers servers;
    servers.removed("a", "a:1", true, false, start);
    servers.removed("b", "b:1", false, false, start);
    servers.added("x", "other:1");
    EXPECT_EQ(servers.holders(), (Names{"a", "b"}));
    servers.added("c", "a:1");
    servers.added("d", "b:1");
    EXPECT_EQ(servers.holders(), Names{"b"}) << "the log of a server that crashed is not transferred";
    servers.removed("e", "e:1", true, true, start);
    EXPECT_EQ(servers.holders(), Names{"b"});
}

// Guards against servers that this instance has never seen being left out, and against a covered one coming back.
TEST(UnlistedServers, RecordNamesServersOfBefore)
{
    UnlistedServers servers;
    servers.recorded({"a"}, start);
    EXPECT_EQ(servers.holders(), Names{"a"});
    servers.commitAcknowledged(start + seconds(60));
    EXPECT_EQ(servers.holders(), Names{});
    servers.recorded({"a"}, start + seconds(61));
    EXPECT_EQ(servers.holders(), Names{}) << "its removal from the record is not written yet";
    servers.recorded({}, start + seconds(62));
    EXPECT_TRUE(servers.empty());
    servers.recorded({"a"}, start + seconds(63));
    servers.added("a", "a:1");
    EXPECT_TRUE(servers.empty());
}

// Guards against a server being taken for covered because a record that never named it, or an older copy of it, does not.
TEST(UnlistedServers, OnlyARecordedServerIsCoveredByItsRemoval)
{
    UnlistedServers servers;
    servers.removed("a", "a:1", false, false, start);
    servers.recorded({}, start + milliseconds(1));
    EXPECT_EQ(servers.holders(), Names{"a"});
    servers.recorded({"a"}, start + milliseconds(2));
    servers.recordLost();
    servers.recorded({}, start + milliseconds(3));
    EXPECT_EQ(servers.holders(), Names{"a"});
    servers.recorded({"a"}, start + milliseconds(4));
    servers.recorded({}, start + milliseconds(5));
    EXPECT_EQ(servers.holders(), Names{});
}

// Guards against a list that grows for as long as servers of a service without a record come and go, and against one that
// may still receive being forgotten.
TEST(UnlistedServers, EndedServersOfAServiceWithoutARecordAreForgotten)
{
    UnlistedServers servers;
    servers.removed("a", "a:1", false, false, start);
    servers.removed("b", "b:1", false, false, start + seconds(30));
    servers.forgetEnded(start + milliseconds(59'999));
    EXPECT_EQ(servers.holders(), (Names{"a", "b"}));
    servers.forgetEnded(start + seconds(60));
    EXPECT_EQ(servers.holders(), Names{"b"});
    servers.forgetEnded(start + seconds(90));
    EXPECT_TRUE(servers.empty());
}

} // namespace

} // namespace Jujubekeel

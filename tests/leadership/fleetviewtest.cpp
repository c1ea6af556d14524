#include "leadership/fleetview.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

FleetObject makeLeadershipObject(std::uint64_t revision, std::uint64_t epoch, const std::string &primary)
{
    const LeadershipRecord record{.epoch = epoch, .primary = primary, .holder = "i0"};
    return FleetObject{.name = FleetView::recordName("records"), .revision = revision, .content = record.toText()};
}

// Guards against a late answer from the store that replaces a record by an older one.
TEST(FleetView, OlderUpdateIsIgnored)
{
    FleetView view;
    view.apply({.complete = true, .objects = {makeLeadershipObject(7, 2, "b")}, .revision = 7}, milliseconds(1));
    view.apply({.complete = true, .objects = {makeLeadershipObject(5, 1, "a")}, .revision = 6}, milliseconds(2));
    EXPECT_EQ(view.record("records")->record.primary, "b");
    EXPECT_EQ(view.revision(), 7U);
}

// Guards against keeping deleted objects after the store has lost its history of changes: the complete list replaces
// the view.
TEST(FleetView, CompleteListRemovesMissingObjects)
{
    FleetView view;
    const MemberRecord member{
        .incarnation = 4, .views = {{"records", PrimaryView::Unreachable}}, .released = {{"records", 3}}};
    view.apply(
        {.objects = {{.name = FleetView::memberName("i1"), .revision = 3, .content = member.toText()}}, .revision = 3},
        milliseconds(1));
    ASSERT_NE(view.member("i1"), nullptr);
    EXPECT_EQ(view.member("i1")->record, member);
    view.apply({.complete = true, .objects = {makeLeadershipObject(9, 1, "a")}, .revision = 9}, milliseconds(2));
    EXPECT_EQ(view.member("i1"), nullptr);
}

// Guards against interpreting an object of another writer, or one that cannot be parsed, as a record.
TEST(FleetView, UnreadableObjectsAreIgnored)
{
    FleetView view;
    view.apply({.objects = {{.name = FleetView::recordName("records"), .revision = 3, .content = "[1, 2"},
                            {.name = FleetView::memberName("i1"), .revision = 4, .content = R"({"incarnation":"x"})"},
                            {.name = "something", .revision = 5, .content = "{}"}},
                .revision = 5},
               milliseconds(1));
    EXPECT_EQ(view.record("records"), nullptr);
    EXPECT_EQ(view.member("i1"), nullptr);
}

} // namespace

} // namespace Jujubekeel

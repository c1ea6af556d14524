#include "leadership/fleetview.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

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

FleetObject makeMemberObject(std::uint64_t revision, const std::string &instance, std::uint64_t incarnation)
{
    return FleetObject{.name = FleetView::memberName(instance),
                       .revision = revision,
                       .content = MemberRecord{.incarnation = incarnation}.toText()};
}

// Guards against an older record of a restored store that replaces the one that this instance knows.
TEST(FleetView, LaterRecordOfBeforeIsKeptUntilTheStoreHasIt)
{
    FleetView view;
    view.apply({.complete = true, .objects = {makeLeadershipObject(30, 2, "b")}, .revision = 30, .era = 1},
               milliseconds(1));
    view.apply({.complete = true, .objects = {makeLeadershipObject(5, 1, "a")}, .revision = 12, .era = 2},
               milliseconds(2));
    EXPECT_EQ(view.record("records")->record.primary, "b");
    EXPECT_TRUE(view.record("records")->lost);
    EXPECT_EQ(view.record("records")->version, (StoreVersion{.era = 2, .revision = 5}));
    view.apply({.objects = {makeLeadershipObject(13, 2, "b")}, .revision = 13, .era = 2}, milliseconds(3));
    EXPECT_FALSE(view.record("records")->lost);
    EXPECT_EQ(view.record("records")->version, (StoreVersion{.era = 2, .revision = 13}));
}

// Guards against registrations of before being forgotten while their leases may still hold, or kept afterwards.
TEST(FleetView, MembersOfBeforeAreRememberedUntilTheEraIsRecovered)
{
    FleetView view;
    view.apply({.complete = true, .objects = {makeMemberObject(30, "i1", 4)}, .revision = 30, .era = 1},
               milliseconds(1));
    view.apply({.complete = true, .revision = 12, .era = 2}, milliseconds(2));
    ASSERT_NE(view.member("i1"), nullptr);
    EXPECT_EQ(view.currentMember("i1"), nullptr);
    EXPECT_FALSE(view.isEraRecovered());
    view.apply({.objects = {{.name = std::string(FleetView::recoveryName),
                             .revision = 13,
                             .content = FleetView::recoveryText(2)}},
                .revision = 13,
                .era = 2},
               milliseconds(3));
    EXPECT_TRUE(view.isEraRecovered());
    EXPECT_EQ(view.member("i1"), nullptr);
}

// Guards against a member that has left being forgotten, and what it acknowledged with it: the view shows since when the
// members cannot know all commits.
TEST(FleetView, MemberThatLeavesIsRecorded)
{
    FleetView view;
    const auto list = [&](std::uint64_t revision, std::vector<FleetObject> objects, Duration at) {
        view.apply({.complete = true, .objects = std::move(objects), .revision = revision, .era = 1, .requestedAt = at},
                   at);
    };
    const FleetObject first = makeMemberObject(5, "i1", 1);
    const FleetObject second = makeMemberObject(6, "i2", 1);
    list(6, {first, second}, milliseconds(1));
    list(7, {first, second}, milliseconds(500));
    EXPECT_EQ(view.memberLostAt(), StoreVersion{}) << "no member is missing";
    list(9, {first}, milliseconds(900));
    EXPECT_EQ(view.memberLostAt(), (StoreVersion{.era = 1, .revision = 9})) << "missing in a list";
    view.apply({.objects = {{.name = first.name, .revision = 12, .deleted = true}}, .revision = 12, .era = 1},
               milliseconds(1000));
    EXPECT_EQ(view.memberLostAt(), (StoreVersion{.era = 1, .revision = 12})) << "removed";
    list(20, {}, std::chrono::seconds(9));
    EXPECT_EQ(view.memberLostAt(), (StoreVersion{.era = 1, .revision = 20})) << "others may have come and gone";
}

// Guards against changes of another era being added to a view that lacks the changes before them.
TEST(FleetView, ChangesOfAnotherEraNeedACompleteList)
{
    FleetView view;
    view.apply({.complete = true, .objects = {makeMemberObject(30, "i1", 4)}, .revision = 30, .era = 1},
               milliseconds(1));
    EXPECT_FALSE(view.apply({.objects = {makeMemberObject(40, "i2", 5)}, .revision = 40, .era = 2}, milliseconds(2)));
    EXPECT_EQ(view.member("i2"), nullptr);
}

// Guards against a reported registration that is dropped because the restored store gave it a lower revision.
TEST(FleetView, ReportOfALaterEraReplacesMembers)
{
    FleetView view;
    EXPECT_TRUE(view.apply(
        {.complete = true, .reported = true, .objects = {makeMemberObject(30, "i1", 4)}, .revision = 30, .era = 1},
        milliseconds(1)));
    EXPECT_TRUE(view.apply(
        {.complete = true, .reported = true, .objects = {makeMemberObject(9, "i1", 5)}, .revision = 12, .era = 2},
        milliseconds(2)));
    EXPECT_EQ(view.member("i1")->record.incarnation, 5U);
}

// Guards against a record of a group that stays in the view although the store returned from a copy without it.
TEST(FleetView, GroupRecordsFollowTheStore)
{
    const auto group = [](std::uint64_t revision, const std::set<std::string> &servers) {
        return FleetObject{.name = FleetView::groupName("records"),
                           .revision = revision,
                           .content = GroupRecord{.servers = servers}.toText()};
    };
    FleetView view;
    EXPECT_TRUE(
        view.apply({.complete = true, .objects = {group(5, {"a", "b"})}, .revision = 5, .era = 1}, milliseconds(1)));
    ASSERT_NE(view.group("records"), nullptr);
    EXPECT_EQ(view.group("records")->record.servers, (std::set<std::string>{"a", "b"}));
    EXPECT_TRUE(view.apply({.complete = true, .objects = {group(3, {"a"})}, .revision = 4, .era = 2}, milliseconds(2)));
    EXPECT_EQ(view.group("records")->record.servers, std::set<std::string>{"a"});
    EXPECT_TRUE(view.apply({.complete = true, .revision = 5, .era = 2}, milliseconds(3)));
    EXPECT_EQ(view.group("records"), nullptr);
    EXPECT_FALSE(FleetView::isReadable(FleetView::groupName("records"), "{}"));
}

// Guards against a declaration that is lost with a restored store: an announcement that names the candidate of an earlier
// epoch was taken for one.
TEST(LeadershipRecord, DeclarationIsLaterThanAnAnnouncementThatNamesACandidate)
{
    const LeadershipRecord announced{.epoch = 2, .changing = true, .candidate = "r"};
    LeadershipRecord declared = announced;
    declared.declared = true;
    EXPECT_TRUE(declared.isLaterThan(announced));
    EXPECT_FALSE(announced.isLaterThan(declared));
}

// Guards against a candidate of an instance of an earlier version, which does not write whether it declared it, being
// replaced while it is in use.
TEST(LeadershipRecord, CandidateOfAnEarlierVersionCountsAsDeclared)
{
    const std::string text = R"({"epoch":1,"term":1,"primary":"p","changing":true,"planned":false,"holder":"a",)";
    const auto with = LeadershipRecord::fromText(text + R"("candidate":"r","termAbove":1})");
    ASSERT_TRUE(with.has_value());
    EXPECT_TRUE(with->declared);
    const auto without = LeadershipRecord::fromText(text + R"("candidate":"","termAbove":0})");
    ASSERT_TRUE(without.has_value());
    EXPECT_FALSE(without->declared);
}

} // namespace

} // namespace Jujubekeel

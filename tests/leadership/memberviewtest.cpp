#include "leadership/memberview.h"

#include "leadership/fleetmessages.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

FleetUpdate listOf(const std::vector<std::string> &instances, std::uint64_t revision, TimePoint requestedAt)
{
    FleetUpdate update{.complete = true, .revision = revision, .era = 1, .requestedAt = requestedAt};
    for (const std::string &instance : instances)
        update.objects.push_back(FleetObject{.name = FleetView::memberName(instance),
                                             .revision = revision,
                                             .content = MemberRecord{.incarnation = 1}.toText()});
    return update;
}

// Guards against an answer of the store that was late undoing what another member has reported since.
TEST(MemberView, LateAnswerDoesNotReplaceANewerReport)
{
    MemberView view;
    view.read(listOf({"a"}, 5, milliseconds(10)), milliseconds(20));
    EXPECT_EQ(view.verifiedAt(), milliseconds(10));
    FleetUpdate report = listOf({"a", "b"}, 9, TimePoint{0});
    report.reported = true;
    view.reported(report, milliseconds(30));
    view.confirmed(milliseconds(25));
    view.read(listOf({"a"}, 7, milliseconds(15)), milliseconds(40));
    EXPECT_EQ(view.fleet().members().size(), 2U);
    EXPECT_EQ(view.verifiedAt(), milliseconds(25));
    view.read(listOf({"a", "b", "c"}, 10, milliseconds(50)), milliseconds(60));
    EXPECT_EQ(view.fleet().members().size(), 3U);
    EXPECT_EQ(view.verifiedAt(), milliseconds(50));
}

// Guards against a report that is older than what the store has shown.
TEST(MemberView, OlderReportIsIgnored)
{
    MemberView view;
    view.read(listOf({"a", "b"}, 9, milliseconds(10)), milliseconds(20));
    FleetUpdate report = listOf({"a"}, 5, TimePoint{0});
    report.reported = true;
    view.reported(report, milliseconds(30));
    EXPECT_EQ(view.fleet().members().size(), 2U);
    view.confirmed(milliseconds(5));
    EXPECT_EQ(view.verifiedAt(), milliseconds(10));
}

} // namespace

} // namespace Jujubekeel

#include "support/corefleet.h"

#include <gtest/gtest.h>

#include <string>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void setRules(CoreFleet &fleet)
{
    for (std::uint32_t index = 0; index < 3; ++index) {
        fleet.input(index, PeerMessageArrived{
                               .from = InstanceId{.index = (index + 1) % 3, .generation = 0},
                               .message = RulesUpdate{.version = 1, .text = "read-age db lookup.* 30s # test\n"}});
    }
}

CallerRequest makeRequest(std::uint64_t ticket, RequestKind kind)
{
    const bool write = kind == RequestKind::Write;
    return {.ticket = ticket,
            .database = "db",
            .caller = "caller",
            .session = "session-1",
            .operation = write ? "store" : "lookup.list",
            .kind = kind,
            .statement = write ? "put k written" : "get k",
            .timeout = seconds(2)};
}

const CallerAnswer *findAnswer(const CoreFleet &fleet, std::uint64_t ticket)
{
    for (const CallerAnswer &answer : fleet.answers()) {
        if (answer.ticket == ticket)
            return &answer;
    }
    return nullptr;
}

// Guards against a stale read from a replaced primary that is partitioned off together with its owner and one caller.
// The session sends no token, and it has written at the new primary. Before the partition the same read must succeed,
// which shows that the later refusal is due to the missing barrier.
TEST(ReadBarrier, ReplacedPrimaryServesNoReadWithoutAToken)
{
    CoreFleet fleet;
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.allOwned() && fleet.allHavePrimary(0); }));
    fleet.run(seconds(6)); // past the promotion hold-off after the first primary became known
    setRules(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const std::string ownerName = "i" + std::to_string(owner);
    fleet.input(owner, CallerRequestArrived{.request = makeRequest(1, RequestKind::Read)});
    ASSERT_TRUE(fleet.runUntil(seconds(2), [&] { return findAnswer(fleet, 1) != nullptr; }));
    ASSERT_EQ(findAnswer(fleet, 1)->code, ResultCode::Ok) << findAnswer(fleet, 1)->text;
    ASSERT_EQ(findAnswer(fleet, 1)->decision.backend, "b0");

    // The other side promotes another server, and the session writes there.
    fleet.isolate({ownerName, "b0"});
    const std::uint32_t outside = (owner + 1) % 3;
    ASSERT_TRUE(fleet.runUntil(seconds(5), [&] { return fleet.knownPrimary(outside) > 0; }));
    fleet.input(outside, CallerRequestArrived{.request = makeRequest(2, RequestKind::Write)});
    ASSERT_TRUE(fleet.runUntil(seconds(5), [&] { return findAnswer(fleet, 2) != nullptr; }));
    ASSERT_EQ(findAnswer(fleet, 2)->code, ResultCode::Ok) << findAnswer(fleet, 2)->text;
    ASSERT_EQ(fleet.knownPrimary(owner), 0);

    fleet.input(owner, CallerRequestArrived{.request = makeRequest(3, RequestKind::Read)});
    ASSERT_TRUE(fleet.runUntil(seconds(5), [&] { return findAnswer(fleet, 3) != nullptr; }));
    EXPECT_EQ(executionName(resultCodeInfo(findAnswer(fleet, 3)->code).execution), executionName(Execution::NotRun))
        << "answered by " << findAnswer(fleet, 3)->decision.backend;
}

} // namespace

} // namespace Jujubekeel

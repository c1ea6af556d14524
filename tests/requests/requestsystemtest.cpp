#include "core/proxycore.h"

#include <gtest/gtest.h>

#include <variant>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One proxy and one database whose primary is owned by the peer `other`. The test supplies all messages of the peer.
class EntryProxy : public testing::Test
{
protected:
    EntryProxy() : core(ProxyCoreOptions{.layout = makeLayout(), .proxy = makeOptions(), .self = {.index = 0}})
    {
        this->step(Tick{});
        this->step(PeerMessageArrived{.from = other, .message = RulesUpdate{.version = 1, .text = rulesText}});
        this->receiveHeartbeat(1);
    }

    static FleetLayout makeLayout()
    {
        FleetLayout layout{.user = "test"};
        layout.instances = {{.name = "self", .failureDomain = "a"}, {.name = "other", .failureDomain = "b"}};
        layout.databases = {{.name = "orders", .backends = {{.index = 0}, {.index = 1}, {.index = 2}}}};
        for (const char *name : {"s1", "s2", "s3"})
            layout.backends.push_back({.name = name, .database = {.index = 0}, .failureDomain = "b"});
        return layout;
    }

    static ProxyOptions makeOptions() { return {.session = {.tokenKeys = {"test-key"}}}; }

    void step(const Input &input)
    {
        this->actions.clear();
        this->core.step(this->now, input, this->actions);
    }

    /// Delivers a heartbeat of the peer that reports the first server as primary of \a term.
    void receiveHeartbeat(std::uint64_t term)
    {
        BackendReport report{.backend = {.index = 0},
                             .primary = true,
                             .applied = {.term = term, .position = 10},
                             .received = {.term = term, .position = 10},
                             .confirmedAge = milliseconds(0)};
        for (std::uint64_t earlier = 1; earlier <= term; ++earlier)
            report.history.append({.term = earlier, .start = earlier == 1 ? 0U : 10U});
        this->step(PeerMessageArrived{.from = other,
                                      .message = Heartbeat{.incarnation = 1,
                                                           .sentAt = this->now,
                                                           .echo = this->now,
                                                           .echoIncarnation = 1,
                                                           .rulesVersion = 1,
                                                           .owned = {report}}});
    }

    void request(RequestKind kind, const std::string &operation, const std::string &key = {})
    {
        this->step(CallerRequestArrived{.request = {.ticket = ++this->ticket,
                                                    .database = "orders",
                                                    .operation = operation,
                                                    .kind = kind,
                                                    .statement = kind == RequestKind::Begin ? "" : "append list x",
                                                    .requestKey = key,
                                                    .timeout = seconds(5)}});
    }

    /// Advances the time with ticks and heartbeats of the peer until the proxy forwards or answers a request.
    void runUntilAction(std::uint64_t term, Duration limit = seconds(6))
    {
        const TimePoint end = this->now + limit;
        while (this->now < end && !this->lastForward() && !this->lastAnswer()) {
            this->now += milliseconds(10);
            if (this->now.count() % 250000 == 0)
                this->receiveHeartbeat(term);
            if (!this->lastForward() && !this->lastAnswer())
                this->step(Tick{});
        }
    }

    [[nodiscard]] const ForwardRequest *lastForward() const
    {
        for (const Action &action : this->actions) {
            const auto *send = std::get_if<SendToPeer>(&action);
            if (send != nullptr && std::holds_alternative<ForwardRequest>(send->message))
                return &std::get<ForwardRequest>(send->message);
        }
        return nullptr;
    }

    [[nodiscard]] const CallerAnswer *lastAnswer() const
    {
        for (const Action &action : this->actions) {
            if (const auto *answer = std::get_if<AnswerCaller>(&action))
                return &answer->answer;
        }
        return nullptr;
    }

    void answerForward(ForwardAnswer answer)
    {
        this->step(PeerMessageArrived{.from = other, .message = std::move(answer)});
    }

    static constexpr InstanceId other{.index = 1, .generation = 0};
    static constexpr const char *rulesText = "no-repeat orders booking.* # Jón: rims would be pulled twice\n";

    ProxyCore core;
    Actions actions;
    TimePoint now{seconds(1)};
    std::uint64_t ticket = 0;
};

// Guards against sending a non-repeatable write twice after its answer was lost.
TEST_F(EntryProxy, NonRepeatableWriteIsLookedUpAfterAnUnknownOutcome)
{
    this->request(RequestKind::Write, "booking.create");
    ASSERT_NE(this->lastForward(), nullptr);
    EXPECT_FALSE(this->lastForward()->lookup);
    const ForwardRequest first = *this->lastForward();

    this->answerForward({.forwardId = first.forwardId, .code = ResultCode::OutcomeUnknown});
    this->runUntilAction(1);
    ASSERT_NE(this->lastForward(), nullptr);
    EXPECT_TRUE(this->lastForward()->lookup);
    EXPECT_EQ(this->lastForward()->request.requestKey, first.request.requestKey);
}

// Guards against the result "not run" for a write that may still run: under the same term, an absent key proves
// nothing.
TEST_F(EntryProxy, AbsentKeyUnderTheSameTermStaysUnknown)
{
    this->request(RequestKind::Write, "booking.create");
    this->answerForward({.forwardId = this->lastForward()->forwardId, .code = ResultCode::OutcomeUnknown});
    while (this->lastAnswer() == nullptr) {
        this->runUntilAction(1);
        if (this->lastForward() != nullptr) {
            EXPECT_TRUE(this->lastForward()->lookup);
            this->answerForward({.forwardId = this->lastForward()->forwardId,
                                 .code = ResultCode::NotFound,
                                 .position = {.term = 1, .position = 0}});
        }
        ASSERT_LT(this->now, seconds(20));
    }
    EXPECT_EQ(this->lastAnswer()->code, ResultCode::OutcomeUnknown);
}

// Guards against failing a write that can be sent again: an absent key under a newer term proves that it never ran.
TEST_F(EntryProxy, AbsentKeyUnderANewerTermAllowsAnotherAttempt)
{
    this->request(RequestKind::Write, "booking.create");
    this->answerForward({.forwardId = this->lastForward()->forwardId, .code = ResultCode::OutcomeUnknown});
    this->receiveHeartbeat(2);
    this->runUntilAction(2);
    ASSERT_NE(this->lastForward(), nullptr);
    ASSERT_TRUE(this->lastForward()->lookup);
    EXPECT_EQ(this->lastForward()->term, 2U);

    this->answerForward({.forwardId = this->lastForward()->forwardId,
                         .code = ResultCode::NotFound,
                         .position = {.term = 2, .position = 0}});
    this->runUntilAction(2);
    ASSERT_NE(this->lastForward(), nullptr);
    EXPECT_FALSE(this->lastForward()->lookup);
    EXPECT_EQ(this->lastForward()->term, 2U);
}

// Guards against a leaked connection: a Begin that succeeds after its deadline opens a transaction without a caller.
TEST_F(EntryProxy, LateBeginIsRolledBack)
{
    this->request(RequestKind::Begin, "order.edit");
    ASSERT_NE(this->lastForward(), nullptr);
    const ForwardRequest begin = *this->lastForward();
    EXPECT_TRUE(begin.barrier);
    this->now += seconds(6);
    this->step(Tick{});
    ASSERT_NE(this->lastAnswer(), nullptr);

    this->answerForward({.forwardId = begin.forwardId, .code = ResultCode::Ok, .transaction = "other/1/0/1/s1"});
    ASSERT_NE(this->lastForward(), nullptr);
    EXPECT_EQ(this->lastForward()->request.kind, RequestKind::Rollback);
    EXPECT_EQ(this->lastForward()->request.session, begin.request.session);
}

// Guards against a second answer to a caller: an owner may answer after the deadline of the request.
TEST_F(EntryProxy, LateAnswerIsDropped)
{
    this->request(RequestKind::Write, "order.edit");
    const std::uint64_t forward = this->lastForward()->forwardId;
    this->now += seconds(6);
    this->step(Tick{});
    ASSERT_NE(this->lastAnswer(), nullptr);
    EXPECT_EQ(this->lastAnswer()->code, ResultCode::OutcomeUnknown);

    this->answerForward({.forwardId = forward, .code = ResultCode::Ok, .position = {.term = 1, .position = 11}});
    EXPECT_EQ(this->lastAnswer(), nullptr);
}

// Guards against a session token whose position misses earlier writes: a session without its token may have written
// anywhere, and the answer to Begin carries no position.
TEST_F(EntryProxy, SessionWithoutItsMarkGetsNoTokenFromBegin)
{
    this->step(CallerRequestArrived{.request = {.ticket = ++this->ticket,
                                                .database = "orders",
                                                .session = "known-session",
                                                .operation = "order.edit",
                                                .kind = RequestKind::Begin,
                                                .timeout = seconds(5)}});
    ASSERT_NE(this->lastForward(), nullptr);
    this->answerForward(
        {.forwardId = this->lastForward()->forwardId, .code = ResultCode::Ok, .transaction = "other/1/0/1/s1"});
    ASSERT_NE(this->lastAnswer(), nullptr);
    EXPECT_TRUE(this->lastAnswer()->token.empty());
}

} // namespace

} // namespace Jujubekeel

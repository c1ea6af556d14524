#include "pool/poolsupport.h"
#include "ratelimit/rateranks.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateLimit acmeLimit{.operationsPerSecond = 40, .burst = 40};
/// Share of the limit that organisations usually send.
constexpr double usual = 0.63;

/// Nine instances, three of which are members, with callers of three organisations at all of them: `acme` and `other`
/// with a limit, `blocked` with one of 0. Each operation is one read.
class LimitedPool
{
public:
    explicit LimitedPool(std::uint64_t seed = 1) : LimitedPool(seed, largeFleetOptions(seed)) {}
    LimitedPool(std::uint64_t seed, VirtualPoolOptions options)
        : pool([&] {
              options.namedOrganisations = organisations(acmeLimit);
              return options;
          }()),
          random(seed)
    {
        this->pool.setOnReply([this](VirtualPool::CallerId caller, const CallerReply &reply) {
            const auto found = this->running.find(caller);
            if (found == this->running.end())
                return;
            Operation &operation = this->operations[found->second];
            operation.endedAt = this->pool.now();
            if (reply.error) {
                operation.error = reply.error->code;
                operation.text = reply.error->text;
            }
            this->idle[{this->pool.caller(caller).instance, operation.organisation}].push_back(caller);
            this->running.erase(found);
        });
        this->pool.run(seconds(5));
    }

    static std::vector<Organisation> organisations(std::optional<RateLimit> limitOfAcme)
    {
        return {Organisation{.name = "acme", .limit = limitOfAcme},
                Organisation{.name = "blocked", .limit = RateLimit{}},
                Organisation{.name = "other", .limit = RateLimit{.operationsPerSecond = 80, .burst = 80}}};
    }

    /// Operations at random instances for a time.
    void offer(const std::string &organisation, double perSecond, Duration period)
    {
        const Duration gap(static_cast<std::int64_t>(1e6 / perSecond));
        for (Duration at{0}; at < period; at += gap)
            this->pool.at(at + Duration(static_cast<std::int64_t>(this->random.below(20'000))),
                          [this, organisation] { this->start(organisation); });
    }
    void start(const std::string &organisation)
    {
        std::size_t instance = this->random.below(this->pool.instanceCount());
        while (this->pool.core(instance) == nullptr || this->avoided.contains(instance))
            instance = this->random.below(this->pool.instanceCount());
        std::deque<VirtualPool::CallerId> &sessions = this->idle[{instance, organisation}];
        while (!sessions.empty() && this->pool.caller(sessions.front()).closed)
            sessions.pop_front();
        VirtualPool::CallerId caller = 0;
        if (sessions.empty()) {
            const auto opened = this->pool.openCaller(instance, VirtualPool::boundedRoute, organisation);
            if (!opened)
                return;
            caller = *opened;
        } else {
            caller = sessions.front();
            sessions.pop_front();
        }
        const std::string id = "op" + std::to_string(this->operations.size());
        this->running[caller] = this->operations.size();
        this->operations.push_back(Operation{.organisation = organisation, .startedAt = this->pool.now()});
        this->pool.send(caller, Statement{.kind = StatementKind::Read, .id = id, .text = "READ 1a4"});
    }

    struct Operation
    {
        std::string organisation;
        TimePoint startedAt{0};
        TimePoint endedAt{0};
        std::optional<OutcomeCode> error;
        std::string text;
        [[nodiscard]] bool ran() const { return this->endedAt.count() != 0 && !this->error; }
    };

    [[nodiscard]] std::size_t count(const std::string &organisation, TimePoint from, bool ran) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->operations.begin(), this->operations.end(), [&](const Operation &operation) {
                return operation.organisation == organisation && operation.startedAt >= from && operation.ran() == ran;
            }));
    }
    /// Most operations in a window of 5 s.
    [[nodiscard]] std::size_t mostInWindow(const std::string &organisation) const
    {
        std::vector<TimePoint> ended;
        for (const Operation &operation : this->operations) {
            if (operation.organisation == organisation && operation.ran())
                ended.push_back(operation.endedAt);
        }
        std::sort(ended.begin(), ended.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < ended.size(); ++last) {
            while (ended[first] <= ended[last] - seconds(5))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    static std::size_t windowBound(const RateLimit &limit)
    {
        return static_cast<std::size_t>((limit.operationsPerSecond * 5 + limit.burst) * 1.1 + 20);
    }
    /// A member that grants the organisation's operations.
    [[nodiscard]] std::size_t firstMember(const std::string &organisation) const
    {
        std::vector<RateMember> members;
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance) {
            const PoolOptions &options = this->pool.core(instance)->state().options;
            if (!this->pool.core(instance)->state().isRelaying())
                members.push_back({.name = "i" + std::to_string(instance), .region = options.region});
        }
        RateRanks ranks;
        ranks.setMembers(members);
        return std::stoul(std::string(ranks.membersOf(organisation)[0].substr(1)));
    }
    [[nodiscard]] std::size_t relayingInstance() const
    {
        std::size_t instance = 0;
        while (!this->pool.core(instance)->state().isRelaying())
            ++instance;
        return instance;
    }
    [[nodiscard]] std::string unexpectedErrors() const
    {
        std::vector<std::string> lines;
        for (const Operation &operation : this->operations) {
            if (operation.endedAt.count() == 0)
                lines.push_back(operation.organisation + ": no answer");
            else if (operation.error && operation.error != OutcomeCode::Overload)
                lines.push_back(operation.organisation + ": " + operation.text);
        }
        return joined(lines);
    }

    VirtualPool pool;
    SeededRandom random;
    std::set<std::size_t> avoided; ///< instances to which no operations are sent
    std::vector<Operation> operations;
    std::map<VirtualPool::CallerId, std::size_t> running; ///< operation of each busy session
    std::map<std::pair<std::size_t, std::string>, std::deque<VirtualPool::CallerId>> idle;
};

/// Links that carry work or the feed.
std::size_t workLinks(const PoolCore &core)
{
    std::size_t count = 0;
    core.state().links.forEach([&](LinkId, const LinkRow &row) { count += row.forRequests ? 0 : 1; });
    return count;
}

// Guards against an organisation that sends 7 times its usual load taking the servers from the others, and against
// instances that each allow the whole limit.
TEST(RateLimit, ExcessIsHeldToTheLimitWhileOthersAreServed)
{
    LimitedPool run;
    const TimePoint from = run.pool.now();
    run.offer("acme", 7 * usual * 40, seconds(15));
    run.offer("other", usual * 80, seconds(15));
    run.pool.run(seconds(17));
    EXPECT_LE(run.mostInWindow("acme"), LimitedPool::windowBound(acmeLimit));
    EXPECT_GE(run.count("acme", from, true), 15U * 40 * 85 / 100) << "less than 85 % of the limit was used";
    EXPECT_LE(run.count("other", from, false) * 100, run.count("other", from, true));
    EXPECT_EQ(run.unexpectedErrors(), "");
    EXPECT_GT(run.pool.countLogs("rate-limited"), 0U);
}

// Guards against the limit being exceeded, or the usual demand refused for long, when a member that grants it is
// killed. Its record stays in the store.
TEST(RateLimit, MemberKilled)
{
    LimitedPool run;
    const std::size_t killed = run.firstMember("acme");
    run.avoided.insert(killed);
    run.offer("acme", 7 * usual * 40, seconds(8));
    run.pool.run(seconds(3));
    run.pool.killInstance(killed);
    run.pool.run(seconds(17));
    EXPECT_LE(run.mostInWindow("acme"), LimitedPool::windowBound(acmeLimit));
    const TimePoint later = run.pool.now();
    run.offer("acme", usual * 40, seconds(10));
    run.pool.run(seconds(12));
    EXPECT_LE(run.count("acme", later, false) * 20, run.count("acme", later, true));
}

// Guards against operations that wait for a member that does not answer, and a member that grants too much when it
// continues.
TEST(RateLimit, MemberFrozen)
{
    LimitedPool run;
    const std::size_t frozen = run.firstMember("acme");
    run.avoided.insert(frozen);
    const TimePoint from = run.pool.now();
    run.offer("acme", 7 * usual * 40, seconds(10));
    run.pool.run(seconds(3));
    run.pool.freezeInstance(frozen, seconds(3));
    run.pool.run(seconds(9));
    EXPECT_LE(run.mostInWindow("acme"), LimitedPool::windowBound(acmeLimit));
    for (const auto &operation : run.operations) {
        if (operation.error == OutcomeCode::Overload) {
            EXPECT_LE(operation.endedAt - operation.startedAt, milliseconds(510)) << operation.text;
        }
    }
    EXPECT_GE(run.count("acme", from, true), 10U * 40 / 2);
}

// Guards against a transaction that loses the work it has done because its organisation has reached its limit since.
TEST(RateLimit, TransactionThatHasBegunIsFinished)
{
    LimitedPool run;
    const std::size_t instance = run.relayingInstance();
    const auto caller = *run.pool.openCaller(instance, VirtualPool::primaryRoute, "acme");
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Begin, "b1", "BEGIN").error);
    run.offer("acme", 400, seconds(2));
    run.pool.run(seconds(1));
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Write, "w1", "WRITE 1a4 x").error);
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Read, "r1", "READ 1a4").error);
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Commit, "c1", "COMMIT").error);
    EXPECT_GT(run.pool.countLogs("rate-limited"), 0U);
    const auto refused = std::find_if(run.operations.begin(), run.operations.end(),
                                      [](const auto &operation) { return operation.error == OutcomeCode::Overload; });
    ASSERT_NE(refused, run.operations.end());
    EXPECT_NE(refused->text.find("retry after "), std::string::npos) << refused->text;
}

// Guards against refused operations that take links and slots from those that run, and against statements that need no
// server being counted.
TEST(RateLimit, RefusedWorkOpensNoLink)
{
    LimitedPool run;
    const std::size_t instance = run.relayingInstance();
    const auto caller = *run.pool.openCaller(instance, VirtualPool::primaryRoute, "blocked");
    const std::size_t before = workLinks(*run.pool.core(instance));
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::SetValue, "s1", "SET a b", "a", "b").error);
    for (int round = 0; round < 20; ++round) {
        const std::string id = std::to_string(round);
        const CallerReply read = runStatement(run.pool, caller, StatementKind::Read, "r" + id, "READ 1a4");
        ASSERT_TRUE(read.error);
        EXPECT_EQ(read.error->code, OutcomeCode::Overload);
        const CallerReply begin = runStatement(run.pool, caller, StatementKind::Begin, "b" + id, "BEGIN");
        ASSERT_TRUE(begin.error);
        EXPECT_EQ(begin.error->code, OutcomeCode::Overload);
        EXPECT_EQ(begin.state, SessionState::Idle);
        EXPECT_EQ(workLinks(*run.pool.core(instance)), before);
    }
    EXPECT_EQ(run.pool.group().history().reads.size(), 0U);
}

// Guards against answers out of order: a statement that needs no server must not overtake an operation that waits.
TEST(RateLimit, StatementsWaitBehindAnOperationThatWaits)
{
    LimitedPool run;
    const std::size_t instance = run.relayingInstance();
    const auto isolate = [&](bool isolated) {
        for (std::size_t member = 0; member < run.pool.instanceCount(); ++member) {
            if (member != instance)
                run.pool.isolateInstances(instance, member, isolated);
        }
    };
    // A refused operation asks all three members, which opens the connections to them.
    const auto first = *run.pool.openCaller(instance, VirtualPool::boundedRoute, "blocked");
    EXPECT_TRUE(runStatement(run.pool, first, StatementKind::Read, "r0", "READ 1a4").error);
    isolate(true);
    const auto caller = *run.pool.openCaller(instance, VirtualPool::boundedRoute, "acme");
    const TimePoint before = run.pool.now();
    run.pool.send(caller, Statement{.kind = StatementKind::Read, .id = "r1", .text = "READ 1a4"});
    run.pool.send(
        caller,
        Statement{.kind = StatementKind::SetValue, .id = "s1", .text = "SET a b", .name = "a", .argument = "b"});
    run.pool.run(milliseconds(100));
    EXPECT_EQ(run.pool.caller(caller).replies.size(), 0U);
    isolate(false);
    run.pool.run(milliseconds(700));
    ASSERT_EQ(run.pool.caller(caller).replies.size(), 2U);
    EXPECT_NE(run.pool.caller(caller).replies.front().digest, "");
    EXPECT_LT(run.pool.caller(caller).repliedAt.back() - before, milliseconds(500));
    // A caller that leaves while it waits must not leave an operation behind.
    run.pool.run(milliseconds(500));
    run.pool.send(caller, Statement{.kind = StatementKind::Read, .id = "r2", .text = "READ 1a4"});
    run.pool.closeCaller(caller);
    run.pool.run(seconds(1));
    const auto next = *run.pool.openCaller(instance, VirtualPool::boundedRoute, "acme");
    EXPECT_FALSE(runStatement(run.pool, next, StatementKind::Read, "r3", "READ 1a4").error);
}

// Guards against a limit that stays in force after it was changed or removed, and against one that is not applied to
// sessions that are open already.
TEST(RateLimit, ChangedLimitTakesEffect)
{
    LimitedPool run;
    run.offer("acme", 7 * usual * 40, seconds(16));
    run.pool.run(seconds(3));
    const RateLimit lowered{.operationsPerSecond = 2, .burst = 0};
    run.pool.publishOrganisations(2, LimitedPool::organisations(lowered));
    run.pool.run(seconds(5));
    const TimePoint low = run.pool.now();
    run.pool.run(seconds(5));
    EXPECT_LE(run.count("acme", low, true), LimitedPool::windowBound(lowered));
    run.pool.publishOrganisations(3, LimitedPool::organisations(std::nullopt));
    run.pool.run(milliseconds(1500));
    const TimePoint unlimited = run.pool.now();
    run.pool.run(seconds(3));
    EXPECT_EQ(run.count("acme", unlimited, false), 0U);
    EXPECT_EQ(run.unexpectedErrors(), "");
}

class RateLimitFaults : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against a limit that refuses operations within it, or grants only a part of it, while no instance reaches the store.
TEST(RateLimit, WholeRateIsGrantedWhileTheStoreIsAway)
{
    for (const double demand : {usual, 7 * usual}) {
        SCOPED_TRACE(demand);
        LimitedPool run;
        run.offer("acme", demand * 40, seconds(6));
        run.pool.run(seconds(1));
        const TimePoint awaySince = run.pool.now();
        run.pool.setStoreAvailable(false);
        run.pool.run(milliseconds(4500));
        const std::size_t ran = run.count("acme", awaySince, true);
        run.pool.setStoreAvailable(true);
        run.pool.run(seconds(3));
        if (demand < 1) {
            EXPECT_EQ(run.count("acme", TimePoint{0}, false), 0U);
        } else {
            EXPECT_GE(static_cast<double>(ran), 40 * 4.5 * 0.95);
        }
    }
}

/// Seven members, one of which joins after the others and takes the place of another one in granting operations of `acme`.
struct JoiningMember
{
    JoiningMember()
        : run(1, [] {
              VirtualPoolOptions options{.instances = 7, .relays = true};
              options.pool.minMembers = 9;
              options.pool.maxMembers = 9;
              return options;
          }())
    {
        while (!this->findDisplaced())
            ++this->joining;
        this->run.pool.requestStop(this->joining);
        this->run.pool.run(seconds(8));
    }
    bool findDisplaced()
    {
        RateRanks with;
        RateRanks without;
        std::vector<RateMember> members;
        for (std::size_t instance = 0; instance < this->run.pool.instanceCount(); ++instance)
            members.push_back(
                {.name = "i" + std::to_string(instance), .region = this->run.pool.instanceDomain(instance)});
        with.setMembers(members);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(this->joining));
        without.setMembers(members);
        for (const std::string_view name : without.membersOf("acme")) {
            if (!with.rankOf("acme", name)) {
                this->displaced = std::stoul(std::string(name.substr(1)));
                return true;
            }
        }
        return false;
    }
    void finish()
    {
        this->run.offer("acme", 7 * usual * 40, seconds(14));
        this->run.pool.run(milliseconds(500));
        this->run.pool.startInstance(this->joining);
        this->run.pool.run(seconds(16));
        EXPECT_FALSE(this->run.pool.core(this->joining)->state().isRelaying());
        EXPECT_LE(this->run.mostInWindow("acme"), LimitedPool::windowBound(acmeLimit));
        EXPECT_GT(this->run.count("acme", TimePoint{0}, true), 14U * 40 * 2 / 3);
    }

    LimitedPool run;
    std::size_t joining = 0;
    std::size_t displaced = 0;
};

// Guards against a share of the limit that two members grant: the store turns the one away that has lost it, so that it does
// not learn of the member that joined (review case 15).
TEST(RateLimit, TurnedAwayMemberLearnsFromOthersThatItsShareIsTaken)
{
    JoiningMember test;
    test.run.pool.setStoreReachable(test.displaced, false);
    test.run.pool.at(seconds(9), [&] { test.run.pool.setStoreReachable(test.displaced, true); });
    test.finish();
    const std::string event = "i" + std::to_string(test.joining) + " rate-change-confirmed";
    const auto &lines = test.run.pool.logLines();
    EXPECT_TRUE(std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
        return line.starts_with(event);
    })) << "its share waits for the end of an older right";
}

// Guards against the same if no instance reaches the member either.
TEST(RateLimit, ShareOfAnIsolatedMemberIsTakenOverAfterItsRightHasEnded)
{
    JoiningMember test;
    const auto setIsolated = [&](bool isolated) {
        test.run.pool.setStoreReachable(test.displaced, !isolated);
        for (std::size_t other = 0; other < test.run.pool.instanceCount(); ++other) {
            if (other != test.displaced)
                test.run.pool.isolateInstances(test.displaced, other, isolated);
        }
    };
    setIsolated(true);
    test.run.pool.at(seconds(12), [&] { setIsolated(false); });
    test.finish();
}

// Guards against the limit being exceeded by the sum of all instances while instances, the store or connections fail,
// and against operations that never get an answer.
TEST_P(RateLimitFaults, LimitHolds)
{
    LimitedPool run(GetParam());
    run.offer("acme", 7 * usual * 40, seconds(14));
    SeededRandom faults(GetParam() + 1000);
    for (int fault = 0; fault < 4; ++fault)
        run.pool.at(milliseconds(faults.below(9000)), [&] { applyRandomFault(run.pool, faults); });
    // Operations that may have run so far, which a killed instance no longer reports. Those that were given back have
    // not run.
    std::vector<std::int64_t> last(run.pool.instanceCount(), 0);
    std::vector<std::int64_t> lastTaken(run.pool.instanceCount(), 0);
    std::vector<std::int64_t> totals{0};
    for (int step = 0; step < 220; ++step) {
        run.pool.run(milliseconds(100));
        std::int64_t total = totals.back();
        for (std::size_t instance = 0; instance < last.size(); ++instance) {
            const PoolCore *core = run.pool.core(instance);
            const auto count = [&](const char *name) {
                return core == nullptr ? 0 : static_cast<std::int64_t>(core->state().counters.value(name));
            };
            const std::int64_t taken = count("jujubekeel_pool_rate_taken_total");
            const std::int64_t ran = taken - count("jujubekeel_pool_rate_given_back_total");
            const bool restarted = taken < lastTaken[instance];
            total += restarted ? ran : ran - last[instance];
            last[instance] = ran;
            lastTaken[instance] = taken;
        }
        totals.push_back(total);
        if (totals.size() > 50) {
            EXPECT_LE(total - totals[totals.size() - 51], LimitedPool::windowBound(acmeLimit)) << "step " << step;
        }
    }
    EXPECT_GT(totals.back(), 14 * 40 / 3);
    for (const auto &[caller, operation] : run.running)
        EXPECT_TRUE(run.pool.caller(caller).closed) << "operation " << operation << " has no answer";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RateLimitFaults, testing::Range<std::uint64_t>(1, 61));

// Guards against an operation that stays waiting, or runs, although its key was withdrawn meanwhile, and against one that
// still waits for members when its organisation has no limit any more.
TEST(RateLimit, WaitingOperationFollowsTheConfiguration)
{
    for (const bool removed : {false, true}) {
        LimitedPool run;
        const std::size_t instance = run.firstMember("blocked");
        const auto caller = *run.pool.openCaller(instance, VirtualPool::boundedRoute, "blocked");
        EXPECT_TRUE(runStatement(run.pool, caller, StatementKind::Read, "r1", "READ 1a4").error);
        run.pool.run(seconds(1));
        for (std::size_t other = 0; other < run.pool.instanceCount(); ++other) {
            if (other != instance)
                run.pool.isolateInstances(instance, other, true);
        }
        run.pool.send(caller, Statement{.kind = StatementKind::Read, .id = "r2", .text = "READ 1a4"});
        std::vector<Organisation> organisations = LimitedPool::organisations(acmeLimit);
        organisations[1].limit.reset();
        if (removed)
            organisations.erase(organisations.begin() + 1);
        EXPECT_EQ(run.pool.caller(caller).replies.size(), 1U) << "it waits for the other members";
        run.pool.publishOrganisations(2, organisations);
        run.pool.run(milliseconds(100));
        ASSERT_EQ(run.pool.caller(caller).replies.size(), 2U);
        const auto &error = run.pool.caller(caller).replies.back().error;
        EXPECT_EQ(error.has_value(), removed);
        if (removed && error) {
            EXPECT_EQ(error->code, OutcomeCode::Denied);
        }
        EXPECT_EQ(run.pool.caller(caller).closed, removed);
    }
}

// Guards against callers that take other callers' operations.
TEST(RateLimit, CallersCannotRequestOperations)
{
    LimitedPool run;
    const auto caller = *run.pool.openCaller(run.firstMember("acme"), VirtualPool::boundedRoute, "acme");
    const CallerReply reply =
        runStatement(run.pool, caller, StatementKind::Allowance, "-", "ALLOWANCE acme 9", "acme", "9");
    ASSERT_TRUE(reply.error);
    EXPECT_EQ(reply.error->code, OutcomeCode::Malformed);
}

} // namespace

} // namespace Jujubekeel

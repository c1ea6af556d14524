#include "pool/poolsupport.h"

#include <algorithm>
#include <map>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Callers of one instance that send reads of a `primary` route at a fixed rate, whatever becomes of the earlier ones.
struct Overload
{
    explicit Overload(bool byObjective = false)
        : pool([&] {
              VirtualPoolOptions options{.instances = 1, .latencyObjective = objective};
              options.pool.queueByObjective = byObjective;
              return options;
          }())
    {
        this->pool.run(seconds(2));
        this->pool.setOnReply([this](VirtualPool::CallerId caller, const CallerReply &reply) {
            const Duration took = this->pool.now() - this->sentAt[caller];
            (reply.error ? this->refusedAfter : this->servedAfter).push_back(took);
        });
    }
    /// Sends a statement every \a interval for \a duration, each over a session of its own.
    void send(Duration interval, Duration duration)
    {
        const TimePoint end = this->pool.now() + duration;
        while (this->pool.now() < end) {
            const auto caller = *this->pool.openCaller(0, VirtualPool::primaryRoute);
            this->sentAt[caller] = this->pool.now();
            this->pool.send(caller, Statement{.kind = StatementKind::Read,
                                              .id = "q" + std::to_string(caller),
                                              .text = "READ " + std::to_string(caller)});
            this->pool.run(interval);
        }
        this->pool.run(seconds(3));
    }
    [[nodiscard]] std::ptrdiff_t inTime() const
    {
        return std::count_if(this->servedAfter.begin(), this->servedAfter.end(),
                             [](Duration took) { return took <= objective; });
    }

    static constexpr Duration objective = milliseconds(250);
    VirtualPool pool;
    std::map<VirtualPool::CallerId, TimePoint> sentAt;
    std::vector<Duration> servedAfter;
    std::vector<Duration> refusedAfter;
};

// Load: reads that only the primary can serve, at three times what it can do; on sietka-centrala lagging replicas send
// all reads to a primary. Guards against work that cannot be reached in time being held for 0.8 s before it is refused.
TEST(Overload, WorkThatCannotBeServedInTimeIsRefusedAtOnce)
{
    Overload measured;
    measured.send(milliseconds(20), seconds(2));
    ASSERT_TRUE(measured.refusedAfter.empty());
    const Duration usual = measured.servedAfter.at(measured.servedAfter.size() / 2);
    ASSERT_GT(usual.count(), 0);

    Overload run;
    run.send(milliseconds(1), seconds(6));
    ASSERT_GT(run.refusedAfter.size(), 100U);
    const auto held = std::count_if(run.refusedAfter.begin(), run.refusedAfter.end(),
                                    [](Duration took) { return took > milliseconds(100); });
    // Those of the first second wait: how fast the queue is served is not known yet.
    EXPECT_LT(static_cast<std::size_t>(held) * 3, run.refusedAfter.size());
}

// Guards against the early refusal costing work that the servers could have done.
TEST(Overload, ServersStayBusyWhileWorkIsRefused)
{
    Overload run;
    run.send(milliseconds(1), seconds(6));
    Overload moderate;
    moderate.send(milliseconds(4), seconds(6));
    EXPECT_GE(run.servedAfter.size() * 10, moderate.servedAfter.size() * 9);
}

// Load: a burst of three times what the servers can run. Guards against work that could be answered within its latency
// objective waiting behind work that is late already, and against capacity being lost by this.
TEST(Overload, InABurstWorkIsAnsweredWithinItsObjective)
{
    Overload byArrival;
    byArrival.send(milliseconds(1), seconds(4));
    Overload byObjective(true);
    byObjective.send(milliseconds(1), seconds(4));
    EXPECT_GT(byObjective.inTime(), 2 * byArrival.inTime());
    EXPECT_GE(byObjective.servedAfter.size() * 20, byArrival.servedAfter.size() * 19);
}

} // namespace

} // namespace Jujubekeel

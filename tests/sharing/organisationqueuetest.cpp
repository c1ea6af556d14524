#include "sharing/organisationqueue.h"

#include <gtest/gtest.h>

#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Queue = OrganisationQueue<int>;

constexpr TimePoint now = seconds(10);

Queue::Entry entry(int work, std::uint32_t priority = 0, std::int64_t arrivedAt = 0)
{
    return {.work = work, .priority = priority, .arrivedAt = TimePoint(arrivedAt == 0 ? work : arrivedAt)};
}

// Guards against the work of one organisation delaying that of all others.
TEST(OrganisationQueue, OrganisationsTakeTurns)
{
    Queue queue;
    for (int work = 1; work <= 3; ++work)
        queue.insert("large", entry(work));
    queue.insert("b", entry(4));
    queue.insert("c", entry(5));
    EXPECT_EQ(queue.inOrder(now), (std::vector<int>{1, 4, 5, 2, 3}));
    queue.take(1);
    EXPECT_EQ(queue.inOrder(now), (std::vector<int>{4, 5, 2, 3}));
}

// Guards against an organisation being passed over again because work of it has timed out.
TEST(OrganisationQueue, RemovalDoesNotUseUpATurn)
{
    Queue queue;
    queue.insert("a", entry(1));
    queue.insert("a", entry(2));
    queue.insert("b", entry(3));
    queue.remove(1);
    queue.remove(9);
    EXPECT_EQ(queue.inOrder(now), (std::vector<int>{2, 3}));
    EXPECT_EQ(queue.size(), 2U);
}

// Guards against work of a low priority overtaking other work of its organisation, and a retry losing its place.
TEST(OrganisationQueue, OrderWithinAnOrganisationIsPriorityThenArrival)
{
    Queue queue;
    queue.insert("a", entry(1, 2, 10));
    queue.insert("a", entry(2, 1, 30));
    queue.insert("a", entry(3, 1, 20));
    queue.insert("b", entry(4, 7, 40));
    EXPECT_EQ(queue.inOrder(now), (std::vector<int>{3, 4, 2, 1}));
}

// Guards against a change for deployments without organisations: all work is in one queue.
TEST(OrganisationQueue, WithoutOrganisationsOrderIsPriorityThenArrival)
{
    Queue queue;
    queue.insert({}, entry(1, 2, 10));
    queue.insert({}, entry(2, 1, 20));
    queue.insert({}, entry(3, 2, 5));
    EXPECT_EQ(queue.countBefore({}, entry(4, 1, 30), now), 1U);
    EXPECT_EQ(queue.inOrder(now), (std::vector<int>{2, 3, 1}));
    queue.take(3);
    EXPECT_EQ(queue.takeAll(now), (std::vector<int>{2, 1}));
    EXPECT_TRUE(queue.empty());
}

// Guards against refusing work as hopeless because of the queue of another organisation.
TEST(OrganisationQueue, CountBeforeIsThePlaceInTheOrder)
{
    Queue queue;
    for (int work = 1; work <= 100; ++work)
        queue.insert("large", entry(work));
    EXPECT_EQ(queue.countBefore("b", entry(200), now), 1U);
    queue.insert("b", entry(200));
    EXPECT_EQ(queue.countBefore("b", entry(201), now), 3U);
    EXPECT_EQ(queue.countBefore("large", entry(201), now), 101U);
}

// Guards against keeping a connection to a replica for work that only the primary can run.
TEST(OrganisationQueue, KnowsForWhichServersWorkWaits)
{
    Queue queue;
    queue.insert("a", {.work = 1, .needsPrimary = true});
    EXPECT_TRUE(queue.hasWork("a", true));
    EXPECT_FALSE(queue.hasWork("a", false));
    EXPECT_FALSE(queue.hasWork("b", true));
    queue.insert("a", entry(2));
    EXPECT_TRUE(queue.hasWork("a", false));
    queue.take(2);
    EXPECT_FALSE(queue.hasWork("a", false));
}

/// Serves one entry every 4 ms for 3 s, while \a arrivals arrive in this time; entries are given up after 800 ms.
struct Burst
{
    Burst(int arrivals, Duration objective)
    {
        Queue queue;
        std::vector<TimePoint> arrivedAt;
        for (TimePoint at{0}; at < seconds(3); at += milliseconds(4)) {
            for (; static_cast<std::int64_t>(arrivedAt.size()) * seconds(3) < at * arrivals; arrivedAt.push_back(at))
                queue.insert({}, {.work = static_cast<int>(arrivedAt.size()),
                                  .arrivedAt = at,
                                  .startBy = objective.count() == 0 ? TimePoint::max() : at + objective});
            for (const int work : queue.inOrder(at)) {
                if (at - arrivedAt[static_cast<std::size_t>(work)] > milliseconds(800))
                    queue.remove(work);
            }
            if (queue.empty())
                continue;
            const int work = queue.inOrder(at).front();
            queue.take(work);
            (at - arrivedAt[static_cast<std::size_t>(work)] <= goal ? this->inTime : this->late) += 1;
        }
    }

    static constexpr Duration goal = milliseconds(250);
    int inTime = 0;
    int late = 0;
};

// Load: 2.5 times as much work as can be served, for 3 s; each entry must start within 250 ms and is given up after
// 800 ms. Guards against first-in-first-out order, in which all work is served late once 250 ms of it wait.
TEST(OrganisationQueue, BurstBeyondCapacityIsServedInTime)
{
    const Burst byArrival(1875, Duration{0});
    const Burst byObjective(1875, Burst::goal);
    EXPECT_LT(byArrival.inTime, 250);
    EXPECT_EQ(byObjective.inTime + byObjective.late, byArrival.inTime + byArrival.late) << "the same capacity is used";
    EXPECT_EQ(byObjective.late, 0);
}

// Load: as much work as can be served, after a backlog that is late already. Guards against late work being given up
// while it could be served.
TEST(OrganisationQueue, LateWorkGetsTheRemainingCapacity)
{
    Queue queue;
    queue.insert({}, {.work = 1, .arrivedAt = seconds(9), .startBy = now - milliseconds(1)});
    queue.insert({}, {.work = 2, .arrivedAt = seconds(8), .startBy = now - milliseconds(2)});
    queue.insert({}, {.work = 3, .arrivedAt = seconds(9), .startBy = now + milliseconds(900)});
    queue.insert({}, {.work = 4, .arrivedAt = now, .startBy = now});
    queue.insert({}, {.work = 5, .priority = 1, .arrivedAt = now, .startBy = now});
    EXPECT_EQ(queue.inOrder(now), (std::vector<int>{4, 3, 2, 1, 5})) << "and before a lower priority";
    EXPECT_EQ(queue.countBefore({}, {.work = 6, .startBy = now + milliseconds(100)}, now), 1U);
    EXPECT_EQ(queue.countBefore({}, {.work = 6, .arrivedAt = now, .startBy = now - milliseconds(1)}, now), 4U);
    EXPECT_EQ(queue.inOrder(now + milliseconds(1)), (std::vector<int>{3, 2, 1, 4, 5}));
}

} // namespace

} // namespace Jujubekeel

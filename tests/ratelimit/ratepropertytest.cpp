#include "ratelimit/ratemodel.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of fault lists; JUJUBEKEEL_RATE_RUNS replaces it.
constexpr std::uint64_t defaultRuns = 10'000;

double evenIn(SeededRandom &random, double low, double high)
{
    return low + (high - low) * static_cast<double>(random.below(10'001)) / 10'000;
}

RateLimit drawLimit(SeededRandom &random)
{
    // Small rates are as likely as large ones.
    const double rate = std::exp(evenIn(random, 0, std::log(500.0)));
    return RateLimit{.operationsPerSecond = rate, .burst = random.chance(30) ? 0 : rate * evenIn(random, 0, 2)};
}

/// One fault at a random member or instance.
void injectFault(RateModel &model, SeededRandom &random, std::size_t members, std::size_t spenders)
{
    const std::size_t member = random.below(members);
    const std::size_t spender = random.below(spenders);
    const Duration pause(static_cast<std::int64_t>(50'000 + random.below(3'950'000)));
    switch (random.below(10)) {
    case 0: // killed, and unlisted later; started again later or not at all
        model.restartMember(member, random.chance(50) ? pause : Duration(seconds(60)), true);
        model.at(pause / 2, [&model, member] { model.unlistMember(member); });
        break;
    case 1:
        model.restartMember(member, pause / 4, random.chance(50));
        break;
    case 2:
        model.freezeMember(member, pause);
        if (random.chance(50)) {
            model.at(pause / 2, [&model, member] { model.unlistMember(member); });
            model.at(pause + milliseconds(200), [&model, member] { model.listMember(member); });
        }
        break;
    case 3:
        model.freezeSpender(spender, pause / 2);
        if (random.chance(50)) {
            for (std::size_t index = 0; index < spenders; ++index)
                model.freezeSpender(index, pause / 2);
        }
        break;
    case 4:
        model.cutMember(member, random.below(3), pause);
        break;
    case 5: // all at once
        for (std::size_t index = 0; index < members; ++index)
            model.restartMember(index, milliseconds(50 + random.below(1000)), false);
        if (random.chance(70)) {
            for (std::size_t index = 0; index < spenders; ++index)
                model.restartSpender(index);
        }
        break;
    case 6: { // the members that serve change, without a fault
        model.unlistMember(member);
        model.at(pause, [&model, member] { model.listMember(member); });
        break;
    }
    case 7:
        model.setLimit(drawLimit(random));
        break;
    case 8: // lowered far below the rate and raised again, twice
        for (int step = 0; step < 4; ++step) {
            const RateLimit limit = step % 2 == 0 ? RateLimit{.operationsPerSecond = 1, .burst = 0} : drawLimit(random);
            model.at(step * (pause / 8), [&model, limit] { model.setLimit(limit); });
        }
        break;
    default:
        model.setLoss(static_cast<std::uint32_t>(random.below(60)), Duration(pause / 4));
        model.at(pause, [&model] { model.setLoss(0, Duration{0}); });
        break;
    }
}

/// A member does not learn that another one joins or leaves.
void injectTurnedAwayMember(RateModel &model, SeededRandom &random, std::size_t members)
{
    if (members == 1 || random.chance(50))
        return;
    const std::size_t member = random.below(members);
    const std::size_t other = (member + 1 + random.below(members - 1)) % members;
    const Duration away(static_cast<std::int64_t>(500'000 + random.below(8'500'000)));
    const bool joins = random.chance(70);
    const Duration start = milliseconds(random.below(3000));
    if (joins)
        model.at(start, [&model, other] { model.unlistMember(other); });
    model.at(start + milliseconds(1500 + random.below(1500)),
             [&model, member, away] { model.turnAwayMember(member, away); });
    model.at(start + milliseconds(3000 + random.below(3000)),
             [&model, other, joins] { joins ? model.listMember(other) : model.unlistMember(other); });
}

std::string checkSeed(std::uint64_t seed, std::size_t &wronglyRefused, std::size_t &offered, std::size_t &ran)
{
    SeededRandom random(seed);
    RateModelOptions options{.seed = seed,
                             .members = 1 + random.below(16),
                             .spenders = 1 + random.below(30),
                             .limit = drawLimit(random),
                             .demand = evenIn(random, 0.3, 7),
                             .maxViewLag = milliseconds(random.below(1501)),
                             .maxTableLag = milliseconds(random.below(3000))};
    RateModel model(options);
    model.setPeriodStart();
    const std::size_t faults = 1 + random.below(6);
    for (std::size_t index = 0; index < faults; ++index) {
        model.at(milliseconds(random.below(8000)),
                 [&model, seed, index, members = options.members, spenders = options.spenders] {
                     SeededRandom own(seed * 31 + index);
                     injectFault(model, own, members, spenders);
                 });
    }
    SeededRandom away(seed * 37);
    injectTurnedAwayMember(model, away, options.members);
    // Demand that ends and returns leaves full buckets and granted operations behind.
    for (int change = 0; change < 3; ++change) {
        const double factor = random.chance(40) ? 0 : evenIn(random, 0.3, 10);
        model.at(milliseconds(random.below(10'000)), [&model, factor] { model.setDemand(factor); });
    }
    model.run(seconds(11));
    wronglyRefused += model.wronglyRefused;
    offered += model.offeredWithin;
    ran += model.ranCount();
    return model.violation();
}

// Guards against more operations than the limit allows in any window, whatever fails in the fleet: two members that both
// believe to have the larger share, full buckets after a pause, limits that were lowered and raised again.
TEST(RateProperty, NoWindowExceedsTheLimit)
{
    const char *const chosen = std::getenv("JUJUBEKEEL_RATE_RUNS");
    const std::uint64_t runs = chosen == nullptr ? defaultRuns : std::strtoull(chosen, nullptr, 10);
    const char *const first = std::getenv("JUJUBEKEEL_RATE_SEED");
    const std::uint64_t from = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
    std::size_t wronglyRefused = 0;
    std::size_t offered = 0;
    std::size_t ran = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = from; seed < from + runs; ++seed) {
        const std::string violation = checkSeed(seed, wronglyRefused, offered, ran);
        if (!violation.empty() && ++violations <= 10)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    EXPECT_EQ(violations, 0U);
    std::cout << runs << " fault lists, " << ran << " operations ran; while demand was within the limit "
              << wronglyRefused << " of " << offered << " operations were refused\n";
}

// Guards against operations that run on a former, higher limit while members' answers are lost.
TEST(RateProperty, LoweredLimitHoldsWhileAnswersAreLost)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RateModel model({.seed = seed,
                         .members = 7,
                         .spenders = 30,
                         .limit = RateLimit{.operationsPerSecond = 157, .burst = 0},
                         .demand = 4});
        model.run(seconds(3));
        model.setLimit(RateLimit{.operationsPerSecond = 1.4, .burst = 0});
        model.setDemand(0);
        model.run(seconds(5));
        model.setLoss(60, milliseconds(800));
        model.setDemand(4);
        model.run(seconds(3));
        const std::string violation = model.violation();
        if (!violation.empty() && ++violations <= 3)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    EXPECT_EQ(violations, 0U);
}

struct HealthyCase
{
    double rate;
    std::size_t spenders;
};

class RateHealthy : public testing::TestWithParam<HealthyCase>
{
};

// Guards against refusing an organisation that keeps to its limit, also one that sends so little that most instances
// see an operation only every minute.
TEST_P(RateHealthy, UsualDemandIsNotRefused)
{
    std::size_t refused = 0;
    std::size_t offered = 0;
    std::size_t requests = 0;
    std::size_t longWaits = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        RateModel model({.seed = seed,
                         .members = 16,
                         .spenders = GetParam().spenders,
                         .limit = {.operationsPerSecond = GetParam().rate, .burst = GetParam().rate},
                         .swing = 0.27});
        model.run(seconds(10));
        model.setPeriodStart();
        model.run(seconds(110));
        EXPECT_EQ(model.violation(), "");
        refused += model.refused;
        offered += model.offered;
        requests += model.requests;
        longWaits += model.longWaits;
    }
    std::cout << "rate " << GetParam().rate << ": refused " << refused << " of " << offered << ", " << requests
              << " requests, " << longWaits << " waits above 100 ms\n";
    EXPECT_LE(refused * 1000, offered) << "refused more than 0.1 %";
}

INSTANTIATE_TEST_SUITE_P(Rates, RateHealthy,
                         testing::Values(HealthyCase{1, 87}, HealthyCase{2, 87}, HealthyCase{3.2, 87},
                                         HealthyCase{10, 87}, HealthyCase{50, 87}, HealthyCase{100, 87},
                                         HealthyCase{360, 87}, HealthyCase{500, 87}, HealthyCase{500, 4}));

// Guards against the share of a killed member being lost for longer than the members take to notice.
TEST(RateProperty, UsualDemandIsServedAgainAfterAMemberWasKilled)
{
    for (std::size_t killed = 0; killed < 9; ++killed) {
        RateModel model({.seed = killed + 1,
                         .members = 9,
                         .spenders = 87,
                         .limit = {.operationsPerSecond = 100, .burst = 100},
                         .maxViewLag = milliseconds(1500)});
        model.run(seconds(10));
        model.restartMember(killed, seconds(600), true);
        model.run(seconds(2));
        model.unlistMember(killed);
        model.run(seconds(4));
        model.setPeriodStart();
        model.run(seconds(20));
        EXPECT_LE(model.refused * 100, model.offered) << "member " << killed;
        EXPECT_EQ(model.violation(), "");
    }
}

// Guards against an organisation that is refused for as long as a member that was killed stays in the list of members:
// its record remains in the store until it starts again or a primary is replaced.
TEST(RateProperty, UsualDemandIsServedWhileAKilledMemberIsListed)
{
    std::size_t refused = 0;
    std::size_t offered = 0;
    std::size_t longWaits = 0;
    for (std::size_t killed = 0; killed < 9; ++killed) {
        RateModel model(
            {.seed = killed + 1, .members = 9, .spenders = 87, .limit = {.operationsPerSecond = 100, .burst = 100}});
        model.run(seconds(10));
        model.restartMember(killed, seconds(600), true);
        model.setPeriodStart();
        model.run(seconds(60));
        refused += model.refused;
        offered += model.offered;
        longWaits += model.longWaits;
        EXPECT_LE(model.refused * 20, model.offered) << "member " << killed << ": " << model.refused;
        EXPECT_EQ(model.violation(), "");
    }
    std::cout << "refused " << refused << " of " << offered << ", " << longWaits << " waits above 100 ms\n";
}

// Guards against an excess that costs the fleet a request for each refused operation.
TEST(RateProperty, ExcessIsRefusedWithFewRequests)
{
    RateModel model({.seed = 1,
                     .members = 16,
                     .spenders = 87,
                     .limit = {.operationsPerSecond = 360, .burst = 360},
                     .demand = 0.63 * 7});
    model.run(seconds(10));
    model.setPeriodStart();
    const std::size_t before = model.requests;
    const std::size_t ranBefore = model.ranCount();
    model.run(seconds(20));
    const std::size_t ran = model.ranCount() - ranBefore;
    std::cout << "offered " << model.offered << ", ran " << ran << ", requests " << model.requests - before << '\n';
    EXPECT_EQ(model.violation(), "");
    EXPECT_GE(ran, 360U * 20 * 9 / 10) << "less than 90 % of the limit was used";
    EXPECT_LE((model.requests - before) * 2, model.offered);
}

} // namespace

} // namespace Jujubekeel

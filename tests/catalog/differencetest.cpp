#include "catalog/differencejson.h"
#include "catalog/organisationjson.h"
#include "catalog/routejson.h"
#include "catalog/tablechanges.h"
#include "catalog/tabledigest.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

/// Some of the numbers from 0 to \a count - 1.
std::vector<int> someOf(int count)
{
    const unsigned chosen = *rc::gen::inRange(0U, 1U << static_cast<unsigned>(count));
    std::vector<int> numbers;
    for (int number = 0; number < count; ++number) {
        if ((chosen >> static_cast<unsigned>(number)) % 2 != 0)
            numbers.push_back(number);
    }
    return numbers;
}

/// A table with up to seven databases and services whose fields have few values, so that two tables have much in common.
std::shared_ptr<RouteTable> arbitraryRoutes(std::uint64_t version)
{
    auto table = std::make_shared<RouteTable>(version);
    table->setTransactionIdleLimit(Duration(*rc::gen::inRange(1, 3)));
    for (const int index : someOf(7)) {
        Route route{.name = "r\xc3\xa4", .database = "d" + std::to_string(index), .service = "s"};
        route.consistency = *rc::gen::element(ReadConsistency::Primary, ReadConsistency::BoundedStale);
        route.statementTimeout = Duration(*rc::gen::inRange(1, 3));
        route.isPublic = *rc::gen::arbitrary<bool>();
        table->addRoute(std::move(route));
        table->addService("s" + std::to_string(index),
                          {.maxConnections = *rc::gen::inRange(1U, 3U), .syncReplicas = *rc::gen::inRange(0U, 2U)});
    }
    return table;
}

std::shared_ptr<OrganisationTable> arbitraryOrganisations(std::uint64_t version)
{
    auto table = std::make_shared<OrganisationTable>(version);
    for (const int index : someOf(5)) {
        Organisation organisation{.name = "o" + std::to_string(index), .priority = *rc::gen::inRange(0U, 2U)};
        if (*rc::gen::arbitrary<bool>())
            organisation.limit = RateLimit{.operationsPerSecond = 0.1 * *rc::gen::inRange(1, 3), .burst = 7};
        std::vector<KeyDigest> keys;
        for (const int key : someOf(6))
            keys.push_back(KeyDigest::ofKey("k" + std::to_string(key)));
        table->add(std::move(organisation), keys);
    }
    return table;
}

/// Names and digests in an order that does not depend on how the table was built.
nlohmann::json sorted(const OrganisationTable &table)
{
    nlohmann::json root = toJson(table);
    for (auto &entry : root.at("organisations"))
        std::sort(entry.at("keys").begin(), entry.at("keys").end());
    return root;
}

// Guards against an instance that applies a difference having another configuration than one that read it whole.
TEST(Difference, RoutesAreThoseOfTheWholeTable)
{
    EXPECT_TRUE(rc::check([] {
        const auto base = arbitraryRoutes(4);
        const auto later = arbitraryRoutes(9);
        const auto changes = TableChanges::between(*base, *later);
        const auto made = RouteDifference::make(4, changes, *later, digestOf(*later));
        const auto applied = routeDifferenceFromJson(nlohmann::json::parse(toJson(made).dump())).appliedTo(*base);
        RC_ASSERT(applied != nullptr);
        RC_ASSERT(TableChanges::between(*applied, *later).count() == 0U);
        RC_ASSERT(applied->version() == 9U);
        RC_ASSERT(applied->transactionIdleLimit() == later->transactionIdleLimit());
        for (const auto &[database, route] : applied->allRoutes())
            RC_ASSERT((route == base->find(database)) == !changes.databases.contains(database));
    }));
}

TEST(Difference, OrganisationsAreThoseOfTheWholeTable)
{
    EXPECT_TRUE(rc::check([] {
        const auto base = arbitraryOrganisations(4);
        const auto later = arbitraryOrganisations(9);
        const auto made =
            OrganisationDifference::make(4, TableChanges::between(*base, *later), *later, digestOf(*later));
        const auto applied =
            organisationDifferenceFromJson(nlohmann::json::parse(toJson(made).dump())).appliedTo(*base);
        RC_ASSERT(applied != nullptr);
        RC_ASSERT(sorted(*applied) == sorted(*later));
        RC_ASSERT(applied->totalRate() == later->totalRate());
    }));
}

// Guards against a difference being applied to another version, or to other content under the same version, which the
// store gives out after it has returned from an older copy: the result would be a mixture that no instance has read.
TEST(Difference, IsRefusedByAnotherBase)
{
    EXPECT_TRUE(rc::check([] {
        const auto base = arbitraryRoutes(4);
        const auto other = arbitraryRoutes(*rc::gen::inRange(3U, 6U));
        const auto later = arbitraryRoutes(9);
        const auto made = RouteDifference::make(4, TableChanges::between(*base, *later), *later, digestOf(*later));
        const auto applied = made.appliedTo(*other);
        RC_ASSERT((!applied || (other->version() == 4U && digestOf(*applied) == digestOf(*later))));
        RC_ASSERT(made.appliedTo(*later) == nullptr);

        const auto baseNames = arbitraryOrganisations(4);
        const auto otherNames = arbitraryOrganisations(*rc::gen::inRange(3U, 6U));
        const auto laterNames = arbitraryOrganisations(9);
        const auto names = OrganisationDifference::make(4, TableChanges::between(*baseNames, *laterNames), *laterNames,
                                                        digestOf(*laterNames));
        const auto appliedNames = names.appliedTo(*otherNames);
        RC_ASSERT((!appliedNames || (otherNames->version() == 4U && sorted(*appliedNames) == sorted(*laterNames))));
    }));
}

// Guards against a difference that is older than its base, or of the same version, taking the configuration back.
TEST(Difference, NeverGoesBack)
{
    const RouteTable base(4);
    EXPECT_TRUE((RouteDifference{
        .baseVersion = 4, .version = 5, .digest = digestOf(base), .idleLimit = base.transactionIdleLimit()}
                     .appliedTo(base)));
    EXPECT_FALSE((RouteDifference{
        .baseVersion = 4, .version = 4, .digest = digestOf(base), .idleLimit = base.transactionIdleLimit()}
                      .appliedTo(base)));
    const OrganisationTable names(4);
    EXPECT_TRUE((OrganisationDifference{.baseVersion = 4, .version = 5, .digest = digestOf(names)}.appliedTo(names)));
    EXPECT_FALSE((OrganisationDifference{.baseVersion = 4, .version = 3, .digest = digestOf(names)}.appliedTo(names)));
}

} // namespace

} // namespace Jujubekeel

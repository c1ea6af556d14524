#include "authority/confirmationsystem.h"
#include "authority/leaseobject.h"
#include "authority/promotionsobject.h"
#include "authority/writeauthoritypolicy.h"
#include "core/world.h"

#include <gtest/gtest.h>

#include <array>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// World of the instance that owns b0, the primary of a group of the given size in term 2. The clock is at 100 s.
struct OwnerWorld
{
    explicit OwnerWorld(std::uint32_t servers, AuthorityPolicy policy = AuthorityPolicy::GroupConfirmation)
    {
        this->world.layout.instances.push_back({.name = "i0"});
        this->world.layout.databases.push_back({.name = "db"});
        this->world.instances.resize(1);
        this->world.databases.resize(1);
        this->world.backends.resize(servers);
        for (std::uint32_t index = 0; index < servers; ++index) {
            const BackendId id{.index = index, .generation = 0};
            this->world.layout.backends.push_back({.name = "b" + std::to_string(index), .database = this->database});
            this->world.layout.databases.front().backends.push_back(id);
            this->world.databases.front().backends.push_back(id);
            this->world.backends[index].database = this->database;
        }
        this->history = TermHistory(std::array{TermStart{.term = 1, .start = 0}, TermStart{.term = 2, .start = 10}});
        this->world.self = InstanceId{.index = 0, .generation = 0};
        this->world.now = seconds(100);
        this->world.options.authority.policy = policy;
        this->world.databases.front().primary = this->server;
        this->world.databases.front().history = this->history;
        BackendRow &row = this->world.at(this->server);
        row.role = BackendRole::Primary;
        row.history = this->history;
        row.received = {.term = 2, .position = 20};
        row.applied = row.received;
        row.ownership.step = OwnershipStep::Owned;
    }

    [[nodiscard]] ServerStatus status(std::vector<ReplicaAcknowledgement> acknowledgements) const
    {
        return {.role = BackendRole::Primary,
                .received = {.term = 2, .position = 20},
                .history = this->history,
                .replicas = std::move(acknowledgements)};
    }
    void observe(std::vector<ReplicaAcknowledgement> acknowledgements)
    {
        this->confirmation.observeStatus(this->world, this->server, this->status(std::move(acknowledgements)));
    }
    [[nodiscard]] bool isConfirmed(std::uint64_t term, std::uint64_t position) const
    {
        return ConfirmationSystem::isWriteConfirmed(this->world, this->server, {.term = term, .position = position});
    }
    /// Advances the clock, runs a tick and returns the platform call that it sends, if any.
    std::optional<PlatformCall> tick(Duration after)
    {
        this->world.now += after;
        Actions actions;
        this->confirmation.tick(this->world, actions);
        for (const Action &action : actions) {
            if (const auto *call = std::get_if<CallPlatform>(&action))
                return call->call;
        }
        return std::nullopt;
    }
    void answer(const PlatformCall &call, PlatformStatusCode code, std::uint64_t version, std::string value = {})
    {
        this->confirmation.handle(this->world,
                                  {.call = call.call, .code = code, .version = version, .value = std::move(value)});
    }

    DatabaseId database{.index = 0, .generation = 0};
    BackendId server{.index = 0, .generation = 0};
    TermHistory history;
    World world;
    ConfirmationSystem confirmation;
};

// Guards against acknowledging a write that only the primary holds.
TEST(ConfirmationSystem, OneReplicaOfThreeServersMustConfirm)
{
    OwnerWorld owner(3);
    EXPECT_FALSE(owner.isConfirmed(2, 15));
    owner.observe({{.server = "b1", .received = {.term = 2, .position = 14}}});
    EXPECT_TRUE(owner.isConfirmed(2, 14));
    EXPECT_FALSE(owner.isConfirmed(2, 15));
}

// Guards against one acknowledgement counting as a majority in a group of five.
TEST(ConfirmationSystem, TwoReplicasOfFiveServersMustConfirm)
{
    OwnerWorld owner(5);
    owner.observe({{.server = "b1", .received = {.term = 2, .position = 18}}});
    EXPECT_FALSE(owner.isConfirmed(2, 12));
    owner.observe({{.server = "b1", .received = {.term = 2, .position = 18}},
                   {.server = "b2", .received = {.term = 2, .position = 13}}});
    EXPECT_TRUE(owner.isConfirmed(2, 13));
    EXPECT_FALSE(owner.isConfirmed(2, 14));
}

// Guards against counting one replica twice, the primary itself, or a server of another group.
TEST(ConfirmationSystem, OnlyDistinctReplicasOfTheGroupCount)
{
    OwnerWorld owner(5);
    owner.observe({{.server = "b1", .received = {.term = 2, .position = 18}},
                   {.server = "b1", .received = {.term = 2, .position = 18}},
                   {.server = "b0", .received = {.term = 2, .position = 18}},
                   {.server = "elsewhere", .received = {.term = 2, .position = 18}}});
    EXPECT_FALSE(owner.isConfirmed(2, 12));
}

// Guards against counting an acknowledgement of an earlier term: that replica may hold another entry at the position.
TEST(ConfirmationSystem, AcknowledgementOfAnotherTermDoesNotCount)
{
    OwnerWorld owner(3);
    owner.observe({{.server = "b1", .received = {.term = 1, .position = 30}}});
    EXPECT_FALSE(owner.isConfirmed(2, 12));
    EXPECT_FALSE(owner.isConfirmed(1, 5));
}

// Guards against never confirming a repeated write whose entry of an earlier term survived the promotion, and against
// confirming one whose entry was discarded.
TEST(ConfirmationSystem, EntryOfAnEarlierTermCountsIfItSurvived)
{
    OwnerWorld owner(3);
    owner.observe({{.server = "b1", .received = {.term = 2, .position = 14}}});
    EXPECT_TRUE(owner.isConfirmed(1, 10));
    EXPECT_FALSE(owner.isConfirmed(1, 11));
    EXPECT_FALSE(owner.isConfirmed(3, 1));
}

// Guards against the status of a replica changing what is confirmed.
TEST(ConfirmationSystem, StatusOfAReplicaConfirmsNothing)
{
    OwnerWorld owner(3);
    ServerStatus status = owner.status({{.server = "b1", .received = {.term = 2, .position = 14}}});
    status.role = BackendRole::Replica;
    owner.confirmation.observeStatus(owner.world, owner.server, status);
    owner.confirmation.observeBarrier(owner.world, owner.server, status, owner.world.now);
    EXPECT_FALSE(owner.isConfirmed(2, 12));
    EXPECT_FALSE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 2, owner.world.now));
}

// Guards against confirming a read by a barrier that was sent before the request arrived, or under another term.
TEST(ConfirmationSystem, ReadNeedsABarrierSentAfterItsArrival)
{
    OwnerWorld owner(3);
    const TimePoint sentAt = owner.world.now - milliseconds(5);
    owner.confirmation.observeBarrier(owner.world, owner.server, owner.status({}), sentAt);
    EXPECT_TRUE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 2, sentAt));
    EXPECT_FALSE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 2, sentAt + Duration{1}));
    EXPECT_FALSE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 1, sentAt));
    EXPECT_FALSE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 3, sentAt));
}

// Guards against sending one barrier for each waiting request: all requests share one, with the highest position.
TEST(ConfirmationSystem, RequestsShareOneBarrier)
{
    OwnerWorld owner(3);
    ConfirmationSystem::requestBarrier(owner.world, owner.server, 17);
    ConfirmationSystem::requestBarrier(owner.world, owner.server, 12);
    EXPECT_EQ(owner.world.barrierRequests.size(), 1U);
    EXPECT_EQ(owner.world.at(owner.server).confirmation.requestedPosition, 17U);
    ConfirmationSystem::requestBarrier(owner.world, owner.server);
    EXPECT_EQ(owner.world.at(owner.server).confirmation.requestedPosition, 20U);
}

// Guards against acknowledging writes without a lease, or after it has expired on the owner's clock.
TEST(ConfirmationSystem, LeaseCountsFromTheSendingOfTheRenewal)
{
    OwnerWorld owner(3, AuthorityPolicy::PlatformLease);
    EXPECT_FALSE(owner.isConfirmed(2, 20));
    const auto read = owner.tick(Duration{0});
    ASSERT_TRUE(read);
    EXPECT_EQ(read->key, "leases/db");
    owner.answer(*read, PlatformStatusCode::NotFound, 0);
    const auto write = owner.tick(Duration{0});
    ASSERT_TRUE(write);
    EXPECT_EQ(write->operation, PlatformOperation::Put);
    EXPECT_EQ(write->expectedVersion, 0U);
    EXPECT_FALSE(owner.isConfirmed(2, 20));

    // The answer is slow; the time until it arrives does not extend the lease.
    owner.world.now += milliseconds(300);
    owner.answer(*write, PlatformStatusCode::Ok, 1);
    EXPECT_TRUE(owner.isConfirmed(2, 20));
    EXPECT_TRUE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 2, owner.world.now));
    owner.world.now += seconds(4) - milliseconds(301);
    EXPECT_TRUE(owner.isConfirmed(2, 20));
    owner.world.now += milliseconds(1);
    EXPECT_FALSE(owner.isConfirmed(2, 20));
    EXPECT_FALSE(ConfirmationSystem::isReadConfirmed(owner.world, owner.server, 2, owner.world.now));
}

// Guards against losing the lease when a renewal took effect but its answer was lost.
TEST(ConfirmationSystem, LostAnswerToARenewalIsRecognised)
{
    OwnerWorld owner(3, AuthorityPolicy::PlatformLease);
    owner.answer(*owner.tick(Duration{0}), PlatformStatusCode::NotFound, 0);
    const auto write = owner.tick(Duration{0});
    ASSERT_TRUE(write);
    const auto read = owner.tick(milliseconds(401));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->operation, PlatformOperation::Get);
    owner.answer(*read, PlatformStatusCode::Ok, 1, write->value);
    EXPECT_EQ(owner.world.at(owner.server).confirmation.lease.validUntil, seconds(104));
    EXPECT_TRUE(owner.isConfirmed(2, 20));
}

// Guards against the old owner renewing its lease during a promotion.
TEST(ConfirmationSystem, LeaseOfANewerTermIsNotOverwritten)
{
    OwnerWorld owner(3, AuthorityPolicy::LeaseAndConfirmation);
    const std::string taken = formatLease({.term = 3, .holder = "i7", .incarnation = 1, .sequence = 5});
    owner.answer(*owner.tick(Duration{0}), PlatformStatusCode::Ok, 9, taken);
    EXPECT_FALSE(owner.tick(milliseconds(10)));
    const auto later = owner.tick(seconds(1));
    ASSERT_TRUE(later);
    EXPECT_EQ(later->operation, PlatformOperation::Get);
    EXPECT_FALSE(owner.isConfirmed(2, 12));
}

// Guards against LeaseAndConfirmation accepting a write with the lease alone or with acknowledgements alone.
TEST(ConfirmationSystem, LeaseAndConfirmationPolicyNeedsBoth)
{
    OwnerWorld owner(3, AuthorityPolicy::LeaseAndConfirmation);
    owner.observe({{.server = "b1", .received = {.term = 2, .position = 14}}});
    EXPECT_FALSE(owner.isConfirmed(2, 14));
    LeaseState &lease = owner.world.at(owner.server).confirmation.lease;
    lease.term = 2;
    lease.validUntil = owner.world.now + seconds(1);
    EXPECT_TRUE(owner.isConfirmed(2, 14));
    EXPECT_FALSE(owner.isConfirmed(2, 15));
    lease.term = 1;
    EXPECT_FALSE(owner.isConfirmed(2, 14));
}

// Guards against records that change in their text form: an instance recognises its own lease or claim by these fields
// and must not mistake one of an earlier process for it.
TEST(ConfirmationSystem, RecordsAreRestoredFromText)
{
    const LeaseRecord lease{.term = 3, .holder = "i7", .incarnation = 4, .sequence = 5};
    EXPECT_EQ(parseLease(formatLease(lease)), lease);
    EXPECT_FALSE(parseLease("3 i7"));
    EXPECT_FALSE(parseLease(""));

    PromotionsObject object("db 2 i1 7 9\nbroken line\n");
    object.set({.database = "other", .term = 5, .promoter = "i2", .incarnation = 1, .sequence = 3});
    object.set({.database = "db", .term = 3, .promoter = "i0", .incarnation = 1, .sequence = 4});
    const PromotionsObject copy(object.text());
    ASSERT_TRUE(copy.find("db"));
    EXPECT_EQ(copy.find("db")->promoter, "i0");
    EXPECT_EQ(copy.find("other")->term, 5U);
    EXPECT_FALSE(copy.find("broken"));
    EXPECT_EQ(PromotionsObject::key(DatabaseId{.index = 130, .generation = 0}, 64), "promotions/2");
}

} // namespace

} // namespace Jujubekeel

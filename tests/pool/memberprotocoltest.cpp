#include "pool/poolcore.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One PoolCore whose store, servers and clock the test plays by hand. The servers are `p`, the primary, and `r`.
struct OneMember
{
    /// With \a relayAddress other instances may relay work to it.
    explicit OneMember(const std::string &relayAddress = {}, bool listsServers = true)
        : core(PoolOptions{.instance = "b", .failureDomain = "d", .relayAddress = relayAddress})
    {
        this->core.start(this->now, 7);
        auto routes = std::make_shared<RouteTable>(1);
        routes->addRoute(Route{.name = "r", .database = "db", .service = "s"});
        routes->addRoute(Route{.name = "b",
                               .database = "bounded",
                               .service = "s",
                               .consistency = ReadConsistency::BoundedStale,
                               .maxStaleness = seconds(1)});
        routes->addService("s", {});
        this->core.routesReceived(this->now, routes);
        if (listsServers)
            this->core.entriesListed(this->now, {entry("p", true), entry("r", false)});
        this->readFleet({}, true);
        if (!relayAddress.empty()) { // the time slot in which it may register
            this->advance(seconds(1));
            this->readFleet({}, true);
        }
        this->finishWrites();
        this->advance(milliseconds(10));
        this->readFleet({}, false);
        this->take();
    }

    static ServerEntry entry(const std::string &id, bool primary)
    {
        return ServerEntry{.id = id, .service = "s", .address = id, .failureDomain = "d", .claimsPrimary = primary};
    }
    void take()
    {
        for (PoolAction &action : this->core.takeActions())
            this->actions.push_back(std::move(action));
    }
    void advance(Duration duration)
    {
        for (Duration step{0}; step < duration; step += milliseconds(10)) {
            this->now += milliseconds(10);
            this->core.tick(this->now);
            this->take();
        }
    }
    /// The store answers a read that was sent now.
    void readFleet(std::vector<FleetObject> objects, bool complete)
    {
        for (FleetObject &object : objects)
            object.revision = ++this->revision;
        this->core.fleetUpdated(this->now, FleetUpdate{.complete = complete,
                                                       .objects = std::move(objects),
                                                       .revision = this->revision,
                                                       .era = this->era,
                                                       .requestedAt = this->now});
        this->take();
    }
    /// All writes so far succeed, and the watch reports them.
    void finishWrites()
    {
        this->take();
        std::vector<WriteFleetObject> writes;
        for (const PoolAction &action : this->actions) {
            if (const auto *write = std::get_if<WriteFleetObject>(&action))
                writes.push_back(*write);
        }
        std::erase_if(this->actions,
                      [](const PoolAction &action) { return std::holds_alternative<WriteFleetObject>(action); });
        for (const WriteFleetObject &write : writes) {
            this->written.push_back(write);
            this->readFleet({FleetObject{.name = write.name, .content = write.content}}, false);
            this->core.writeFinished(this->now, WriteOutcome{.call = write.call,
                                                             .result = WriteResult::Ok,
                                                             .revision = this->revision,
                                                             .era = this->era});
            this->take();
        }
    }
    /// Answers all connection attempts: accepted if \a accept holds for the server, refused otherwise.
    void connectAll(const std::function<bool(const std::string &address)> &accept)
    {
        this->take();
        std::vector<OpenLink> opened;
        for (const PoolAction &action : this->actions) {
            if (const auto *open = std::get_if<OpenLink>(&action))
                opened.push_back(*open);
        }
        std::erase_if(this->actions, [](const PoolAction &action) { return std::holds_alternative<OpenLink>(action); });
        for (const OpenLink &open : opened) {
            if (accept(open.address)) {
                this->core.linkConnected(this->now, open.link);
                this->core.linkMessageReceived(this->now, open.link, ServerMessage{.kind = ServerMessageKind::Ready});
                this->links.emplace_back(open.address, open.link);
            } else {
                this->core.linkDisconnected(this->now, open.link, LinkEnd::Refused);
            }
            this->take();
        }
    }
    template <typename Action>
    [[nodiscard]] std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const PoolAction &action : this->actions) {
            if (const auto *match = std::get_if<Action>(&action))
                found.push_back(*match);
        }
        return found;
    }
    [[nodiscard]] std::size_t count(CommandKind kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->actions.begin(), this->actions.end(), [&](const PoolAction &action) {
                const auto *command = std::get_if<SendCommand>(&action);
                return command != nullptr && command->command.kind == kind;
            }));
    }
    [[nodiscard]] const ServiceRow &service() const
    {
        return this->core.state().services.at(this->core.state().serviceByName.at("s"));
    }

    TimePoint now{seconds(100)};
    PoolCore core;
    std::uint64_t revision = 1;
    std::uint64_t era = 0; ///< of the store
    std::vector<PoolAction> actions;
    std::vector<WriteFleetObject> written;
    std::vector<std::pair<std::string, LinkId>> links;
};

FleetObject announcement(const std::string &holder)
{
    return FleetObject{.name = FleetView::recordName("s"),
                       .content =
                           LeadershipRecord{.epoch = 1, .primary = "p", .changing = true, .holder = holder}.toText()};
}

// Guards against a replacement that does not wait for an evicted member. The member could read the store until its
// eviction, although its writes failed, so that it may act on what it read for another lease.
TEST(MemberProtocol, ReplacementWaitsUntilAnEvictedMemberHasLapsed)
{
    OneMember run;
    run.readFleet({FleetObject{.name = FleetView::memberName("a"), .content = MemberRecord{}.toText()}}, false);
    const TimePoint evictedAt = run.now;
    const auto onlyReplica = [](const std::string &address) { return address == "r"; };
    // The primary refuses connections; this member announces the replacement and has released the primary itself.
    while (run.now - evictedAt < milliseconds(5900)) {
        run.connectAll(onlyReplica);
        run.finishWrites();
        run.advance(milliseconds(100));
        run.readFleet({}, false);
        ASSERT_EQ(run.count(CommandKind::Status), 0U) << "after " << (run.now - evictedAt).count() << " us";
    }
    const bool announced = std::any_of(run.written.begin(), run.written.end(), [](const WriteFleetObject &write) {
        return write.name == FleetView::recordName("s");
    });
    EXPECT_TRUE(announced);
    for (int step = 0; step < 10 && run.count(CommandKind::Status) == 0; ++step) {
        run.connectAll(onlyReplica);
        run.finishWrites();
        run.advance(milliseconds(100));
        run.readFleet({}, false);
    }
    EXPECT_GT(run.count(CommandKind::Status), 0U);
}

// Guards against a log position of a primary that this instance has released: a successor may have acknowledged
// commits that the position does not cover.
TEST(MemberProtocol, PositionOfAReleasedPrimaryIsNotUsed)
{
    OneMember run;
    run.connectAll([](const std::string &) { return true; });
    // A read that is queued without a known position makes the core ask the primary for one.
    const SessionId caller = run.core.callerConnected(run.now);
    run.core.callerOpenedSession(run.now, caller, "bounded");
    run.core.statementReceived(run.now, caller, Statement{.kind = StatementKind::Read, .id = "q", .text = "READ 1"});
    run.take();
    ASSERT_GT(run.count(CommandKind::ResetSession), 0U);
    run.readFleet({announcement("a")}, false);
    ASSERT_TRUE(run.service().released);
    for (const auto &[address, link] : run.links) {
        if (address != "p" || !run.core.state().links.contains(link))
            continue;
        run.core.linkMessageReceived(run.now, link, ServerMessage{.kind = ServerMessageKind::Done, .text = "d"});
        run.core.linkMessageReceived(run.now, link,
                                     ServerMessage{.kind = ServerMessageKind::Ready, .position = LogPosition{1, 50}});
    }
    EXPECT_FALSE(run.service().positions.newest());
}

// Guards against an instance that resumes its old registration after its lease has passed: others may have stopped
// waiting for it, and must see that it has started anew.
TEST(MemberProtocol, InstanceRegistersAgainAfterItsLeaseHasPassed)
{
    OneMember run;
    ASSERT_TRUE(run.service().leadershipVerifiedAt.count() != 0);
    run.written.clear();
    run.advance(seconds(7));
    EXPECT_TRUE(run.core.state().hasLapsed());
    run.finishWrites();
    run.readFleet({}, false);
    run.finishWrites();
    const auto own = std::find_if(run.written.rbegin(), run.written.rend(), [](const WriteFleetObject &write) {
        return write.name == FleetView::memberName("b");
    });
    ASSERT_NE(own, run.written.rend());
    const auto record = MemberRecord::fromText(own->content);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->renewals, 1U);
}

// Guards against work being relayed to a new member that does not know the servers yet, or only knows those of the time
// when it was last a member: some may have left, and their addresses may belong to others.
TEST(MemberProtocol, MemberServesOnlyAfterItHasListedTheServers)
{
    OneMember run("10.0.0.1:7440", false);
    const auto state = [&run] {
        run.finishWrites();
        run.readFleet({}, false);
        run.finishWrites();
        for (auto write = run.written.rbegin(); write != run.written.rend(); ++write) {
            if (write->name == FleetView::memberName("b"))
                return MemberRecord::fromText(write->content)->state;
        }
        return MemberState::Leaving;
    };
    EXPECT_EQ(state(), MemberState::Joining);
    run.core.entriesListed(run.now, {OneMember::entry("p", true)});
    EXPECT_EQ(state(), MemberState::Serving);
}

// Guards against one service being used while another is replaced: results of the released primary must not count.
TEST(MemberProtocol, ResultOfAReleasedPrimaryIsNotDelivered)
{
    OneMember run;
    run.connectAll([](const std::string &) { return true; });
    const SessionId caller = run.core.callerConnected(run.now);
    run.core.callerOpenedSession(run.now, caller, "db");
    run.core.statementReceived(run.now, caller,
                               Statement{.kind = StatementKind::Write, .id = "w", .text = "WRITE 1 x"});
    run.take();
    ASSERT_EQ(run.count(CommandKind::Forward), 1U);
    run.readFleet({announcement("a")}, false);
    const auto reply = std::find_if(run.actions.begin(), run.actions.end(), [](const PoolAction &action) {
        const auto *sent = std::get_if<ReplyToCaller>(&action);
        return sent != nullptr && sent->reply.error.has_value();
    });
    ASSERT_NE(reply, run.actions.end());
    EXPECT_EQ(std::get<ReplyToCaller>(*reply).reply.error->code, OutcomeCode::InDoubt);
}

// Guards against a resumed replacement that waits for its own holder, which already uses the promoted primary and so no
// longer counts as having released the old one: a service had no primary for 22 s (day restored-in-replacement of
// tffa-pool, seed 1).
TEST(MemberProtocol, ResumedReplacementDoesNotWaitForItsHolder)
{
    OneMember member;
    member.connectAll([](const std::string &) { return true; });
    const LeadershipRecord declared{.epoch = 1,
                                    .primary = "p",
                                    .changing = true,
                                    .candidate = "r",
                                    .declared = true,
                                    .termAbove = 1,
                                    .holder = "b"};
    member.readFleet({FleetObject{.name = FleetView::recordName("s"), .content = declared.toText()}}, false);
    member.core.entryChanged(member.now, OneMember::entry("r", true));
    ASSERT_EQ(member.service().primaryId, "r");
    for (int step = 0; step < 10; ++step) {
        member.advance(milliseconds(100));
        member.finishWrites();
    }
    const auto promotions = member.actionsOf<PromoteServer>();
    ASSERT_EQ(promotions.size(), 1U);
    EXPECT_EQ(promotions[0].server, "r");
}

// Guards against a server that is leaving getting new work again, because a store that returned from an older copy shows
// its entry of before.
TEST(MemberProtocol, LeavingServerStaysSoUntilItRestarts)
{
    OneMember member;
    ServerEntry leaving = OneMember::entry("r", false);
    leaving.incarnation = 5;
    leaving.draining = true;
    member.core.entryChanged(member.now, leaving);
    const auto isLeaving = [&] {
        const PoolWorld &state = member.core.state();
        return state.servers.at(state.serverById.at("r")).entry.draining;
    };
    ServerEntry earlier = leaving;
    earlier.draining = false;
    member.core.entriesListed(member.now, {OneMember::entry("p", true), earlier});
    EXPECT_TRUE(isLeaving());
    ServerEntry restarted = earlier;
    restarted.incarnation = 6;
    member.core.entryChanged(member.now, restarted);
    EXPECT_FALSE(isLeaving());
}

// Guards against a registration that took effect in a store which this instance has not read since it was restored: the
// revision under which it would be renewed has an unknown history.
TEST(MemberProtocol, RegistrationInAnUnknownEraIsRepeated)
{
    OneMember member;
    member.finishWrites();
    member.era = 1;
    member.readFleet({}, true);
    const auto first = member.actionsOf<WriteFleetObject>();
    ASSERT_EQ(first.size(), 1U);
    const auto countRegistrations = [&] {
        const auto lines = member.actionsOf<WriteLog>();
        return std::count_if(lines.begin(), lines.end(), [](const auto &line) { return line.event == "registered"; });
    };
    const auto before = countRegistrations();
    member.core.writeFinished(member.now,
                              WriteOutcome{.call = first[0].call, .result = WriteResult::Ok, .revision = 3, .era = 2});
    member.advance(milliseconds(300));
    EXPECT_EQ(countRegistrations(), before);
    EXPECT_GT(member.actionsOf<WriteFleetObject>().size(), 1U);
}

// Guards against entries of the copy deciding that a candidate has taken over: they may show it as the primary that it was
// before.
TEST(MemberProtocol, EntriesOfARestoredStoreDoNotNameTheSuccessorAtOnce)
{
    OneMember member;
    const LeadershipRecord declared{.epoch = 1,
                                    .primary = "p",
                                    .changing = true,
                                    .candidate = "r",
                                    .declared = true,
                                    .termAbove = 1,
                                    .holder = "a"};
    member.readFleet({FleetObject{.name = FleetView::recordName("s"), .content = declared.toText()}}, false);
    ASSERT_TRUE(member.service().changing);
    member.era = 1;
    member.readFleet({}, true);
    member.core.entryChanged(member.now, OneMember::entry("r", true));
    EXPECT_EQ(member.service().primaryId, "p");
    member.advance(seconds(3));
    member.readFleet({}, false);
    EXPECT_EQ(member.service().primaryId, "r");
}

// Guards against a promotion under the fencing token of an announcement that the restored store does not contain.
TEST(MemberProtocol, PromotionIsNotRepeatedInAnotherEra)
{
    OneMember member;
    const auto onlyReplica = [](const std::string &address) { return address == "r"; };
    for (int step = 0; step < 40 && member.actionsOf<PromoteServer>().empty(); ++step) {
        member.connectAll(onlyReplica);
        member.finishWrites();
        member.advance(milliseconds(50));
        member.readFleet({}, false);
        for (const auto &[address, link] : member.links) {
            const ReplicationStatus status{.term = 1, .received = LogPosition{.term = 1, .position = 5}};
            member.core.linkMessageReceived(member.now, link,
                                            ServerMessage{.kind = ServerMessageKind::Row, .status = status});
            member.core.linkMessageReceived(member.now, link,
                                            ServerMessage{.kind = ServerMessageKind::Done, .text = "-"});
            member.core.linkMessageReceived(member.now, link, ServerMessage{.kind = ServerMessageKind::Ready});
        }
        member.take();
    }
    const auto promotions = member.actionsOf<PromoteServer>();
    ASSERT_EQ(promotions.size(), 1U);
    member.core.promotionFinished(member.now, PromotionOutcome{.call = promotions[0].call});
    member.era = 1;
    member.readFleet({}, true);
    member.advance(seconds(1));
    member.readFleet({}, false);
    EXPECT_EQ(member.actionsOf<PromoteServer>().size(), 1U);
}

} // namespace

} // namespace Jujubekeel

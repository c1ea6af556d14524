#include "authority/memberconnections.h"

#include "authority/promotionrules.h"
#include "core/world.h"

#include <cassert>
#include <utility>

namespace Jujubekeel {

void MemberConnections::open(World &world, DatabaseId database, std::size_t member, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionMember &state = row.promotion.members[member];
    assert(!state.connection.isValid());
    state.open = false;
    state.serial = 0;
    state.deadline = world.now + world.options.authority.stepTimeout;
    state.connection = world.connections.insert({.backend = row.backends[member],
                                                 .purpose = ConnectionPurpose::Promotion,
                                                 .state = ConnectionState::Opening,
                                                 .since = world.now,
                                                 .deadline = state.deadline});
    actions.emplace_back(
        OpenConnection{.connection = state.connection, .backend = row.backends[member], .control = true});
}

void MemberConnections::close(World &world, PromotionMember &member, Actions &actions)
{
    if (!member.connection.isValid())
        return;
    actions.emplace_back(CloseConnection{.connection = member.connection});
    world.connections.erase(member.connection);
    member.connection = ConnectionId{};
    member.open = false;
    member.serial = 0;
}

void MemberConnections::send(World &world, DatabaseId database, std::size_t member, BackendRequest request,
                             Duration timeout, Actions &actions)
{
    PromotionMember &state = world.at(database).promotion.members[member];
    assert(state.open && state.serial == 0);
    state.serial = world.allocateSerial();
    state.operation = request.operation;
    state.requestTerm = request.term;
    state.sentAt = world.now;
    state.deadline = world.now + timeout;

    ConnectionRow &connection = world.connections.at(state.connection);
    connection.state = ConnectionState::Busy;
    connection.since = world.now;
    connection.serial = state.serial;
    connection.deadline = state.deadline;

    request.serial = state.serial;
    request.instance = world.selfName();
    actions.emplace_back(SendToBackend{.connection = state.connection, .request = std::move(request)});
}

void MemberConnections::probe(World &world, DatabaseId database, std::size_t member, bool barrier, Duration interval,
                              Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    PromotionMember &state = world.at(database).promotion.members[member];
    if (!state.connection.isValid()) {
        if (world.now >= state.notBefore)
            this->open(world, database, member, actions);
        return;
    }
    if (!state.open || state.serial != 0 || world.now < state.nextProbe)
        return;
    state.nextProbe = world.now + interval;
    BackendRequest request{.operation = BackendOperation::Status};
    if (barrier) {
        // The server may wait for acknowledgements for almost suspectAfter before it answers, so that slow replication
        // is not mistaken for interrupted replication.
        request.operation = BackendOperation::Barrier;
        request.wait = options.suspectAfter - probeInterval;
    }
    this->send(world, database, member, std::move(request), options.suspectAfter, actions);
}

void MemberConnections::expire(World &world, DatabaseId database, Actions &actions)
{
    for (PromotionMember &member : world.at(database).promotion.members) {
        const bool waiting = member.connection.isValid() && (!member.open || member.serial != 0);
        if (waiting && world.now > member.deadline) {
            this->close(world, member, actions);
            member.notBefore = world.now + probeInterval;
        }
    }
}

void MemberConnections::opened(World &world, ConnectionId connection, bool ok)
{
    const BackendId backend = world.connections.at(connection).backend;
    DatabaseRow &row = world.at(world.at(backend).database);
    PromotionMember &member = row.promotion.members[memberIndex(row, backend)];
    assert(member.connection == connection);
    if (ok) {
        member.open = true;
        world.connections.at(connection).state = ConnectionState::Idle;
        return;
    }
    world.connections.erase(connection);
    member.connection = ConnectionId{};
    member.failedAt = world.now;
    member.notBefore = world.now + probeInterval;
}

void MemberConnections::lost(World &world, ConnectionId connection)
{
    const BackendId backend = world.connections.at(connection).backend;
    DatabaseRow &row = world.at(world.at(backend).database);
    PromotionMember &member = row.promotion.members[memberIndex(row, backend)];
    assert(member.connection == connection);
    world.connections.erase(connection);
    member.connection = ConnectionId{};
    member.open = false;
    member.serial = 0;
    member.failedAt = world.now;
    member.notBefore = world.now + probeInterval;
}

} // namespace Jujubekeel

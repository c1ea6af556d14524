#include "virtualpool/relayconnections.h"

#include "pool/poolcore.h"

#include <vector>

namespace Jujubekeel {

namespace {

/// Converts the command of a relaying instance to the statement that the member would parse from the line protocol.
Statement toStatement(const ServerCommand &command)
{
    Statement statement{.id = command.id, .text = command.argument, .name = command.name, .argument = command.argument};
    switch (command.kind) {
    case CommandKind::Forward:
        statement.kind = command.argument.starts_with("READ")    ? StatementKind::Read
                         : command.argument.starts_with("WRITE") ? StatementKind::Write
                         : command.argument == "COMMIT"          ? StatementKind::Commit
                                                                 : StatementKind::Malformed;
        break;
    case CommandKind::Execute:
        statement.kind = StatementKind::Execute;
        break;
    case CommandKind::Begin:
        statement.kind = StatementKind::Begin;
        break;
    case CommandKind::BeginReadOnly:
        statement.kind = StatementKind::BeginReadOnly;
        break;
    case CommandKind::Rollback:
        statement.kind = StatementKind::Rollback;
        break;
    case CommandKind::SetValue:
        statement.kind = StatementKind::SetValue;
        break;
    case CommandKind::PrepareRead:
    case CommandKind::PrepareWrite:
        statement.kind = StatementKind::Prepare;
        statement.preparesWrite = command.kind == CommandKind::PrepareWrite;
        break;
    case CommandKind::UseRoute:
        statement.kind = StatementKind::UseRoute;
        break;
    case CommandKind::Subscribe:
        statement.kind = StatementKind::Subscribe;
        break;
    case CommandKind::Allowance:
        statement.kind = StatementKind::Allowance;
        break;
    case CommandKind::ResetSession:
        statement.kind = StatementKind::ResetSession;
        break;
    default:
        break;
    }
    return statement;
}

} // namespace

void RelayConnections::open(std::size_t from, LinkId link, const std::string &address)
{
    const std::size_t to = std::stoul(address.substr(address.find(':') + 1));
    Connection connection{.from = from, .fromBoot = this->callbacks.boot(from), .link = link, .to = to};
    PoolCore *core = this->callbacks.core(from, to);
    if (core == nullptr || !core->acceptsCallers()) {
        this->endLink(connection, true);
        return;
    }
    connection.toBoot = this->callbacks.boot(to);
    connection.session = core->callerConnected(this->events.now());
    this->byLink[{from, link.packed()}] = connection;
    this->linkOfSession[{to, connection.session.packed()}] = {from, link.packed()};
}

bool RelayConnections::send(std::size_t from, LinkId link, const ServerCommand &command)
{
    const auto found = this->byLink.find({from, link.packed()});
    if (found == this->byLink.end())
        return false;
    const Connection connection = found->second;
    if (this->callbacks.core(from, connection.to) == nullptr)
        return true;
    this->events.add(
        this->events.now() + this->callbacks.transmit(connection.from, connection.to), [this, connection, command] {
            this->callbacks.input(connection.to, connection.toBoot, [this, connection, command](PoolCore &core) {
                if (command.kind == CommandKind::Open)
                    core.relayOpenedSession(this->events.now(), connection.session, command.argument);
                else
                    core.statementReceived(this->events.now(), connection.session, toStatement(command));
            });
        });
    return true;
}

bool RelayConnections::close(std::size_t from, LinkId link)
{
    const auto found = this->byLink.find({from, link.packed()});
    if (found == this->byLink.end())
        return false;
    const Connection connection = found->second;
    this->remove(connection);
    this->events.add(this->events.now() + this->callbacks.transmit(connection.from, connection.to), [this, connection] {
        this->callbacks.input(connection.to, connection.toBoot, [this, connection](PoolCore &core) {
            core.callerDisconnected(this->events.now(), connection.session);
        });
    });
    return true;
}

void RelayConnections::instanceEnded(std::size_t instance)
{
    std::vector<Connection> ended;
    for (const auto &[key, connection] : this->byLink) {
        if (connection.from == instance || connection.to == instance)
            ended.push_back(connection);
    }
    for (const Connection &connection : ended) {
        if (connection.from == instance) {
            this->close(connection.from, connection.link);
        } else {
            this->remove(connection);
            this->endLink(connection, false);
        }
    }
}

bool RelayConnections::reply(std::size_t instance, SessionId session, const CallerReply &reply)
{
    const auto connection = this->connectionOf(instance, session);
    if (!connection)
        return false;
    for (const std::string &row : reply.rows)
        this->deliver(*connection, ServerMessage{.kind = ServerMessageKind::Row, .text = row});
    if (reply.error)
        this->deliver(*connection, ServerMessage{.kind = ServerMessageKind::Error, .error = *reply.error});
    else
        this->deliver(*connection, ServerMessage{.kind = ServerMessageKind::Done, .text = reply.digest});
    this->deliver(*connection,
                  ServerMessage{.kind = ServerMessageKind::Ready, .state = reply.state, .position = reply.position});
    return true;
}

bool RelayConnections::greet(std::size_t instance, SessionId session)
{
    const auto connection = this->connectionOf(instance, session);
    if (!connection)
        return false;
    this->deliver(*connection, ServerMessage{.kind = ServerMessageKind::Ready});
    return true;
}

bool RelayConnections::refuse(std::size_t instance, SessionId session, const OutcomeError &error)
{
    const auto connection = this->connectionOf(instance, session);
    if (!connection)
        return false;
    this->deliver(*connection, ServerMessage{.kind = ServerMessageKind::Error, .error = error});
    this->remove(*connection);
    this->endLink(*connection, false);
    return true;
}

bool RelayConnections::closeSession(std::size_t instance, SessionId session)
{
    const auto connection = this->connectionOf(instance, session);
    if (!connection)
        return false;
    this->remove(*connection);
    this->endLink(*connection, false);
    return true;
}

std::optional<RelayConnections::Connection> RelayConnections::connectionOf(std::size_t instance,
                                                                           SessionId session) const
{
    const auto found = this->linkOfSession.find({instance, session.packed()});
    return found == this->linkOfSession.end() ? std::nullopt : std::optional(this->byLink.at(found->second));
}

void RelayConnections::remove(const Connection &connection)
{
    this->linkOfSession.erase({connection.to, connection.session.packed()});
    this->byLink.erase({connection.from, connection.link.packed()});
}

void RelayConnections::deliver(const Connection &connection, ServerMessage message)
{
    if (this->callbacks.core(connection.to, connection.from) == nullptr)
        return;
    this->events.add(this->events.now() + this->callbacks.transmit(connection.to, connection.from),
                     [this, connection, sent = std::move(message)] {
                         this->callbacks.input(connection.from, connection.fromBoot,
                                               [this, connection, sent](PoolCore &core) {
                                                   core.linkMessageReceived(this->events.now(), connection.link, sent);
                                               });
                     });
}

void RelayConnections::endLink(const Connection &connection, bool refused)
{
    this->events.add(this->events.now() + this->callbacks.transmit(connection.to, connection.from), [this, connection,
                                                                                                     refused] {
        this->callbacks.input(connection.from, connection.fromBoot, [this, connection, refused](PoolCore &core) {
            core.linkDisconnected(this->events.now(), connection.link, refused ? LinkEnd::Refused : LinkEnd::Broken);
        });
    });
}

} // namespace Jujubekeel

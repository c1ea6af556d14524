#include "virtualpool/relaywires.h"

#include "pool/poolcore.h"

#include <vector>

namespace Jujubekeel {

namespace {

/// The statement that a member reads from a command, as the line protocol carries it.
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
    case CommandKind::ResetSession:
        statement.kind = StatementKind::ResetSession;
        break;
    default:
        break;
    }
    return statement;
}

} // namespace

void RelayWires::open(std::size_t from, LinkId link, const std::string &address)
{
    const std::size_t to = std::stoul(address.substr(address.find(':') + 1));
    Wire wire{.from = from, .fromBoot = this->callbacks.boot(from), .link = link, .to = to};
    PoolCore *core = this->callbacks.core(from, to);
    if (core == nullptr || !core->acceptsCallers()) {
        this->endLink(wire, true);
        return;
    }
    wire.toBoot = this->callbacks.boot(to);
    wire.session = core->callerConnected(this->events.now());
    this->byLink[{from, link.packed()}] = wire;
    this->linkOfSession[{to, wire.session.packed()}] = {from, link.packed()};
}

bool RelayWires::send(std::size_t from, LinkId link, const ServerCommand &command)
{
    const auto found = this->byLink.find({from, link.packed()});
    if (found == this->byLink.end())
        return false;
    const Wire wire = found->second;
    if (this->callbacks.core(from, wire.to) == nullptr)
        return true;
    this->events.add(this->events.now() + this->delay, [this, wire, command] {
        this->callbacks.input(wire.to, wire.toBoot, [this, wire, command](PoolCore &core) {
            if (command.kind == CommandKind::Open)
                core.relayOpenedSession(this->events.now(), wire.session, command.argument);
            else
                core.statementReceived(this->events.now(), wire.session, toStatement(command));
        });
    });
    return true;
}

bool RelayWires::close(std::size_t from, LinkId link)
{
    const auto found = this->byLink.find({from, link.packed()});
    if (found == this->byLink.end())
        return false;
    const Wire wire = found->second;
    this->remove(wire);
    this->events.add(this->events.now() + this->delay, [this, wire] {
        this->callbacks.input(wire.to, wire.toBoot, [this, wire](PoolCore &core) {
            core.callerDisconnected(this->events.now(), wire.session);
        });
    });
    return true;
}

void RelayWires::instanceEnded(std::size_t instance)
{
    std::vector<Wire> ended;
    for (const auto &[key, wire] : this->byLink) {
        if (wire.from == instance || wire.to == instance)
            ended.push_back(wire);
    }
    for (const Wire &wire : ended) {
        if (wire.from == instance) {
            this->close(wire.from, wire.link);
        } else {
            this->remove(wire);
            this->endLink(wire, false);
        }
    }
}

bool RelayWires::reply(std::size_t instance, SessionId session, const CallerReply &reply)
{
    const auto wire = this->wireOf(instance, session);
    if (!wire)
        return false;
    for (const std::string &row : reply.rows)
        this->deliver(*wire, ServerMessage{.kind = ServerMessageKind::Row, .text = row});
    if (reply.error)
        this->deliver(*wire, ServerMessage{.kind = ServerMessageKind::Error, .error = *reply.error});
    else
        this->deliver(*wire, ServerMessage{.kind = ServerMessageKind::Done, .text = reply.digest});
    this->deliver(*wire,
                  ServerMessage{.kind = ServerMessageKind::Ready, .state = reply.state, .position = reply.position});
    return true;
}

bool RelayWires::greet(std::size_t instance, SessionId session)
{
    const auto wire = this->wireOf(instance, session);
    if (!wire)
        return false;
    this->deliver(*wire, ServerMessage{.kind = ServerMessageKind::Ready});
    return true;
}

bool RelayWires::refuse(std::size_t instance, SessionId session, const OutcomeError &error)
{
    const auto wire = this->wireOf(instance, session);
    if (!wire)
        return false;
    this->deliver(*wire, ServerMessage{.kind = ServerMessageKind::Error, .error = error});
    this->remove(*wire);
    this->endLink(*wire, false);
    return true;
}

bool RelayWires::hangUp(std::size_t instance, SessionId session)
{
    const auto wire = this->wireOf(instance, session);
    if (!wire)
        return false;
    this->remove(*wire);
    this->endLink(*wire, false);
    return true;
}

std::optional<RelayWires::Wire> RelayWires::wireOf(std::size_t instance, SessionId session) const
{
    const auto found = this->linkOfSession.find({instance, session.packed()});
    return found == this->linkOfSession.end() ? std::nullopt : std::optional(this->byLink.at(found->second));
}

void RelayWires::remove(const Wire &wire)
{
    this->linkOfSession.erase({wire.to, wire.session.packed()});
    this->byLink.erase({wire.from, wire.link.packed()});
}

void RelayWires::deliver(const Wire &wire, ServerMessage message)
{
    if (this->callbacks.core(wire.to, wire.from) == nullptr)
        return;
    this->events.add(this->events.now() + this->delay, [this, wire, said = std::move(message)] {
        this->callbacks.input(wire.from, wire.fromBoot, [this, wire, said](PoolCore &core) {
            core.linkMessageReceived(this->events.now(), wire.link, said);
        });
    });
}

void RelayWires::endLink(const Wire &wire, bool refused)
{
    this->events.add(this->events.now() + this->delay, [this, wire, refused] {
        this->callbacks.input(wire.from, wire.fromBoot, [this, wire, refused](PoolCore &core) {
            core.linkDisconnected(this->events.now(), wire.link, refused ? LinkEnd::Refused : LinkEnd::Broken);
        });
    });
}

} // namespace Jujubekeel

#include "pool/statementsender.h"

#include "pool/poolworld.h"
#include "pool/relayedroute.h"

#include <algorithm>
#include <cassert>

namespace Jujubekeel {

namespace {

/// The first attempt of a read is repeated elsewhere after this multiple of the server's average response time, because
/// the connection may be dead.
constexpr std::int64_t slowReadFactor = 10;
/// Shortest such timeout.
constexpr Duration slowReadMin = std::chrono::milliseconds(400);

} // namespace

void StatementSender::sendBegin(SessionId id, LinkId linkId, std::optional<LogPosition> requiredPosition)
{
    SessionRow &session = this->world.sessions.at(id);
    this->prepareLink(session, linkId);
    this->links.send(
        linkId, ExchangeKind::Begin,
        ServerCommand{.kind = session.transaction->readOnly ? CommandKind::BeginReadOnly : CommandKind::Begin,
                      .after = requiredPosition});
    session.work->beginSent = true;
    this->world.links.at(linkId).inTransaction = true;
    this->links.setDeadline(linkId, this->world.now + session.route->statementTimeout);
}

void StatementSender::prepareLink(SessionRow &session, LinkId linkId)
{
    LinkRow &link = this->world.links.at(linkId);
    if (this->world.servers.at(link.server).isMember && !link.inTransaction)
        this->sendRelayedRoute(session, linkId);
    const bool otherValues = std::any_of(link.values.begin(), link.values.end(),
                                         [&](const auto &value) { return !session.values.contains(value.first); });
    // Nothing else removes statements that no session uses any more.
    const bool tooManyPrepared = link.prepared.textBytes() > this->world.options.preparedBytes && !link.inTransaction;
    if (otherValues || tooManyPrepared) {
        assert(!link.inTransaction);
        this->links.send(linkId, ExchangeKind::Setup, ServerCommand{.kind = CommandKind::ResetSession});
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto &[name, value] : session.values) {
        const auto present = link.values.find(name);
        if (present != link.values.end() && present->second == value)
            continue;
        this->links.send(linkId, ExchangeKind::Setup,
                         ServerCommand{.kind = CommandKind::SetValue, .name = name, .argument = value});
        link.values.insert_or_assign(name, value);
    }
}

void StatementSender::sendRelayedRoute(const SessionRow &session, LinkId linkId)
{
    LinkRow &link = this->world.links.at(linkId);
    if (link.relayedRoute == session.route && link.relayedMark == session.mark
        && link.relayedOrganisation == session.organisationName())
        return;
    this->world.counters.add("jujubekeel_pool_routes_announced_total");
    link.relayedRoute = session.route;
    link.relayedMark = session.mark;
    link.relayedOrganisation = session.organisationName();
    RelayedRoute relayed{.route = *session.route, .organisation = link.relayedOrganisation};
    // The organisation was checked against the newest tables, while the route may be shared by several versions.
    relayed.route.version = std::max(this->world.routes ? this->world.routes->version() : 0,
                                     this->world.organisations ? this->world.organisations->version() : 0);
    if (session.mark != LogPosition{})
        relayed.mark = session.mark;
    this->links.send(linkId, ExchangeKind::Setup,
                     ServerCommand{.kind = CommandKind::UseRoute, .argument = relayed.toText()});
}

void StatementSender::sendStatement(SessionId id, LinkId linkId, std::optional<LogPosition> requiredPosition)
{
    SessionRow &session = this->world.sessions.at(id);
    PendingWork &work = *session.work;
    LinkRow &link = this->world.links.at(linkId);
    this->prepareLink(session, linkId);

    ServerCommand command{.kind = CommandKind::Forward, .id = work.statement.id, .after = requiredPosition};
    if (work.statement.kind == StatementKind::Execute) {
        const PreparedStatement &prepared = session.prepared.find(work.statement.name)->second;
        command.kind = CommandKind::Execute;
        command.name = link.prepared.find(prepared);
        if (command.name.empty()) {
            command.name = link.prepared.add(prepared);
            this->links.send(
                linkId, ExchangeKind::Prepare,
                ServerCommand{.kind = prepared.writes ? CommandKind::PrepareWrite : CommandKind::PrepareRead,
                              .name = command.name,
                              .argument = prepared.text});
        }
        command.argument = work.statement.argument;
    } else {
        command.argument = work.statement.text;
    }
    this->links.send(linkId, ExchangeKind::Statement, std::move(command));
    this->pace.started(linkId);
    work.sent = true;
    work.sentAt = this->world.now;
    work.server = this->world.servers.at(link.server).entry.id;
    if (session.transaction && work.statement.kind != StatementKind::Commit && work.writes)
        session.transaction->wrote = true;

    this->links.setDeadline(linkId, this->answerDeadline(session, this->world.servers.at(link.server)));
}

TimePoint StatementSender::answerDeadline(const SessionRow &session, const ServerRow &server) const
{
    const PendingWork &work = *session.work;
    const PoolOptions &options = this->world.options;
    const Duration timeout = session.route->statementTimeout;
    const bool repeatable = !session.transaction && !work.writes && work.attempts == 1;
    if (server.isMember) {
        // The member may queue the work before it runs it, so that wait is added.
        const Duration wait = work.needsPrimary ? options.primaryWait : options.queueWait;
        return this->world.now + wait + (repeatable ? timeout / 2 : timeout);
    }
    const TimePoint deadline = std::max(work.arrivedAt, this->world.now - timeout / 2) + timeout;
    // The first attempt of a read outside a transaction gets a shorter deadline, as it can be repeated elsewhere.
    if (!repeatable)
        return deadline;
    return std::min(deadline, this->world.now + std::max(slowReadMin, server.responseTime * slowReadFactor));
}

} // namespace Jujubekeel

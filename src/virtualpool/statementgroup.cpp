#include "virtualpool/statementgroup.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Jujubekeel {

namespace {

bool startsWith(const ServerCommand &command, std::string_view word)
{
    return command.kind == CommandKind::Forward && std::string_view(command.argument).starts_with(word);
}

/// The fields of a line are separated by blanks, and the last one extends to its end.
ServerCommand asReceived(ServerCommand command)
{
    const std::size_t blank = command.name.find(' ');
    if (command.kind != CommandKind::Execute || blank == std::string::npos)
        return command;
    command.argument = command.name.substr(blank + 1) + ' ' + command.argument;
    command.name.resize(blank);
    return command;
}

} // namespace

StatementGroup::StatementGroup(StatementGroupOptions groupOptions, EventQueue &eventQueue, Callbacks groupCallbacks)
    : options(std::move(groupOptions)), events(eventQueue), callbacks(std::move(groupCallbacks)),
      random(this->options.seed), servers(this->options.domains.size())
{
    for (Server &server : this->servers)
        server.applyLag = this->options.applyLag;
    this->servers.front().primary = true;
    this->record.promotions.push_back(
        GroupHistory::Promotion{.server = 0, .term = 1, .base = 0, .at = this->events.now()});
}

std::string StatementGroup::id(std::size_t server) const
{
    return this->options.service + "-" + std::to_string(server);
}

std::size_t StatementGroup::connectionCount(std::size_t server) const
{
    return static_cast<std::size_t>(std::count_if(this->connections.begin(), this->connections.end(),
                                                  [&](const auto &entry) { return entry.second.server == server; }));
}

bool StatementGroup::connect(std::size_t server, std::uint64_t connection)
{
    if (!this->servers.at(server).running)
        return false;
    this->connections.emplace(connection, Connection{.server = server});
    return true;
}

void StatementGroup::disconnect(std::uint64_t connection)
{
    this->connections.erase(connection);
}

void StatementGroup::drop(std::uint64_t connection)
{
    this->connections.erase(connection);
    this->callbacks.dropped(connection);
}

void StatementGroup::receive(std::uint64_t connection, const ServerCommand &command)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    found->second.commands.push_back(asReceived(command));
    if (found->second.commands.size() == 1)
        this->processNext(connection);
}

void StatementGroup::processNext(std::uint64_t connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end() && !found->second.commands.empty())
        this->perform(connection, ServerCommand(found->second.commands.front()));
}

void StatementGroup::answer(std::uint64_t connection, std::string digest, std::optional<OutcomeError> error)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    if (error)
        this->callbacks.deliver(connection, ServerMessage{.kind = ServerMessageKind::Error, .error = *error});
    else
        this->callbacks.deliver(connection, ServerMessage{.kind = ServerMessageKind::Done, .text = std::move(digest)});
    this->callbacks.deliver(connection, ServerMessage{.kind = ServerMessageKind::Ready,
                                                      .state = found->second.state,
                                                      .position = this->applied(found->second.server)});
    found->second.commands.pop_front();
    this->processNext(connection);
}

void StatementGroup::refuse(std::uint64_t connection, OutcomeCode code)
{
    Connection &row = this->connections.at(connection);
    if (row.state != SessionState::Idle)
        row.state = SessionState::Failed;
    this->answer(connection, {}, OutcomeError{.code = code, .text = this->id(row.server)});
}

void StatementGroup::perform(std::uint64_t connection, const ServerCommand &command)
{
    Connection &row = this->connections.at(connection);
    Server &server = this->servers[row.server];
    switch (command.kind) {
    case CommandKind::Open:
        this->greet(connection, command);
        return;
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
        this->begin(connection, command);
        return;
    case CommandKind::Rollback:
        row.state = SessionState::Idle;
        row.writes.clear();
        this->answer(connection, "-", std::nullopt);
        return;
    case CommandKind::SetValue:
        row.values[command.name] = command.argument;
        this->answer(connection, "-", std::nullopt);
        return;
    case CommandKind::PrepareRead:
    case CommandKind::PrepareWrite:
        this->prepare(connection, command);
        return;
    case CommandKind::ResetSession:
        if (row.state != SessionState::Idle)
            this->record.misuse.push_back("session reset inside a transaction");
        row.values.clear();
        row.prepared.clear();
        this->answer(connection, "-", std::nullopt);
        return;
    case CommandKind::PauseReplication:
        server.heldTerm = command.term;
        [[fallthrough]];
    case CommandKind::ResumeReplication:
    case CommandKind::StepDown:
        if (command.kind == CommandKind::ResumeReplication)
            server.heldTerm = 0;
        this->reportStatus(connection);
        return;
    case CommandKind::Status:
        if (server.busyStatuses > 0) {
            server.busyStatuses -= 1;
            this->refuse(connection, OutcomeCode::Busy);
            return;
        }
        if (server.busySlots >= this->options.slots && server.waiting.size() >= this->options.queueLimit) {
            this->refuse(connection, OutcomeCode::Busy);
            return;
        }
        this->occupySlot(row.server, this->options.statusWork,
                         [this, connection, starts = server.starts, at = row.server] {
                             if (this->connections.contains(connection) && this->servers[at].starts == starts)
                                 this->reportStatus(connection);
                         });
        return;
    case CommandKind::Forward:
    case CommandKind::Execute:
        this->runStatement(connection, command);
        return;
    case CommandKind::Subscribe:
    case CommandKind::Allowance:
    case CommandKind::UseRoute:
        this->record.misuse.push_back("a message for members was sent to a backend server");
        return;
    case CommandKind::Close:
        this->disconnect(connection);
        return;
    }
}

void StatementGroup::reportStatus(std::uint64_t connection)
{
    const std::size_t at = this->connections.at(connection).server;
    const Server &server = this->servers[at];
    this->callbacks.deliver(connection, ServerMessage{.kind = ServerMessageKind::Row,
                                                      .status = ReplicationStatus{.isPrimary = server.primary,
                                                                                  .term = server.term,
                                                                                  .received = this->received(at),
                                                                                  .heldTerm = server.heldTerm}});
    this->answer(connection, "-", std::nullopt);
}

void StatementGroup::prepare(std::uint64_t connection, const ServerCommand &command)
{
    Connection &row = this->connections.at(connection);
    Server &server = this->servers[row.server];
    const bool malformed = command.name.empty() || command.name.find(' ') != std::string::npos;
    if (malformed || server.refusedPreparations > 0) {
        server.refusedPreparations -= server.refusedPreparations > 0 ? 1 : 0;
        this->refuse(connection, malformed ? OutcomeCode::Malformed : OutcomeCode::Overload);
        return;
    }
    row.prepared[command.name] =
        PreparedShape{.writes = command.kind == CommandKind::PrepareWrite, .shape = command.argument};
    this->answer(connection, "-", std::nullopt);
}

void StatementGroup::greet(std::uint64_t connection, const ServerCommand &command)
{
    const std::size_t server = this->connections.at(connection).server;
    this->connections.at(connection).organisation = command.organisation;
    const bool expected = command.name == this->options.service && command.argument == this->id(server);
    const bool isOverLimit = this->connectionCount(server) > this->options.connectionLimit;
    if (isOverLimit) {
        this->drop(connection);
        return;
    }
    if (!expected) {
        this->callbacks.deliver(connection, ServerMessage{.kind = ServerMessageKind::Error,
                                                          .error = {.code = OutcomeCode::Misrouted, .text = {}}});
        this->drop(connection);
        return;
    }
    this->occupySlot(server, this->options.handshake, [this, connection, server] {
        const auto found = this->connections.find(connection);
        if (found == this->connections.end())
            return;
        this->handshakeCount += 1;
        this->callbacks.deliver(connection,
                                ServerMessage{.kind = ServerMessageKind::Ready, .position = this->applied(server)});
        found->second.commands.pop_front();
        this->processNext(connection);
    });
}

void StatementGroup::begin(std::uint64_t connection, const ServerCommand &command)
{
    Connection &row = this->connections.at(connection);
    if (row.state != SessionState::Idle) {
        this->record.misuse.push_back("begin inside a transaction");
        this->refuse(connection, OutcomeCode::Malformed);
        return;
    }
    if (command.kind == CommandKind::Begin && !this->servers[row.server].primary) {
        this->refuse(connection, OutcomeCode::ReadOnly);
        return;
    }
    if (command.after && !this->hasApplied(row.server, *command.after)) {
        this->refuse(connection, OutcomeCode::Lagging);
        return;
    }
    row.state = SessionState::InTransaction;
    row.readOnly = command.kind == CommandKind::BeginReadOnly;
    row.writes.clear();
    this->answer(connection, "-", std::nullopt);
}

bool StatementGroup::writes(const Connection &connection, const ServerCommand &command) const
{
    if (command.kind == CommandKind::Execute) {
        const auto found = connection.prepared.find(command.name);
        return found != connection.prepared.end() && found->second.writes;
    }
    return startsWith(command, "WRITE");
}

void StatementGroup::runStatement(std::uint64_t connection, const ServerCommand &command)
{
    Connection &row = this->connections.at(connection);
    const Server &server = this->servers[row.server];
    if (command.kind == CommandKind::Execute && !row.prepared.contains(command.name)) {
        this->refuse(connection, OutcomeCode::UnknownName);
        return;
    }
    const bool commit = startsWith(command, "COMMIT");
    const bool plainTransaction = row.state == SessionState::InTransaction && !row.readOnly;
    const bool isEmptyCommit = commit && row.writes.empty();
    if (!server.primary && !isEmptyCommit && (this->writes(row, command) || plainTransaction)) {
        this->refuse(connection, OutcomeCode::ReadOnly);
        return;
    }
    if (commit && row.state != SessionState::InTransaction) {
        this->record.misuse.push_back("commit outside a transaction: " + command.id);
        this->refuse(connection, OutcomeCode::Malformed);
        return;
    }
    if (command.after && !this->hasApplied(row.server, *command.after)) {
        this->refuse(connection, OutcomeCode::Lagging);
        return;
    }
    Tally &tally = this->servers[row.server].tally;
    tally.received += 1;
    const Impairment &impairment = server.impairment;
    if (impairment.hangs) {
        tally.failed += 1;
        return;
    }
    if (impairment.failedPercent > 0 && this->random.chance(impairment.failedPercent)) {
        tally.failed += 1;
        this->refuse(connection, OutcomeCode::Failed);
        return;
    }
    if (server.busySlots >= this->options.slots && server.waiting.size() >= this->options.queueLimit) {
        tally.rejected += 1;
        this->refuse(connection, OutcomeCode::Busy);
        return;
    }
    const Duration usual = this->options.work / 2
                           + Duration(static_cast<std::int64_t>(
                               this->random.below(static_cast<std::uint64_t>(this->options.work.count()) * 3 / 2 + 1)));
    const Duration work = usual * static_cast<std::int64_t>(impairment.workPercent) / 100;
    const std::uint64_t starts = server.starts;
    this->occupySlot(row.server, work,
                     [this, connection, command, starts, at = row.server, receivedAt = this->events.now()] {
                         if (this->connections.contains(connection) && this->servers[at].starts == starts)
                             this->finishStatement(connection, command, this->applied(at), receivedAt);
                     });
}

void StatementGroup::finishStatement(std::uint64_t connection, const ServerCommand &command, LogPosition appliedNow,
                                     TimePoint receivedAt)
{
    Connection &row = this->connections.at(connection);
    this->record.runs.push_back(GroupHistory::Run{.id = command.id,
                                                  .organisation = row.organisation,
                                                  .isFirst = row.runs == 0,
                                                  .server = row.server,
                                                  .receivedAt = receivedAt});
    row.runs += 1;
    const Server &server = this->servers[row.server];
    const bool commit = startsWith(command, "COMMIT");
    LogPosition committed;
    if (command.kind == CommandKind::Execute) {
        const PreparedShape &prepared = row.prepared.at(command.name);
        this->record.executions.push_back(GroupHistory::Execution{
            .id = command.id, .shape = prepared.shape, .parameters = command.argument, .writes = prepared.writes});
    }
    if (commit) {
        if (!row.writes.empty()) {
            if (!server.primary) {
                row.writes.clear();
                this->refuse(connection, OutcomeCode::ReadOnly);
                return;
            }
            committed = this->append(row.server, {.writes = row.writes, .commit = command.id, .server = row.server});
        }
        row.state = SessionState::Idle;
        row.writes.clear();
    } else if (this->writes(row, command)) {
        if (!server.primary) {
            this->refuse(connection, OutcomeCode::ReadOnly);
            return;
        }
        if (row.state == SessionState::InTransaction)
            row.writes.push_back(command.id);
        else
            committed = this->append(row.server, {.writes = {command.id}, .commit = command.id, .server = row.server});
    } else {
        this->record.reads.push_back(GroupHistory::Read{.id = command.id, .server = row.server, .applied = appliedNow});
        std::string values;
        for (const auto &[name, value] : row.values)
            values.append(name).append("=").append(value).append(";");
        this->callbacks.deliver(connection, ServerMessage{.kind = ServerMessageKind::Row, .text = values});
    }
    if (committed != LogPosition{} && this->options.syncReplicas > 0)
        this->acknowledge(connection, command, committed);
    else
        this->answerStatement(connection, command);
}

void StatementGroup::acknowledge(std::uint64_t connection, const ServerCommand &command, LogPosition committed)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || !this->servers[found->second.server].running)
        return;
    const std::size_t source = found->second.server;
    std::uint32_t holders = 0;
    for (std::size_t other = 0; other < this->servers.size(); ++other) {
        const std::vector<Entry> &log = this->servers[other].log;
        const bool holds = log.size() >= committed.position && log[committed.position - 1].position == committed;
        holders += other != source && holds ? 1 : 0;
    }
    if (holders >= this->options.syncReplicas) {
        this->answerStatement(connection, command);
        return;
    }
    this->events.add(this->events.now() + this->options.shipping,
                     [this, connection, command, committed] { this->acknowledge(connection, command, committed); });
}

void StatementGroup::answerStatement(std::uint64_t connection, const ServerCommand &command)
{
    const std::size_t server = this->connections.at(connection).server;
    if (this->random.chance(this->servers[server].lostAnswers)) {
        this->drop(connection);
        return;
    }
    this->answer(connection, this->id(server) + ":" + command.id, std::nullopt);
}

void StatementGroup::occupySlot(std::size_t index, Duration duration, std::function<void()> done)
{
    Server &server = this->servers[index];
    const std::uint64_t starts = server.starts;
    auto job = [this, index, duration, starts, finished = std::move(done)] {
        this->servers[index].busySlots += 1;
        this->events.add(this->events.now() + duration, [this, index, starts, finished] {
            if (this->servers[index].starts != starts)
                return;
            finished();
            this->freeSlot(index);
        });
    };
    if (server.busySlots < this->options.slots)
        job();
    else
        server.waiting.push_back(std::move(job));
}

void StatementGroup::freeSlot(std::size_t index)
{
    Server &server = this->servers[index];
    server.busySlots -= 1;
    if (server.waiting.empty())
        return;
    const auto job = std::move(server.waiting.front());
    server.waiting.pop_front();
    job();
}

LogPosition StatementGroup::received(std::size_t server) const
{
    const auto &log = this->servers[server].log;
    return log.empty() ? LogPosition{.term = 1, .position = 0} : log.back().position;
}

LogPosition StatementGroup::applied(std::size_t index)
{
    Server &server = this->servers[index];
    if (server.primary)
        server.applied = server.log.size();
    // Entries that are already applied stay applied when the lag is increased.
    server.applied = std::min(server.applied, server.log.size());
    while (server.applied < server.log.size()
           && server.log[server.applied].receivedAt + server.applyLag <= this->events.now())
        server.applied += 1;
    return server.applied == 0 ? LogPosition{.term = 1, .position = 0} : server.log[server.applied - 1].position;
}

bool StatementGroup::hasApplied(std::size_t server, LogPosition position)
{
    if (position.position == 0)
        return true;
    const LogPosition upTo = this->applied(server);
    const auto &log = this->servers[server].log;
    return position.position <= upTo.position && log.at(position.position - 1).position == position;
}

LogPosition StatementGroup::append(std::size_t index, GroupHistory::Commit commit)
{
    Server &server = this->servers[index];
    const LogPosition position{.term = server.term, .position = server.log.size() + 1};
    server.log.push_back(Entry{.position = position, .receivedAt = this->events.now()});
    commit.position = position;
    commit.at = this->events.now();
    this->record.commits.push_back(std::move(commit));
    for (std::size_t other = 0; other < this->servers.size(); ++other) {
        if (other != index)
            this->events.add(this->events.now() + this->options.shipping,
                             [this, index, other] { this->ship(index, other); });
    }
    return position;
}

void StatementGroup::ship(std::size_t from, std::size_t to)
{
    const Server &source = this->servers[from];
    Server &target = this->servers[to];
    const bool connected =
        source.running && target.running && !source.replicationIsolated && !target.replicationIsolated;
    if (!connected || !source.primary || target.primary || target.term > source.term || target.heldTerm > source.term)
        return;
    rollBack(target, source);
    target.term = source.term;
    for (std::size_t index = target.log.size(); index < source.log.size(); ++index)
        target.log.push_back(Entry{.position = source.log[index].position, .receivedAt = this->events.now()});
}

void StatementGroup::rollBack(Server &server, const Server &source)
{
    // Logs that contain an entry of one term at one position are the same up to it.
    std::size_t common = std::min(server.log.size(), source.log.size());
    while (common > 0 && server.log[common - 1].position != source.log[common - 1].position)
        common -= 1;
    server.log.resize(common);
    server.applied = std::min(server.applied, common);
}

bool StatementGroup::isCurrentPrimary(std::size_t index) const
{
    const Server &server = this->servers[index];
    return server.primary && std::none_of(this->servers.begin(), this->servers.end(), [&](const Server &other) {
               return other.term > server.term;
           });
}

bool StatementGroup::promote(std::size_t index)
{
    if (!this->servers.at(index).running)
        return false;
    if (!this->isCurrentPrimary(index))
        this->events.add(this->events.now() + this->options.promotion,
                         [this, index] { this->completePromotion(index); });
    return true;
}

void StatementGroup::completePromotion(std::size_t index)
{
    Server &newPrimary = this->servers[index];
    if (!newPrimary.running || this->isCurrentPrimary(index))
        return;
    std::uint64_t term = 0;
    for (const Server &server : this->servers)
        term = std::max(term, server.term);
    newPrimary.term = term + 1;
    newPrimary.primary = true;
    newPrimary.heldTerm = 0;
    GroupHistory::Promotion promotion{
        .server = index, .term = newPrimary.term, .base = newPrimary.log.size(), .at = this->events.now()};
    for (const Entry &entry : newPrimary.log)
        promotion.log.push_back(entry.position);
    this->record.promotions.push_back(std::move(promotion));
    for (std::size_t other = 0; other < this->servers.size(); ++other) {
        if (other == index)
            continue;
        const Duration wait = this->servers[other].primary ? this->options.demotion : Duration{0};
        this->events.add(this->events.now() + wait, [this, other, index] { this->follow(other, index); });
    }
}

void StatementGroup::follow(std::size_t index, std::size_t primaryIndex)
{
    Server &server = this->servers[index];
    const Server &newPrimary = this->servers[primaryIndex];
    if (!server.running || !newPrimary.running || !newPrimary.primary || server.replicationIsolated
        || newPrimary.replicationIsolated || server.term >= newPrimary.term)
        return;
    rollBack(server, newPrimary);
    server.primary = false;
    server.heldTerm = 0;
    server.term = newPrimary.term;
    this->ship(primaryIndex, index);
}

void StatementGroup::setRunning(std::size_t index, bool running)
{
    Server &server = this->servers.at(index);
    if (server.running == running)
        return;
    server.running = running;
    server.starts += 1;
    server.busySlots = 0;
    server.waiting.clear();
    if (!running) {
        std::vector<std::uint64_t> lost;
        for (const auto &[connection, row] : this->connections) {
            if (row.server == index)
                lost.push_back(connection);
        }
        for (const std::uint64_t connection : lost)
            this->drop(connection);
        return;
    }
    // The server restarts with its stored log, as a replica if another server is the primary of a later term.
    for (std::size_t other = 0; other < this->servers.size(); ++other) {
        if (this->servers[other].primary && this->servers[other].term > server.term) {
            server.primary = false;
            this->follow(index, other);
        }
    }
}

void StatementGroup::setReplicationIsolated(std::size_t index, bool isolated)
{
    this->servers.at(index).replicationIsolated = isolated;
    if (isolated)
        return;
    for (std::size_t primaryIndex = 0; primaryIndex < this->servers.size(); ++primaryIndex) {
        if (!this->servers[primaryIndex].primary)
            continue;
        for (std::size_t other = 0; other < this->servers.size(); ++other) {
            if (other == primaryIndex)
                continue;
            const Duration wait = this->servers[other].primary ? this->options.demotion : Duration{0};
            this->events.add(this->events.now() + wait,
                             [this, other, primaryIndex] { this->follow(other, primaryIndex); });
            this->ship(primaryIndex, other);
        }
    }
}

} // namespace Jujubekeel

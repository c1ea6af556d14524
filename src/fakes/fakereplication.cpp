#include "fakes/fakereplication.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <optional>
#include <utility>

namespace Jujubekeel {

namespace {

/// Limit of unacknowledged replication messages that are kept for each replica to detect losses.
constexpr std::size_t sentMessageLimit = 4096;

} // namespace

FakeReplication::FakeReplication(const FakeBackendOptions &newOptions, FakeLog &newLog, FakeSessions &newSessions,
                                 std::vector<FakeBackendOutput> &newOutputs)
    : options(newOptions), log(newLog), sessions(newSessions), outputs(newOutputs)
{
    assert(std::ranges::count(this->options.group, this->options.name) == 1);
    assert(std::ranges::count(this->options.group, this->options.firstPrimary) == 1);
    assert(this->options.appendBatch > 0);
    this->primary = this->options.firstPrimary;
    if (this->options.name == this->options.firstPrimary) {
        this->role = BackendRole::Primary;
        this->primary.clear();
    }
    for (const std::string &name : this->options.group) {
        if (name != this->options.name)
            this->replicas.try_emplace(name);
    }
}

bool FakeReplication::isSuperseded() const
{
    return this->log.term() < std::max(this->fencedTerm, this->refusedByTerm);
}

std::optional<BackendAnswer> FakeReplication::refuseWrite(std::uint64_t expectedTerm) const
{
    if (this->role != BackendRole::Primary)
        return BackendAnswer{.code = BackendStatusCode::NotPrimary, .text = "the server is a replica"};
    if (this->isSuperseded()) {
        return BackendAnswer{.code = BackendStatusCode::WrongTerm,
                             .text = "term " + std::to_string(this->log.term()) + " is fenced"};
    }
    if (expectedTerm != 0 && expectedTerm != this->log.term()) {
        return BackendAnswer{.code = BackendStatusCode::WrongTerm,
                             .text = "the server is in term " + std::to_string(this->log.term())};
    }
    return std::nullopt;
}

void FakeReplication::resetPrimaryState(TimePoint now)
{
    this->failBarriers(now, BackendStatusCode::WrongTerm);
    for (auto &[name, replica] : this->replicas)
        replica = Replica{};
    this->refusedByTerm = 0;
}

// Log

LogPosition FakeReplication::commit(TimePoint now, const std::string &key, const std::string &statements,
                                    const std::string &value)
{
    assert(this->isActivePrimary());
    const LogPosition position = this->log.append(key, statements, value);
    this->sendAppends(now);
    return position;
}

void FakeReplication::sendAppend(const std::string &to, Replica &replica)
{
    ReplicationAppend append{.term = this->log.term(),
                             .history = this->log.history(),
                             .heartbeat = ++this->heartbeat,
                             .previous = replica.sent,
                             .entries = {},
                             .promoter = this->fencedBy};
    const std::uint64_t last = std::min<std::uint64_t>(this->log.end(), replica.sent + this->options.appendBatch);
    append.entries.assign(this->log.entries().begin() + static_cast<std::ptrdiff_t>(replica.sent),
                          this->log.entries().begin() + static_cast<std::ptrdiff_t>(last));
    replica.sent = last;
    replica.messages.push_back({.heartbeat = append.heartbeat, .end = last});
    if (replica.messages.size() > sentMessageLimit)
        replica.messages.pop_front();
    this->outputs.emplace_back(FakeBackendReplication{.to = to, .message = std::move(append)});
}

void FakeReplication::sendAppends(TimePoint now)
{
    this->nextHeartbeat = now + this->options.heartbeatInterval;
    if (!this->isActivePrimary())
        return;
    for (auto &[name, replica] : this->replicas)
        this->sendAppend(name, replica);
}

void FakeReplication::handle(TimePoint now, const std::string &from, const ReplicationAppend &append)
{
    const bool ownTerm = this->role == BackendRole::Primary && append.term == this->log.term();
    if (append.term < this->fencedTerm || ownTerm) {
        ReplicationAcknowledge refusal{.term = this->fencedTerm, .accepted = false, .heartbeat = append.heartbeat};
        refusal.received = this->log.positionAt(this->log.end());
        this->outputs.emplace_back(FakeBackendReplication{.to = from, .message = refusal});
        return;
    }

    // A server that missed the fence adopts the new term here, also if it was the primary of an older term.
    if (this->role == BackendRole::Primary) {
        this->role = BackendRole::Replica;
        this->resetPrimaryState(now);
    }
    if (append.term > this->fencedTerm || this->fencedBy.empty())
        this->fencedBy = append.promoter;
    this->fencedTerm = append.term;
    this->primary = from;
    this->primaryHeard = now;
    this->log.receive(now, append);
    this->log.applyDue(now, this->options.applyLag);

    this->outputs.emplace_back(
        FakeBackendReplication{.to = from,
                               .message = ReplicationAcknowledge{.term = append.term,
                                                                 .accepted = true,
                                                                 .heartbeat = append.heartbeat,
                                                                 .received = this->log.positionAt(this->log.end())}});
}

void FakeReplication::handle(TimePoint now, const std::string &from, const ReplicationAcknowledge &acknowledge)
{
    if (!acknowledge.accepted) {
        // The replica is fenced with a newer term: this primary may have been replaced and must refuse writes.
        if (this->role == BackendRole::Primary && acknowledge.term > this->log.term()) {
            this->refusedByTerm = std::max(this->refusedByTerm, acknowledge.term);
            this->failBarriers(now, BackendStatusCode::WrongTerm);
        }
        return;
    }
    const auto found = this->replicas.find(from);
    if (!this->isActivePrimary() || acknowledge.term != this->log.term() || found == this->replicas.end())
        return;

    // Within one term a replica's position only grows, so a late acknowledgement has no effect.
    Replica &replica = found->second;
    replica.acknowledged = true;
    replica.heartbeat = std::max(replica.heartbeat, acknowledge.heartbeat);
    if (acknowledge.received.position >= replica.received.position)
        replica.received = acknowledge.received;

    // A position below the end of the acknowledged message means that earlier messages were lost.
    std::optional<std::uint64_t> expected;
    while (!replica.messages.empty() && replica.messages.front().heartbeat <= acknowledge.heartbeat) {
        if (replica.messages.front().heartbeat == acknowledge.heartbeat)
            expected = replica.messages.front().end;
        replica.messages.pop_front();
    }
    const bool lost = expected && acknowledge.received.position < *expected;
    if (lost) {
        replica.sent = acknowledge.received.position;
        replica.messages.clear();
    }
    if (lost || (expected && replica.sent < this->log.end()))
        this->sendAppend(from, replica);
    this->answerBarriers(now);
}

// Barriers

std::optional<BackendAnswer> FakeReplication::barrier(TimePoint now, std::uint64_t session,
                                                      const BackendRequest &request)
{
    if (auto refusal = this->refuseWrite(request.term))
        return refusal;

    // A barrier below the start of the term could be acknowledged by a replica that lacks entries of earlier terms.
    this->sessions.addBarrier({.session = session,
                               .serial = request.serial,
                               .position = std::max(request.position, this->termStart),
                               .heartbeat = this->heartbeat,
                               .deadline = now + request.wait});
    this->sendAppends(now);
    if (this->replicasNeeded() == 0 || request.wait <= Duration{0})
        this->answerBarriers(now);
    return std::nullopt;
}

bool FakeReplication::isAcknowledged(const FakeSessions::PendingBarrier &barrier) const
{
    const auto count = std::ranges::count_if(this->replicas, [&](const auto &item) {
        const Replica &replica = item.second;
        return replica.acknowledged && replica.heartbeat > barrier.heartbeat
               && replica.received.position >= barrier.position;
    });
    return static_cast<std::uint64_t>(count) >= this->replicasNeeded();
}

std::uint64_t FakeReplication::confirmedPosition() const
{
    const std::uint64_t needed = this->replicasNeeded();
    if (needed == 0)
        return this->log.end();
    std::vector<std::uint64_t> positions;
    for (const auto &[name, replica] : this->replicas)
        positions.push_back(replica.acknowledged ? replica.received.position : 0);
    std::ranges::sort(positions, std::greater{});
    return positions.at(needed - 1);
}

void FakeReplication::answerBarriers(TimePoint now)
{
    for (const FakeSessions::PendingBarrier &pending : this->sessions.takeBarriers()) {
        BackendAnswer result{.position = {.term = this->log.term(), .position = this->confirmedPosition()}};
        if (this->isAcknowledged(pending)) {
            this->answer(now, pending.session, pending.serial, std::move(result));
        } else if (pending.deadline <= now) {
            result.code = BackendStatusCode::BarrierTimeout;
            result.text = "not enough replicas acknowledged in time";
            this->answer(now, pending.session, pending.serial, std::move(result));
        } else {
            this->sessions.addBarrier(pending);
        }
    }
}

void FakeReplication::failBarriers(TimePoint now, BackendStatusCode code)
{
    for (const FakeSessions::PendingBarrier &pending : this->sessions.takeBarriers())
        this->answer(now, pending.session, pending.serial, {.code = code, .text = "the term of the server has ended"});
}

// Terms

BackendAnswer FakeReplication::fence(TimePoint now, const BackendRequest &request)
{
    const bool repeated = request.term == this->fencedTerm && request.instance == this->fencedBy;
    if (request.term < this->fencedTerm || (request.term == this->fencedTerm && !repeated)) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "term " + std::to_string(this->fencedTerm) + " is fenced by " + this->fencedBy};
    }
    this->fencedTerm = request.term;
    this->fencedBy = request.instance;
    if (this->isSuperseded())
        this->failBarriers(now, BackendStatusCode::WrongTerm);
    return {.position = this->log.positionAt(this->log.end())};
}

BackendAnswer FakeReplication::promote(TimePoint now, const BackendRequest &request)
{
    if (request.term != this->fencedTerm || request.instance != this->fencedBy) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "term " + std::to_string(this->fencedTerm) + " is fenced by " + this->fencedBy};
    }
    if (this->role == BackendRole::Primary && this->log.term() == request.term)
        return {.position = {.term = request.term, .position = this->termStart}};
    // A term has only one primary: this log already holds entries of the term from another server.
    if (this->log.term() >= request.term) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "term " + std::to_string(request.term) + " has another primary: " + this->primary};
    }

    this->log.applyAll();
    this->resetPrimaryState(now);
    this->role = BackendRole::Primary;
    this->primary.clear();
    this->termStart = this->log.end();
    this->log.startTerm(request.term);

    // Replicas are assumed to hold the whole log; the first acknowledgement corrects this.
    for (auto &[name, replica] : this->replicas)
        replica.sent = this->log.end();
    this->sendAppends(now);
    return {.position = {.term = request.term, .position = this->termStart}};
}

BackendAnswer FakeReplication::follow(TimePoint now, const BackendRequest &request)
{
    const bool isPrimaryOfTerm = this->role == BackendRole::Primary && this->log.term() == request.term;
    if (isPrimaryOfTerm && request.primary == this->options.name)
        return {};
    if (request.term < this->fencedTerm || isPrimaryOfTerm) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "the server accepts term " + std::to_string(this->fencedTerm) + " and newer"};
    }
    if (!this->replicas.contains(request.primary))
        return {.code = BackendStatusCode::StatementError,
                .text = "the primary to follow is not another server of the group"};

    // Entries that the new primary does not hold are truncated when its history arrives.
    if (request.term > this->fencedTerm) {
        this->fencedTerm = request.term;
        this->fencedBy.clear();
    }
    if (this->role == BackendRole::Primary)
        this->resetPrimaryState(now);
    this->role = BackendRole::Replica;
    this->primary = request.primary;
    this->primaryHeard = now;
    return {};
}

// Status and time

void FakeReplication::answer(TimePoint now, std::uint64_t session, std::uint64_t serial, BackendAnswer answer)
{
    const FakeSessions::Session *found = this->sessions.find(session);
    if (!found)
        return;
    answer.serial = serial;
    if (found->login.control)
        answer.status = this->status(now);
    this->outputs.emplace_back(FakeBackendAnswer{.session = session, .answer = std::move(answer)});
}

ServerStatus FakeReplication::status(TimePoint now) const
{
    ServerStatus result;
    result.role = this->role;
    result.fencedTerm = this->fencedTerm;
    result.fencedBy = this->fencedBy;
    if (this->role == BackendRole::Primary && this->refusedByTerm > this->fencedTerm) {
        result.fencedTerm = this->refusedByTerm;
        result.fencedBy.clear();
    }
    result.received = this->log.positionAt(this->log.end());
    result.applied = this->log.positionAt(this->log.applied());
    result.history = this->log.history();
    if (this->role == BackendRole::Replica) {
        result.primary = this->primary;
        result.primarySilence = now - this->primaryHeard.value_or(now);
    } else {
        for (const auto &[name, replica] : this->replicas) {
            if (replica.acknowledged)
                result.replicas.push_back({.server = name, .received = replica.received});
        }
    }
    result.connections = this->sessions.count();
    result.slotsInUse = this->sessions.runningCount();
    result.lockHolder = this->sessions.lockHolder();
    return result;
}

void FakeReplication::startPrimarySilenceTimer(TimePoint now)
{
    // The silence of the primary is measured from the first call on.
    if (!this->primaryHeard)
        this->primaryHeard = now;
}

void FakeReplication::advance(TimePoint now)
{
    if (this->isActivePrimary() && this->nextHeartbeat <= now)
        this->sendAppends(now);
    this->answerBarriers(now);
}

TimePoint FakeReplication::nextEvent() const
{
    return this->isActivePrimary() ? this->nextHeartbeat : TimePoint::max();
}

} // namespace Jujubekeel

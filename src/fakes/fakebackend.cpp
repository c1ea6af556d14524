#include "fakes/fakebackend.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <limits>
#include <span>
#include <string_view>
#include <utility>

namespace Jujubekeel {

namespace {

using Entry = ReplicationAppend::Entry;

/// A value is a list: `put` stores one element, `append` adds one.
using Data = std::map<std::string, std::vector<std::string>, std::less<>>;

/// Replication messages that a replica has not acknowledged yet and that are remembered for detecting losses.
constexpr std::size_t sentMessageLimit = 4096;

struct StatementParts
{
    std::string_view verb;
    std::string_view key;
    std::string_view text; ///< everything after the key
};

struct StatementResult
{
    bool ok = true;
    std::string value;
    std::string error;
};

/// Cuts off and returns the text before the next space.
std::string_view takeWord(std::string_view &rest)
{
    const std::size_t space = rest.find(' ');
    const std::string_view word = rest.substr(0, space);
    rest = space == std::string_view::npos ? std::string_view{} : rest.substr(space + 1);
    return word;
}

StatementParts splitStatement(std::string_view statement)
{
    StatementParts parts;
    parts.verb = takeWord(statement);
    const std::string_view afterVerb = statement;
    parts.key = takeWord(statement);
    parts.text = parts.verb == "fail" ? afterVerb : statement;
    return parts;
}

bool changesData(std::string_view statement)
{
    const std::string_view verb = splitStatement(statement).verb;
    return verb == "put" || verb == "append";
}

std::string joinElements(std::span<const std::string> elements)
{
    std::string text;
    for (const std::string &element : elements) {
        if (!text.empty())
            text += ',';
        text += element;
    }
    return text;
}

/// Runs one statement on \a data.
StatementResult runStatement(Data &data, std::string_view statement)
{
    const StatementParts parts = splitStatement(statement);
    if (parts.verb == "fail")
        return {.ok = false, .value = {}, .error = std::string(parts.text)};
    if (parts.key.empty())
        return {.ok = false, .value = {}, .error = "the statement names no key"};
    const auto found = data.find(parts.key);
    if (parts.verb == "get")
        return {.ok = true, .value = found == data.end() ? std::string{} : joinElements(found->second), .error = {}};
    if (parts.verb == "count")
        return {.ok = true, .value = std::to_string(found == data.end() ? 0 : found->second.size()), .error = {}};
    if (parts.verb == "put") {
        data.insert_or_assign(std::string(parts.key), std::vector{std::string(parts.text)});
        return {.ok = true, .value = std::string(parts.text), .error = {}};
    }
    if (parts.verb == "append") {
        std::vector<std::string> &elements = data[std::string(parts.key)];
        elements.emplace_back(parts.text);
        return {.ok = true, .value = std::to_string(elements.size()), .error = {}};
    }
    return {.ok = false, .value = {}, .error = "unknown statement: " + std::string(parts.verb)};
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return lines;
}

std::string joinLines(std::span<const std::string> lines)
{
    std::string text;
    for (const std::string &line : lines) {
        if (!text.empty())
            text += '\n';
        text += line;
    }
    return text;
}

struct Transaction
{
    std::uint64_t number = 0; ///< 0: none is open
    std::uint64_t term = 0;   ///< term of the server at Begin
    std::vector<std::string> writes;
};

struct Session
{
    BackendLogin login;
    TimePoint lastRequest{0};
    Transaction transaction;
    bool busy = false; ///< a statement of the session runs
};

/// A statement in a slot.
struct RunningStatement
{
    TimePoint due{0};
    std::uint64_t session = 0; ///< 0: the client closed the session
    std::string instance;
    BackendRequest request;
    std::uint64_t term = 0; ///< term of the server at the start
};

struct PendingBarrier
{
    std::uint64_t session = 0;
    std::uint64_t serial = 0;
    std::uint64_t position = 0;
    std::uint64_t heartbeat = 0; ///< a later heartbeat must be acknowledged
    TimePoint deadline{0};
};

/// What the primary knows of one replica under its own term.
struct Replica
{
    struct SentMessage
    {
        std::uint64_t heartbeat = 0;
        std::uint64_t end = 0; ///< position that the replica holds after the message if nothing was lost
    };

    bool acknowledged = false; ///< heard under the present term
    LogPosition received;
    std::uint64_t heartbeat = 0; ///< highest heartbeat acknowledged
    std::uint64_t sent = 0;      ///< entries up to here were sent
    std::deque<SentMessage> messages;
};

} // namespace

struct FakeBackend::State
{
    FakeBackendOptions options;

    // Replicated state.
    std::vector<Entry> log;
    TermHistory history;
    std::map<std::string, std::uint64_t, std::less<>> keys; ///< request key to position
    std::uint64_t applied = 0;
    std::deque<TimePoint> receivedAt; ///< of the entries after `applied`
    Data data;

    // Role and terms.
    BackendRole role = BackendRole::Replica;
    std::uint64_t fencedTerm = 1;
    std::string fencedBy;
    /// Highest term seen in a refusal. Kept apart from the fence: the promoter of that term may still fence this server.
    std::uint64_t refusedByTerm = 0;
    std::uint64_t termStart = 0; ///< primary: start of its term
    std::string primary;
    std::optional<TimePoint> primaryHeard;

    // Primary.
    std::map<std::string, Replica> replicas;
    std::uint64_t heartbeat = 0;
    TimePoint nextHeartbeat{0};
    std::vector<PendingBarrier> barriers;

    // Sessions.
    std::map<std::uint64_t, Session> sessions;
    std::uint64_t lockSession = 0; ///< 0: the lock is free
    std::vector<RunningStatement> running;
    std::uint64_t nextTransaction = 1;

    std::vector<FakeBackendOutput> outputs;

    std::uint32_t peakSlots = 0;
    std::uint32_t peakConnections = 0;
    std::uint64_t slotRefusals = 0;
    std::uint64_t connectionRefusals = 0;
    std::uint64_t mixedStatements = 0;

    explicit State(FakeBackendOptions newOptions);

    // Positions.
    [[nodiscard]] std::uint64_t end() const { return this->log.size(); }
    [[nodiscard]] LogPosition at(std::uint64_t position) const;
    [[nodiscard]] std::uint64_t term() const { return this->history.lastTerm(); }

    // Terms.
    [[nodiscard]] bool isSuperseded() const;
    [[nodiscard]] bool isActivePrimary() const { return this->role == BackendRole::Primary && !this->isSuperseded(); }
    [[nodiscard]] std::optional<BackendAnswer> refuseWrite(std::uint64_t expectedTerm) const;
    void leaveRole(TimePoint now);

    // Log.
    void applyNext();
    void applyDue(TimePoint now);
    void truncate(std::uint64_t position);
    void adoptHistory(const TermHistory &other);
    LogPosition commit(TimePoint now, const std::string &key, const std::string &statements, const std::string &value);
    [[nodiscard]] std::optional<BackendAnswer> answerKnownKey(const std::string &key,
                                                              const std::string &statements) const;

    // Replication.
    void sendAppend(const std::string &to, Replica &replica);
    void sendAppends(TimePoint now);
    void handle(TimePoint now, const std::string &from, const ReplicationAppend &append);
    void handle(TimePoint now, const std::string &from, const ReplicationAcknowledge &acknowledge);

    // Barriers.
    [[nodiscard]] std::uint64_t replicasNeeded() const { return this->options.group.size() / 2; }
    [[nodiscard]] bool isAcknowledged(const PendingBarrier &barrier) const;
    [[nodiscard]] std::uint64_t confirmedPosition() const;
    void answerBarriers(TimePoint now);
    void failBarriers(TimePoint now, BackendStatusCode code);

    // Sessions.
    [[nodiscard]] std::string lockHolder() const;
    [[nodiscard]] bool holdsLock(const std::string &instance) const;
    void endSession(std::uint64_t session);
    void endSessions(const std::function<bool(std::uint64_t, const Session &)> &chosen);
    void abortOrphans(const std::function<bool(const std::string &)> &chosen);
    void answer(TimePoint now, std::uint64_t session, std::uint64_t serial, BackendAnswer answer);
    [[nodiscard]] ServerStatus status(TimePoint now) const;

    // Requests.
    BackendAnswer lock(std::uint64_t session, const BackendRequest &request);
    BackendAnswer terminateOthers(std::uint64_t session, const BackendRequest &request);
    BackendAnswer fence(TimePoint now, const BackendRequest &request);
    BackendAnswer promote(TimePoint now, const BackendRequest &request);
    BackendAnswer follow(TimePoint now, const BackendRequest &request);
    BackendAnswer lookUp(const BackendRequest &request) const;
    std::optional<BackendAnswer> barrier(TimePoint now, std::uint64_t session, const BackendRequest &request);
    std::optional<BackendAnswer> control(TimePoint now, std::uint64_t session, const BackendRequest &request);
    std::optional<BackendAnswer> startStatement(TimePoint now, std::uint64_t session, const BackendRequest &request);
    BackendAnswer begin(Session &session, const BackendRequest &request);
    BackendAnswer commitTransaction(TimePoint now, Session &session, const BackendRequest &request);
    std::optional<BackendAnswer> work(TimePoint now, std::uint64_t session, const BackendRequest &request);
    BackendAnswer finishAlone(TimePoint now, const RunningStatement &statement);
    BackendAnswer finishInside(const RunningStatement &statement);
    void finishStatements(TimePoint now);
    void closeSilentControls(TimePoint now);
};

FakeBackend::State::State(FakeBackendOptions newOptions) : options(std::move(newOptions))
{
    assert(std::ranges::count(this->options.group, this->options.name) == 1);
    assert(std::ranges::count(this->options.group, this->options.firstPrimary) == 1);
    assert(this->options.appendBatch > 0);
    this->history.append({.term = 1, .start = 0});
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

LogPosition FakeBackend::State::at(std::uint64_t position) const
{
    LogPosition result{.term = 0, .position = position};
    for (const TermStart &start : this->history.starts()) {
        if (start.start <= position)
            result.term = start.term;
    }
    return result;
}

bool FakeBackend::State::isSuperseded() const
{
    return this->term() < std::max(this->fencedTerm, this->refusedByTerm);
}

/// An answer if a write under \a expectedTerm (0: any) must be refused.
std::optional<BackendAnswer> FakeBackend::State::refuseWrite(std::uint64_t expectedTerm) const
{
    if (this->role != BackendRole::Primary)
        return BackendAnswer{.code = BackendStatusCode::NotPrimary, .text = "the server is a replica"};
    if (this->isSuperseded()) {
        return BackendAnswer{.code = BackendStatusCode::WrongTerm,
                             .text = "term " + std::to_string(this->term()) + " is fenced"};
    }
    if (expectedTerm != 0 && expectedTerm != this->term()) {
        return BackendAnswer{.code = BackendStatusCode::WrongTerm,
                             .text = "the server is in term " + std::to_string(this->term())};
    }
    return std::nullopt;
}

/// Ends what depends on being primary of the present term.
void FakeBackend::State::leaveRole(TimePoint now)
{
    this->failBarriers(now, BackendStatusCode::WrongTerm);
    for (auto &[name, replica] : this->replicas)
        replica = Replica{};
    this->refusedByTerm = 0;
}

void FakeBackend::State::applyNext()
{
    assert(this->applied < this->end());
    for (const std::string_view statement : splitLines(this->log[this->applied].statements))
        runStatement(this->data, statement);
    ++this->applied;
    if (!this->receivedAt.empty())
        this->receivedAt.pop_front();
}

void FakeBackend::State::applyDue(TimePoint now)
{
    while (!this->receivedAt.empty() && this->receivedAt.front() + this->options.applyLag <= now)
        this->applyNext();
}

void FakeBackend::State::truncate(std::uint64_t position)
{
    if (position >= this->end())
        return;
    for (std::uint64_t index = position; index < this->end(); ++index) {
        const auto known = this->keys.find(this->log[index].requestKey);
        if (known != this->keys.end() && known->second == index + 1)
            this->keys.erase(known);
    }
    this->log.resize(position);

    // Entries that were applied cannot be undone one by one, so the data is built again.
    if (this->applied > position) {
        this->data.clear();
        this->applied = 0;
        this->receivedAt.clear();
        while (this->applied < position)
            this->applyNext();
    }
    this->receivedAt.resize(this->end() - this->applied);
}

/// Cuts off what the primary with history \a other does not share.
void FakeBackend::State::adoptHistory(const TermHistory &other)
{
    const std::span<const TermStart> own = this->history.starts();
    const std::span<const TermStart> theirs = other.starts();
    const auto [ownNext, theirNext] = std::ranges::mismatch(own, theirs);

    // The logs differ from the first term on that only one of them has, whichever of the two starts it first.
    std::uint64_t shared = std::numeric_limits<std::uint64_t>::max();
    if (ownNext != own.end())
        shared = std::min(shared, ownNext->start);
    if (theirNext != theirs.end())
        shared = std::min(shared, theirNext->start);
    this->truncate(shared);
}

/// Appends an entry and sends it to the replicas at once.
LogPosition FakeBackend::State::commit(TimePoint now, const std::string &key, const std::string &statements,
                                       const std::string &value)
{
    assert(this->isActivePrimary());
    this->log.push_back({.term = this->term(), .requestKey = key, .statements = statements, .value = value});
    if (!key.empty())
        this->keys.insert_or_assign(key, this->end());
    this->applied = this->end();
    this->sendAppends(now);
    return this->at(this->end());
}

std::optional<BackendAnswer> FakeBackend::State::answerKnownKey(const std::string &key,
                                                                const std::string &statements) const
{
    const auto known = key.empty() ? this->keys.end() : this->keys.find(key);
    if (known == this->keys.end())
        return std::nullopt;
    const Entry &entry = this->log.at(known->second - 1);
    BackendAnswer answer{.value = entry.value, .position = {.term = entry.term, .position = known->second}};
    answer.code = BackendStatusCode::Duplicate;
    if (entry.statements != statements) {
        answer.code = BackendStatusCode::KeyReused;
        answer.value.clear();
        answer.text = "the request key belongs to another statement";
    }
    return answer;
}

void FakeBackend::State::sendAppend(const std::string &to, Replica &replica)
{
    ReplicationAppend append{.term = this->term(),
                             .history = this->history,
                             .heartbeat = ++this->heartbeat,
                             .previous = replica.sent,
                             .entries = {},
                             .promoter = this->fencedBy};
    const std::uint64_t last = std::min<std::uint64_t>(this->end(), replica.sent + this->options.appendBatch);
    append.entries.assign(this->log.begin() + static_cast<std::ptrdiff_t>(replica.sent),
                          this->log.begin() + static_cast<std::ptrdiff_t>(last));
    replica.sent = last;
    replica.messages.push_back({.heartbeat = append.heartbeat, .end = last});
    if (replica.messages.size() > sentMessageLimit)
        replica.messages.pop_front();
    this->outputs.emplace_back(FakeBackendReplication{.to = to, .message = std::move(append)});
}

/// Sends heartbeats with the entries that are new, if the server may still replicate under its term.
void FakeBackend::State::sendAppends(TimePoint now)
{
    this->nextHeartbeat = now + this->options.heartbeatInterval;
    if (!this->isActivePrimary())
        return;
    for (auto &[name, replica] : this->replicas)
        this->sendAppend(name, replica);
}

void FakeBackend::State::handle(TimePoint now, const std::string &from, const ReplicationAppend &append)
{
    const bool ownTerm = this->role == BackendRole::Primary && append.term == this->term();
    if (append.term < this->fencedTerm || ownTerm) {
        ReplicationAcknowledge refusal{.term = this->fencedTerm, .accepted = false, .heartbeat = append.heartbeat};
        refusal.received = this->at(this->end());
        this->outputs.emplace_back(FakeBackendReplication{.to = from, .message = refusal});
        return;
    }

    // A server that has not seen the fence learns of the term here, also one that took itself for the primary.
    if (this->role == BackendRole::Primary) {
        this->role = BackendRole::Replica;
        this->leaveRole(now);
    }
    if (append.term > this->fencedTerm || this->fencedBy.empty())
        this->fencedBy = append.promoter;
    this->fencedTerm = append.term;
    this->primary = from;
    this->primaryHeard = now;
    this->adoptHistory(append.history);

    // Entries after a gap are left out: the acknowledged position tells the primary where to go on.
    if (append.previous <= this->end()) {
        for (std::size_t index = this->end() - append.previous; index < append.entries.size(); ++index) {
            const Entry &entry = append.entries[index];
            this->log.push_back(entry);
            this->receivedAt.push_back(now);
            if (!entry.requestKey.empty())
                this->keys.insert_or_assign(entry.requestKey, this->end());
        }
    }

    // Only terms that start within the stored log belong to its history.
    TermHistory reached;
    for (const TermStart &start : append.history.starts()) {
        if (start.start <= this->end())
            reached.append(start);
    }
    this->history = std::move(reached);
    this->applyDue(now);

    this->outputs.emplace_back(FakeBackendReplication{
        .to = from,
        .message = ReplicationAcknowledge{
            .term = append.term, .accepted = true, .heartbeat = append.heartbeat, .received = this->at(this->end())}});
}

void FakeBackend::State::handle(TimePoint now, const std::string &from, const ReplicationAcknowledge &acknowledge)
{
    if (!acknowledge.accepted) {
        // A replica was fenced: this primary may have been replaced and stops taking writes.
        if (this->role == BackendRole::Primary && acknowledge.term > this->term()) {
            this->refusedByTerm = std::max(this->refusedByTerm, acknowledge.term);
            this->failBarriers(now, BackendStatusCode::WrongTerm);
        }
        return;
    }
    const auto found = this->replicas.find(from);
    if (!this->isActivePrimary() || acknowledge.term != this->term() || found == this->replicas.end())
        return;

    // Within one term a replica's position only grows, so an acknowledgement that comes late changes nothing.
    Replica &replica = found->second;
    replica.acknowledged = true;
    replica.heartbeat = std::max(replica.heartbeat, acknowledge.heartbeat);
    if (acknowledge.received.position >= replica.received.position)
        replica.received = acknowledge.received;

    // A position below the one that the acknowledged message leads to shows that earlier messages were lost.
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
    if (lost || (expected && replica.sent < this->end()))
        this->sendAppend(from, replica);
    this->answerBarriers(now);
}

bool FakeBackend::State::isAcknowledged(const PendingBarrier &barrier) const
{
    const auto count = std::ranges::count_if(this->replicas, [&](const auto &item) {
        const Replica &replica = item.second;
        return replica.acknowledged && replica.heartbeat > barrier.heartbeat
               && replica.received.position >= barrier.position;
    });
    return static_cast<std::uint64_t>(count) >= this->replicasNeeded();
}

/// Highest position that enough replicas have acknowledged under the present term.
std::uint64_t FakeBackend::State::confirmedPosition() const
{
    const std::uint64_t needed = this->replicasNeeded();
    if (needed == 0)
        return this->end();
    std::vector<std::uint64_t> positions;
    for (const auto &[name, replica] : this->replicas)
        positions.push_back(replica.acknowledged ? replica.received.position : 0);
    std::ranges::sort(positions, std::greater{});
    return positions.at(needed - 1);
}

void FakeBackend::State::answerBarriers(TimePoint now)
{
    std::vector<PendingBarrier> rest;
    for (const PendingBarrier &pending : std::exchange(this->barriers, {})) {
        BackendAnswer result{.position = {.term = this->term(), .position = this->confirmedPosition()}};
        if (this->isAcknowledged(pending)) {
            this->answer(now, pending.session, pending.serial, std::move(result));
        } else if (pending.deadline <= now) {
            result.code = BackendStatusCode::BarrierTimeout;
            result.text = "not enough replicas acknowledged in time";
            this->answer(now, pending.session, pending.serial, std::move(result));
        } else {
            rest.push_back(pending);
        }
    }
    this->barriers = std::move(rest);
}

void FakeBackend::State::failBarriers(TimePoint now, BackendStatusCode code)
{
    for (const PendingBarrier &pending : std::exchange(this->barriers, {}))
        this->answer(now, pending.session, pending.serial, {.code = code, .text = "the server's term is over"});
}

std::string FakeBackend::State::lockHolder() const
{
    const auto found = this->sessions.find(this->lockSession);
    return found == this->sessions.end() ? std::string{} : found->second.login.instance;
}

bool FakeBackend::State::holdsLock(const std::string &instance) const
{
    return this->lockSession != 0 && this->lockHolder() == instance;
}

/// Removes a session without a message about it.
void FakeBackend::State::endSession(std::uint64_t session)
{
    if (this->lockSession == session)
        this->lockSession = 0;
    std::erase_if(this->barriers, [&](const PendingBarrier &pending) { return pending.session == session; });
    this->sessions.erase(session);
}

/// Ends sessions from the server's side; their statements are aborted.
void FakeBackend::State::endSessions(const std::function<bool(std::uint64_t, const Session &)> &chosen)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, session] : this->sessions) {
        if (chosen(id, session))
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended) {
        std::erase_if(this->running, [&](const RunningStatement &statement) { return statement.session == id; });
        this->endSession(id);
        this->outputs.emplace_back(FakeBackendClosed{.session = id});
    }
}

/// Aborts statements of instances whose clients closed the session: a new owner must not find them running.
void FakeBackend::State::abortOrphans(const std::function<bool(const std::string &)> &chosen)
{
    std::erase_if(this->running, [&](const RunningStatement &statement) {
        return statement.session == 0 && chosen(statement.instance);
    });
}

void FakeBackend::State::answer(TimePoint now, std::uint64_t session, std::uint64_t serial, BackendAnswer answer)
{
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end())
        return;
    answer.serial = serial;
    if (found->second.login.control)
        answer.status = this->status(now);
    this->outputs.emplace_back(FakeBackendAnswer{.session = session, .answer = std::move(answer)});
}

ServerStatus FakeBackend::State::status(TimePoint now) const
{
    ServerStatus result;
    result.role = this->role;
    result.fencedTerm = this->fencedTerm;
    result.fencedBy = this->fencedBy;
    if (this->role == BackendRole::Primary && this->refusedByTerm > this->fencedTerm) {
        result.fencedTerm = this->refusedByTerm;
        result.fencedBy.clear();
    }
    result.received = this->at(this->end());
    result.applied = this->at(this->applied);
    result.history = this->history;
    if (this->role == BackendRole::Replica) {
        result.primary = this->primary;
        result.primarySilence = now - this->primaryHeard.value_or(now);
    } else {
        for (const auto &[name, replica] : this->replicas) {
            if (replica.acknowledged)
                result.replicas.push_back({.server = name, .received = replica.received});
        }
    }
    result.connections = static_cast<std::uint32_t>(this->sessions.size());
    result.slotsInUse = static_cast<std::uint32_t>(this->running.size());
    result.lockHolder = this->lockHolder();
    return result;
}

/// Lock and PreemptLock.
BackendAnswer FakeBackend::State::lock(std::uint64_t session, const BackendRequest &request)
{
    const std::uint64_t holder = this->lockSession;
    if (holder != 0 && holder != session) {
        const std::string holderName = this->lockHolder();
        if (request.operation == BackendOperation::Lock)
            return {.code = BackendStatusCode::LockHeld, .text = holderName};
        // Other control connections of the holder stay: a promotion that it orders does not depend on the lock.
        this->endSessions([&](std::uint64_t id, const Session &other) {
            return id == holder || (!other.login.control && other.login.instance == holderName);
        });
        this->abortOrphans([&](const std::string &instance) { return instance == holderName; });
    }
    this->lockSession = session;
    return {};
}

BackendAnswer FakeBackend::State::terminateOthers(std::uint64_t session, const BackendRequest &request)
{
    if (this->lockSession != session)
        return {.code = BackendStatusCode::NotLockHolder, .text = "held by: " + this->lockHolder()};
    this->endSessions([&](std::uint64_t, const Session &other) {
        return !other.login.control && other.login.instance != request.instance;
    });
    this->abortOrphans([&](const std::string &instance) { return instance != request.instance; });
    return {};
}

BackendAnswer FakeBackend::State::fence(TimePoint now, const BackendRequest &request)
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
    return {.position = this->at(this->end())};
}

BackendAnswer FakeBackend::State::promote(TimePoint now, const BackendRequest &request)
{
    if (request.term != this->fencedTerm || request.instance != this->fencedBy) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "term " + std::to_string(this->fencedTerm) + " is fenced by " + this->fencedBy};
    }
    if (this->role == BackendRole::Primary && this->term() == request.term)
        return {.position = {.term = request.term, .position = this->termStart}};
    // A term has one primary: entries of this term came from another server.
    if (this->term() >= request.term) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "term " + std::to_string(request.term) + " has another primary: " + this->primary};
    }

    while (this->applied < this->end())
        this->applyNext();
    this->leaveRole(now);
    this->role = BackendRole::Primary;
    this->primary.clear();
    this->termStart = this->end();
    this->history.append({.term = request.term, .start = this->termStart});

    // Replicas are taken to be complete; the first acknowledgement corrects this.
    for (auto &[name, replica] : this->replicas)
        replica.sent = this->end();
    this->sendAppends(now);
    return {.position = {.term = request.term, .position = this->termStart}};
}

BackendAnswer FakeBackend::State::follow(TimePoint now, const BackendRequest &request)
{
    const bool isPrimaryOfTerm = this->role == BackendRole::Primary && this->term() == request.term;
    if (isPrimaryOfTerm && request.primary == this->options.name)
        return {};
    if (request.term < this->fencedTerm || isPrimaryOfTerm) {
        return {.code = BackendStatusCode::WrongTerm,
                .text = "the server accepts term " + std::to_string(this->fencedTerm) + " and newer"};
    }
    if (!this->replicas.contains(request.primary))
        return {.code = BackendStatusCode::StatementError, .text = "not another server of the group"};

    // The tail that the new primary does not share is cut off when its history arrives.
    if (request.term > this->fencedTerm) {
        this->fencedTerm = request.term;
        this->fencedBy.clear();
    }
    if (this->role == BackendRole::Primary)
        this->leaveRole(now);
    this->role = BackendRole::Replica;
    this->primary = request.primary;
    this->primaryHeard = now;
    return {};
}

BackendAnswer FakeBackend::State::lookUp(const BackendRequest &request) const
{
    // Only the primary of the term can tell that a key is absent; without a term the answer is about this log alone.
    if (request.term != 0) {
        if (auto refusal = this->refuseWrite(request.term))
            return *refusal;
    }
    const auto known = this->keys.find(request.requestKey);
    if (known == this->keys.end())
        return {.code = BackendStatusCode::KeyNotFound, .position = this->at(this->end())};
    const Entry &entry = this->log.at(known->second - 1);
    return {.value = entry.value, .position = {.term = entry.term, .position = known->second}};
}

std::optional<BackendAnswer> FakeBackend::State::barrier(TimePoint now, std::uint64_t session,
                                                         const BackendRequest &request)
{
    if (auto refusal = this->refuseWrite(request.term))
        return refusal;

    // A barrier below the start of the term would be acknowledged by a replica that lacks entries of earlier terms.
    this->barriers.push_back({.session = session,
                              .serial = request.serial,
                              .position = std::max(request.position, this->termStart),
                              .heartbeat = this->heartbeat,
                              .deadline = now + request.wait});
    this->sendAppends(now);
    if (this->replicasNeeded() == 0 || request.wait <= Duration{0})
        this->answerBarriers(now);
    return std::nullopt;
}

std::optional<BackendAnswer> FakeBackend::State::control(TimePoint now, std::uint64_t session,
                                                         const BackendRequest &request)
{
    switch (request.operation) {
    case BackendOperation::Status:
        return BackendAnswer{};
    case BackendOperation::Barrier:
        return this->barrier(now, session, request);
    case BackendOperation::Lock:
    case BackendOperation::PreemptLock:
        return this->lock(session, request);
    case BackendOperation::Unlock:
        if (this->lockSession != session)
            return BackendAnswer{.code = BackendStatusCode::NotLockHolder, .text = "held by: " + this->lockHolder()};
        this->lockSession = 0;
        return BackendAnswer{};
    case BackendOperation::TerminateOthers:
        return this->terminateOthers(session, request);
    case BackendOperation::Fence:
        return this->fence(now, request);
    case BackendOperation::Promote:
        return this->promote(now, request);
    case BackendOperation::Follow:
        return this->follow(now, request);
    case BackendOperation::LookupKey:
        return this->lookUp(request);
    default:
        return BackendAnswer{.code = BackendStatusCode::StatementError,
                             .text = "not available on a control connection"};
    }
}

/// Execute and ExecuteInside: takes a slot, or answers why not.
std::optional<BackendAnswer> FakeBackend::State::startStatement(TimePoint now, std::uint64_t sessionId,
                                                                const BackendRequest &request)
{
    Session &session = this->sessions.at(sessionId);
    if (changesData(request.statement) && !request.write) {
        return BackendAnswer{.code = BackendStatusCode::StatementError,
                             .text = "the statement changes data and is not marked as a write"};
    }
    if (request.write) {
        const bool inside = request.operation == BackendOperation::ExecuteInside;
        if (auto refusal = this->refuseWrite(inside ? session.transaction.term : request.term))
            return refusal;
        if (!inside) {
            if (auto known = this->answerKnownKey(request.requestKey, request.statement))
                return known;
        }
    }
    if (this->running.size() >= this->options.slots) {
        ++this->slotRefusals;
        return BackendAnswer{.code = BackendStatusCode::SlotsBusy, .text = "all slots are in use"};
    }
    session.busy = true;
    this->running.push_back({.due = now + this->options.serviceTime,
                             .session = sessionId,
                             .instance = session.login.instance,
                             .request = request,
                             .term = this->term()});
    this->peakSlots = std::max(this->peakSlots, static_cast<std::uint32_t>(this->running.size()));
    return std::nullopt;
}

BackendAnswer FakeBackend::State::begin(Session &session, const BackendRequest &request)
{
    if (request.write || request.term != 0) {
        if (auto refusal = this->refuseWrite(request.term))
            return *refusal;
    }
    session.transaction = Transaction{.number = request.transaction, .term = this->term(), .writes = {}};
    if (session.transaction.number == 0)
        session.transaction.number = this->nextTransaction++;
    return {.position = this->at(this->applied), .transaction = session.transaction.number};
}

/// The transaction is over whatever the answer is.
BackendAnswer FakeBackend::State::commitTransaction(TimePoint now, Session &session, const BackendRequest &request)
{
    const Transaction transaction = std::exchange(session.transaction, {});
    BackendAnswer result{.position = this->at(this->applied), .transaction = transaction.number};
    if (transaction.writes.empty())
        return result;
    if (auto refusal = this->refuseWrite(transaction.term))
        return *refusal;
    const std::string statements = joinLines(transaction.writes);
    if (auto known = this->answerKnownKey(request.requestKey, statements))
        return *known;
    for (const std::string &statement : transaction.writes)
        result.value = runStatement(this->data, statement).value;
    result.position = this->commit(now, request.requestKey, statements, result.value);
    return result;
}

std::optional<BackendAnswer> FakeBackend::State::work(TimePoint now, std::uint64_t sessionId,
                                                      const BackendRequest &request)
{
    Session &session = this->sessions.at(sessionId);
    const bool open = session.transaction.number != 0;
    if (open && request.operation != BackendOperation::Status && request.transaction != session.transaction.number)
        ++this->mixedStatements;
    if (!this->holdsLock(session.login.instance))
        return BackendAnswer{.code = BackendStatusCode::NotLockHolder, .text = "held by: " + this->lockHolder()};
    if (session.busy)
        return BackendAnswer{.code = BackendStatusCode::SlotsBusy, .text = "a statement of the session still runs"};

    switch (request.operation) {
    case BackendOperation::Status:
        return BackendAnswer{};
    case BackendOperation::Execute:
        if (open)
            return BackendAnswer{.code = BackendStatusCode::TransactionOpen, .text = "a transaction is open"};
        return this->startStatement(now, sessionId, request);
    case BackendOperation::Begin:
        if (open)
            return BackendAnswer{.code = BackendStatusCode::TransactionOpen, .text = "a transaction is open"};
        return this->begin(session, request);
    case BackendOperation::ExecuteInside:
    case BackendOperation::Commit:
    case BackendOperation::Rollback:
        if (!open || request.transaction != session.transaction.number)
            return BackendAnswer{.code = BackendStatusCode::NoTransaction, .text = "no such transaction is open"};
        if (request.operation == BackendOperation::ExecuteInside)
            return this->startStatement(now, sessionId, request);
        if (request.operation == BackendOperation::Commit)
            return this->commitTransaction(now, session, request);
        session.transaction = {};
        return BackendAnswer{.transaction = request.transaction};
    case BackendOperation::LookupKey:
        return this->lookUp(request);
    default:
        return BackendAnswer{.code = BackendStatusCode::StatementError, .text = "not available on a work connection"};
    }
}

BackendAnswer FakeBackend::State::finishAlone(TimePoint now, const RunningStatement &statement)
{
    const BackendRequest &request = statement.request;
    if (!request.write) {
        StatementResult result = runStatement(this->data, request.statement);
        return {.code = result.ok ? BackendStatusCode::Ok : BackendStatusCode::StatementError,
                .value = std::move(result.value),
                .text = std::move(result.error),
                .position = this->at(this->applied)};
    }

    // The term may have ended and the key may have been used while the statement was in its slot.
    if (auto refusal = this->refuseWrite(statement.term))
        return *refusal;
    if (auto known = this->answerKnownKey(request.requestKey, request.statement))
        return *known;
    StatementResult result = runStatement(this->data, request.statement);
    if (!result.ok)
        return {.code = BackendStatusCode::StatementError, .text = std::move(result.error)};
    const LogPosition position = this->commit(now, request.requestKey, request.statement, result.value);
    return {.value = std::move(result.value), .position = position};
}

BackendAnswer FakeBackend::State::finishInside(const RunningStatement &statement)
{
    const BackendRequest &request = statement.request;
    Transaction &transaction = this->sessions.at(statement.session).transaction;
    if (request.write) {
        if (auto refusal = this->refuseWrite(transaction.term))
            return *refusal;
    }

    // The statement sees the transaction's own writes; the shared data is left as it is until Commit.
    Data view;
    for (const std::string &write : transaction.writes) {
        const std::string_view key = splitStatement(write).key;
        if (const auto found = this->data.find(key); found != this->data.end())
            view.insert(*found);
    }
    if (const auto found = this->data.find(splitStatement(request.statement).key); found != this->data.end())
        view.insert(*found);
    for (const std::string &write : transaction.writes)
        runStatement(view, write);
    StatementResult result = runStatement(view, request.statement);
    if (result.ok && request.write)
        transaction.writes.push_back(request.statement);
    return {.code = result.ok ? BackendStatusCode::Ok : BackendStatusCode::StatementError,
            .value = std::move(result.value),
            .text = std::move(result.error),
            .position = this->at(this->applied),
            .transaction = transaction.number};
}

void FakeBackend::State::finishStatements(TimePoint now)
{
    while (!this->running.empty()) {
        const auto first = std::ranges::min_element(this->running, {}, &RunningStatement::due);
        if (first->due > now)
            return;
        const RunningStatement statement = std::move(*first);
        this->running.erase(first);
        const bool inside = statement.request.operation == BackendOperation::ExecuteInside;
        BackendAnswer result = inside ? this->finishInside(statement) : this->finishAlone(now, statement);
        if (statement.session != 0) {
            this->sessions.at(statement.session).busy = false;
            this->answer(now, statement.session, statement.request.serial, std::move(result));
        }
    }
}

void FakeBackend::State::closeSilentControls(TimePoint now)
{
    this->endSessions([&](std::uint64_t, const Session &session) {
        return session.login.control && session.lastRequest + this->options.lockTimeout <= now;
    });
}

FakeBackend::FakeBackend(FakeBackendOptions options) : state(std::make_unique<State>(std::move(options)))
{
}

FakeBackend::~FakeBackend() = default;
FakeBackend::FakeBackend(FakeBackend &&) noexcept = default;
FakeBackend &FakeBackend::operator=(FakeBackend &&) noexcept = default;

bool FakeBackend::open(TimePoint now, std::uint64_t session, const BackendLogin &login)
{
    assert(session != 0 && !this->state->sessions.contains(session));
    this->advance(now);
    if (this->state->sessions.size() >= this->state->options.connectionLimit) {
        ++this->state->connectionRefusals;
        return false;
    }
    if (!login.control && !this->state->holdsLock(login.instance))
        return false;
    this->state->sessions.emplace(session, Session{.login = login, .lastRequest = now, .transaction = {}});
    this->state->peakConnections =
        std::max(this->state->peakConnections, static_cast<std::uint32_t>(this->state->sessions.size()));
    return true;
}

void FakeBackend::close(TimePoint now, std::uint64_t session)
{
    this->advance(now);
    // A statement on its own runs to its end without its client; one inside a transaction is rolled back with it.
    std::erase_if(this->state->running, [&](const RunningStatement &statement) {
        return statement.session == session && statement.request.operation == BackendOperation::ExecuteInside;
    });
    for (RunningStatement &statement : this->state->running) {
        if (statement.session == session)
            statement.session = 0;
    }
    this->state->endSession(session);
}

void FakeBackend::request(TimePoint now, std::uint64_t session, const BackendRequest &request)
{
    this->advance(now);
    const auto found = this->state->sessions.find(session);
    if (found == this->state->sessions.end())
        return;
    found->second.lastRequest = now;
    BackendRequest named = request;
    if (named.instance.empty())
        named.instance = found->second.login.instance;
    std::optional<BackendAnswer> answer = found->second.login.control ? this->state->control(now, session, named)
                                                                      : this->state->work(now, session, named);
    if (answer)
        this->state->answer(now, session, request.serial, *std::move(answer));
}

void FakeBackend::replicate(TimePoint now, const std::string &from, const ReplicationMessage &message)
{
    this->advance(now);
    std::visit([&](const auto &content) { this->state->handle(now, from, content); }, message);
}

void FakeBackend::advance(TimePoint now)
{
    // A replica counts the silence of its primary from the first call on.
    if (!this->state->primaryHeard)
        this->state->primaryHeard = now;
    this->state->applyDue(now);
    this->state->finishStatements(now);
    if (this->state->isActivePrimary() && this->state->nextHeartbeat <= now)
        this->state->sendAppends(now);
    this->state->answerBarriers(now);
    this->state->closeSilentControls(now);
}

TimePoint FakeBackend::nextEvent() const
{
    TimePoint next = TimePoint::max();
    for (const RunningStatement &statement : this->state->running)
        next = std::min(next, statement.due);
    if (!this->state->receivedAt.empty())
        next = std::min(next, this->state->receivedAt.front() + this->state->options.applyLag);
    if (this->state->isActivePrimary())
        next = std::min(next, this->state->nextHeartbeat);
    for (const PendingBarrier &pending : this->state->barriers)
        next = std::min(next, pending.deadline);
    for (const auto &[id, session] : this->state->sessions) {
        if (session.login.control)
            next = std::min(next, session.lastRequest + this->state->options.lockTimeout);
    }
    return next;
}

std::vector<FakeBackendOutput> FakeBackend::takeOutputs()
{
    return std::exchange(this->state->outputs, {});
}

ServerStatus FakeBackend::status(TimePoint now) const
{
    return this->state->status(now);
}

void FakeBackend::setApplyLag(Duration lag)
{
    this->state->options.applyLag = lag;
}

std::vector<ReplicationAppend::Entry> FakeBackend::log() const
{
    return this->state->log;
}

std::uint32_t FakeBackend::peakSlots() const
{
    return this->state->peakSlots;
}

std::uint32_t FakeBackend::peakConnections() const
{
    return this->state->peakConnections;
}

std::uint64_t FakeBackend::slotRefusals() const
{
    return this->state->slotRefusals;
}

std::uint64_t FakeBackend::connectionRefusals() const
{
    return this->state->connectionRefusals;
}

std::uint64_t FakeBackend::mixedStatements() const
{
    return this->state->mixedStatements;
}

} // namespace Jujubekeel

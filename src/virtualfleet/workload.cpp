#include "virtualfleet/workload.h"

#include <cassert>
#include <utility>

namespace Jujubekeel {

namespace {

// Shares of the reads, in percent. The remaining reads have no accepted age.
constexpr std::uint32_t agedReadPercent = 45;
constexpr std::uint32_t shortAgedReadPercent = 20;
constexpr std::uint32_t ownReadPercent = 70;       // reads of the session's own list
constexpr std::uint32_t noRepeatWritePercent = 60; // writes that a no-repeat rule covers
constexpr std::uint32_t rollbackPercent = 15;
// How a session moves to another proxy, in percent. The others keep their token.
constexpr std::uint32_t idOnlyPercent = 25;
constexpr std::uint32_t newSessionPercent = 15;
constexpr std::uint32_t maxTransactionStatements = 3;

} // namespace

Workload::Workload(VirtualFleet &drivenFleet, const UserProfile &userProfile, WorkloadOptions workloadOptions)
    : fleet(drivenFleet), profile(userProfile), options(workloadOptions), random(workloadOptions.seed)
{
    assert(this->options.requestsPerSecond > 0);
    for (std::uint32_t count = 0; count < this->options.sessions; ++count)
        this->idle.push_back(this->addSession());
}

void Workload::start()
{
    this->fleet.setCallerHandler([this](const CallerEvent &event) { this->handle(event); });
    this->fleet.schedule(this->options.start, [this] { this->scheduleArrival(); });
}

std::uint32_t Workload::addSession()
{
    const auto index = static_cast<std::uint32_t>(this->sessions.size());
    const auto databases = static_cast<std::uint32_t>(this->profile.layout.databases.size());
    this->sessions.push_back(
        Session{.number = this->nextNumber++,
                .database = index % databases,
                .proxy = static_cast<std::uint32_t>(this->random.below(this->profile.layout.instances.size())),
                .key = "k" + std::to_string(index),
                .id = {},
                .token = {},
                .transaction = {}});
    return index;
}

void Workload::scheduleArrival()
{
    if (this->fleet.now() >= this->options.start + this->options.duration)
        return;
    if (this->idle.empty())
        this->idle.push_back(this->addSession());
    std::swap(this->idle[this->random.below(this->idle.size())], this->idle.back());
    const std::uint32_t session = this->idle.back();
    this->idle.pop_back();
    this->beginWork(session);

    // Intervals between arrivals are evenly distributed around the mean.
    const std::uint64_t mean = std::uint64_t{1000000} / this->options.requestsPerSecond;
    const auto distance = Duration(static_cast<Duration::rep>(1 + this->random.below(2 * mean)));
    this->fleet.schedule(this->fleet.now() + distance, [this] { this->scheduleArrival(); });
}

void Workload::move(Session &session)
{
    if (!this->random.chance(this->options.movePercent))
        return;
    session.proxy = static_cast<std::uint32_t>(this->random.below(this->profile.layout.instances.size()));
    if (!session.transaction.empty())
        return;
    const std::uint64_t moveKind = this->random.below(100);
    if (moveKind < idOnlyPercent) {
        session.token.clear();
    } else if (moveKind < idOnlyPercent + newSessionPercent) {
        session.token.clear();
        session.id.clear();
        session.number = this->nextNumber++;
    }
}

std::string Workload::appendStatement(Session &session)
{
    session.values += 1;
    return "append " + session.key + " " + session.key + "." + std::to_string(session.values);
}

void Workload::beginWork(std::uint32_t index)
{
    Session &session = this->sessions[index];
    session.work = this->nextWork++;
    session.retries = 0;
    this->move(session);

    if (this->random.chance(this->options.transactionPercent)) {
        session.statementsLeft = 1 + static_cast<std::uint32_t>(this->random.below(maxTransactionStatements));
        this->send(index, RequestKind::Begin, this->profile.plainWrite, "");
        return;
    }
    if (this->random.chance(this->profile.writePercent)) {
        const bool hasNoRepeatRule = this->random.chance(noRepeatWritePercent);
        const std::string statement = this->appendStatement(session);
        this->send(index, RequestKind::Write, hasNoRepeatRule ? this->profile.noRepeatWrite : this->profile.plainWrite,
                   statement);
        return;
    }

    // Sessions are assigned to databases in turn, so sessions of the same database are a multiple of the number of
    // databases apart.
    const std::uint64_t databases = this->profile.layout.databases.size();
    std::string key = session.key;
    if (!this->random.chance(ownReadPercent)) {
        const std::uint64_t count = (this->sessions.size() - 1 - session.database) / databases + 1;
        key = this->sessions[session.database + this->random.below(count) * databases].key;
    }
    const std::uint64_t kind = this->random.below(100);
    const std::string &operation = kind < agedReadPercent                          ? this->profile.agedRead
                                   : kind < agedReadPercent + shortAgedReadPercent ? this->profile.shortAgedRead
                                                                                   : this->profile.plainRead;
    this->send(index, RequestKind::Read, operation, "get " + key);
}

void Workload::continueTransaction(std::uint32_t index)
{
    Session &session = this->sessions[index];
    this->move(session);
    if (session.statementsLeft == 0) {
        const bool isRollback = this->random.chance(rollbackPercent);
        this->send(index, isRollback ? RequestKind::Rollback : RequestKind::Commit, this->profile.plainWrite, "");
        return;
    }
    session.statementsLeft -= 1;
    if (this->random.chance(ownReadPercent)) {
        const std::string statement = this->appendStatement(session);
        this->send(index, RequestKind::Write, this->profile.plainWrite, statement);
    } else {
        this->send(index, RequestKind::Read, this->profile.plainRead, "get " + session.key);
    }
}

void Workload::send(std::uint32_t index, RequestKind kind, const std::string &operation, const std::string &statement)
{
    const Session &session = this->sessions[index];
    HistoryRequest request;
    request.request.database = this->profile.layout.databases[session.database].name;
    request.request.caller = "caller-" + std::to_string(index % 10);
    request.request.operation = operation;
    request.request.kind = kind;
    request.request.statement = statement;
    request.request.transaction = session.transaction;
    request.request.timeout = this->options.timeout;
    request.work = session.work;
    request.notRepeatable = operation == this->profile.noRepeatWrite;
    const bool isKeyed = kind == RequestKind::Commit || (kind == RequestKind::Write && session.transaction.empty());
    if (isKeyed && this->random.chance(this->options.keyPercent))
        request.request.requestKey = "key-" + std::to_string(session.work);
    if (kind == RequestKind::Read && session.transaction.empty()) {
        if (operation == this->profile.agedRead)
            request.acceptedAge = this->profile.acceptedAge;
        else if (operation == this->profile.shortAgedRead)
            request.acceptedAge = this->profile.shortAcceptedAge;
    }
    this->dispatch(index, std::move(request));
}

void Workload::dispatch(std::uint32_t index, HistoryRequest request)
{
    const Session &session = this->sessions[index];
    request.session = session.number;
    request.proxy = session.proxy;
    request.sentAt = this->fleet.now();
    request.request.ticket = this->record.requests.size() + 1;
    request.request.id = "r" + std::to_string(request.request.ticket);
    request.request.session = session.id;
    request.request.token = session.token;
    request.keepsSession = !session.id.empty();
    const std::uint64_t ticket = request.request.ticket;
    this->counts.sent += 1;
    this->record.requests.push_back(request);
    this->sessionOf.push_back(index);
    this->fleet.send(session.proxy, request.request);
    this->fleet.schedule(this->fleet.now() + this->options.timeout + this->options.timeoutGrace,
                         [this, ticket] { this->timeOut(ticket); });
}

void Workload::timeOut(std::uint64_t ticket)
{
    HistoryRequest &request = this->record.requests[ticket - 1];
    if (request.outcome != CallerOutcome::Waiting)
        return;
    request.outcome = CallerOutcome::TimedOut;
    request.endedAt = this->fleet.now();
    this->fleet.abandon(ticket);
    this->finish(request);
}

void Workload::handle(const CallerEvent &event)
{
    assert(event.ticket >= 1 && event.ticket <= this->record.requests.size());
    HistoryRequest &request = this->record.requests[event.ticket - 1];
    if (request.outcome == CallerOutcome::TimedOut)
        return; // the caller has closed the connection
    if (event.outcome == CallerOutcome::Answered) {
        request.answers.push_back(event.answer);
        if (event.answer.decision.rulesVersion != 0 && this->fleet.isProxyUp(request.proxy)) {
            this->record.ruleUses.push_back(HistoryRuleUse{.proxy = request.proxy,
                                                           .incarnation = this->fleet.incarnation(request.proxy),
                                                           .version = event.answer.decision.rulesVersion,
                                                           .requestAt = request.sentAt,
                                                           .seenAt = this->fleet.now()});
        }
    }
    if (request.outcome != CallerOutcome::Waiting)
        return;
    request.outcome = event.outcome;
    request.endedAt = this->fleet.now();
    this->finish(request);
}

void Workload::finish(HistoryRequest request)
{
    const std::uint32_t index = this->sessionOf[request.request.ticket - 1];
    Session &session = this->sessions[index];
    const CallerAnswer *answer = request.outcome == CallerOutcome::Answered ? &request.answers.front() : nullptr;
    const bool isOk = answer != nullptr && answer->code == ResultCode::Ok;
    const RequestKind kind = request.request.kind;
    const bool isInTransaction = !request.request.transaction.empty();

    // Update the statistics.
    if (answer != nullptr)
        this->counts.codes[answer->code] += 1;
    if (isOk) {
        this->counts.ok += 1;
        if (!isInTransaction && (kind == RequestKind::Read || kind == RequestKind::Write))
            this->counts.latencies.push_back(request.endedAt - request.sentAt);
        if (kind == RequestKind::Write && !isInTransaction)
            this->counts.writeTimes[request.request.database].push_back(request.endedAt);
        // A session that is continued by its id without its token has no position mark, so its read goes to the
        // primary.
        const bool keepsMark = !request.request.token.empty() || request.request.session.empty();
        if (request.acceptedAge >= Duration{0} && keepsMark) {
            this->counts.agedReads += 1;
            this->counts.agedReadsAtReplicas += answer->fromReplica ? 1 : 0;
        }
    }

    // Continue the session with the id and token of the answer.
    if (answer != nullptr) {
        if (!answer->session.empty())
            session.id = answer->session;
        if (!answer->token.empty())
            session.token = answer->token;
        if (answer->code == ResultCode::MarkNotSurvived) {
            session.id.clear();
            session.token.clear();
            session.number = this->nextNumber++;
        }
    }

    // Nothing was sent, so the caller retries the request of its transaction at another proxy.
    if (isInTransaction && request.outcome == CallerOutcome::ConnectRefused
        && session.retries < this->options.retryLimit) {
        session.retries += 1;
        this->fleet.schedule(this->fleet.now() + this->options.retryDelay,
                             [this, index, request] { this->retry(index, request); });
        return;
    }

    if (kind == RequestKind::Begin || isInTransaction) {
        const bool endsTransaction = kind == RequestKind::Commit || kind == RequestKind::Rollback;
        if (kind == RequestKind::Begin && isOk)
            session.transaction = answer->transaction;
        if (isOk && !endsTransaction) {
            this->fleet.schedule(this->fleet.now(), [this, index] { this->continueTransaction(index); });
            return;
        }
        // The caller rolls back after a failed statement, at another proxy if its own did not answer: an open
        // transaction occupies its connection and delays handovers.
        if (!endsTransaction && isInTransaction) {
            if (answer == nullptr)
                session.proxy = this->otherProxy(session.proxy);
            this->send(index, RequestKind::Rollback, this->profile.plainWrite, "");
            return;
        }
        session.transaction.clear();
    } else if (kind == RequestKind::Write && !request.request.requestKey.empty() && !isOk) {
        const bool isOutcomeUnknown = answer == nullptr || resultCodeInfo(answer->code).execution == Execution::Unknown;
        if (isOutcomeUnknown && session.retries < this->options.retryLimit) {
            session.retries += 1;
            this->fleet.schedule(this->fleet.now() + this->options.retryDelay,
                                 [this, index, request] { this->retry(index, request); });
            return;
        }
    }
    this->idle.push_back(index);
}

std::uint32_t Workload::otherProxy(std::uint32_t proxy)
{
    const auto count = static_cast<std::uint32_t>(this->profile.layout.instances.size());
    return (proxy + 1 + static_cast<std::uint32_t>(this->random.below(count - 1))) % count;
}

void Workload::retry(std::uint32_t index, const HistoryRequest &request)
{
    // Retry through another proxy, with the same key and statement.
    Session &session = this->sessions[index];
    session.proxy = this->otherProxy(session.proxy);
    HistoryRequest attempt = request;
    attempt.answers.clear();
    attempt.outcome = CallerOutcome::Waiting;
    attempt.endedAt = TimePoint{0};
    this->dispatch(index, std::move(attempt));
}

} // namespace Jujubekeel

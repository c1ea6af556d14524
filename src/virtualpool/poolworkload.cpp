#include "virtualpool/poolworkload.h"

#include "virtualpool/organisationshares.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

namespace {

/// Time after which a caller closes its session if the operation has not ended.
constexpr Duration operationTimeout = std::chrono::seconds(6);
/// Random numbers are drawn as integers below this one.
constexpr std::uint64_t resolution = 1'000'000;

bool isNotRunCode(OutcomeCode code)
{
    switch (code) {
    case OutcomeCode::Busy:
    case OutcomeCode::Aborted:
    case OutcomeCode::Lagging:
    case OutcomeCode::ReadOnly:
    case OutcomeCode::Misrouted:
    case OutcomeCode::Overload:
        return true;
    default:
        return false;
    }
}

} // namespace

PoolWorkload::PoolWorkload(VirtualPool &virtualPool, PoolWorkloadOptions workloadOptions)
    : pool(virtualPool), options(workloadOptions), random(workloadOptions.seed * 7919 + 1),
      shares(organisationShares(virtualPool.organisationCount())), callers(workloadOptions.callers),
      serials(workloadOptions.callers, 0)
{
    if (this->options.instances == 0)
        this->options.instances = static_cast<std::uint32_t>(this->pool.instanceCount());
    this->pool.setOnReply([this](VirtualPool::CallerId session, const CallerReply &reply) {
        this->pool.at(Duration{0}, [this, session, reply] { this->received(session, reply); });
    });
}

void PoolWorkload::start(TimePoint end)
{
    this->endAt = end;
    for (std::size_t index = 0; index < this->callers.size(); ++index)
        this->scheduleNext(index);
}

void PoolWorkload::scheduleNext(std::size_t index)
{
    const auto span = static_cast<std::uint64_t>(this->options.think.count()) * 2 + 1;
    this->pool.at(Duration(static_cast<std::int64_t>(this->random.below(span))), [this, index] { this->begin(index); });
}

Statement PoolWorkload::makeStatement(StatementKind kind)
{
    Statement statement{.kind = kind, .id = "s" + std::to_string(this->nextId++)};
    switch (kind) {
    case StatementKind::Read:
        statement.text = "READ 1a4";
        break;
    case StatementKind::Write:
        statement.text = "WRITE 1a4 data";
        break;
    case StatementKind::Commit:
        statement.text = "COMMIT";
        break;
    default:
        break;
    }
    return statement;
}

std::optional<std::size_t> PoolWorkload::drawOrganisation()
{
    if (this->shares.empty())
        return std::nullopt;
    double rest = static_cast<double>(this->random.below(resolution)) / resolution;
    std::size_t organisation = 0;
    while (organisation + 1 < this->shares.size() && rest >= this->shares[organisation])
        rest -= this->shares[organisation++];
    return organisation;
}

void PoolWorkload::begin(std::size_t index)
{
    if (this->pool.now() >= this->endAt)
        return;
    Caller &caller = this->callers[index];
    if (!caller.session || this->pool.caller(*caller.session).closed) {
        // Open a session at a random instance, as a load balancer would. Retry elsewhere if it does not accept callers.
        static constexpr const char *routes[] = {VirtualPool::primaryRoute, VirtualPool::boundedRoute,
                                                 VirtualPool::ownRoute};
        caller.database = routes[this->random.below(3)];
        caller.organisation = this->drawOrganisation();
        caller.commitAckedAt.reset();
        caller.value.clear();
        caller.session.reset();
        const auto key =
            caller.organisation ? std::optional(VirtualPool::organisationKey(*caller.organisation)) : std::nullopt;
        for (int attempt = 0; attempt < 3 && !caller.session; ++attempt)
            caller.session = this->pool.openCaller(this->random.below(this->options.instances), caller.database, key);
        if (!caller.session) {
            this->scheduleNext(index);
            return;
        }
        this->callerBySession[*caller.session] = index;
    }

    PoolOperation operation{.database = caller.database,
                            .organisation = caller.organisation,
                            .startedAt = this->pool.now(),
                            .session = *caller.session};
    operation.priorCommitAckedAt = caller.commitAckedAt;
    caller.pending.clear();
    if (caller.value.empty() || this->random.chance(5)) {
        caller.value = "v" + std::to_string(this->nextId);
        Statement set = this->makeStatement(StatementKind::SetValue);
        set.name = "who";
        set.argument = caller.value;
        caller.pending.push_back(set);
    }
    const bool mayWrite = caller.database != VirtualPool::boundedRoute;
    operation.transaction = this->random.chance(30);
    operation.readOnly = operation.transaction && (!mayWrite || this->random.chance(30));
    const bool writes = mayWrite && !operation.readOnly && this->random.chance(50);
    if (operation.transaction) {
        caller.pending.push_back(
            this->makeStatement(operation.readOnly ? StatementKind::BeginReadOnly : StatementKind::Begin));
        const std::uint64_t count = 1 + this->random.below(3);
        for (std::uint64_t step = 0; step < count; ++step)
            caller.pending.push_back(
                this->makeStatement(writes && step % 2 == 0 ? StatementKind::Write : StatementKind::Read));
        caller.pending.push_back(
            this->makeStatement(this->random.chance(90) ? StatementKind::Commit : StatementKind::Rollback));
    } else {
        caller.pending.push_back(this->makeStatement(writes ? StatementKind::Write : StatementKind::Read));
    }
    caller.operation = std::move(operation);
    caller.busy = true;
    this->checkForTimeout(index, ++this->serials[index]);
    this->sendNext(index);
}

void PoolWorkload::sendNext(std::size_t index)
{
    Caller &caller = this->callers[index];
    caller.current = caller.pending.front();
    caller.pending.erase(caller.pending.begin());
    PoolOperation &operation = caller.operation;
    operation.statements.push_back(caller.current.id);
    if (caller.current.kind == StatementKind::Write)
        operation.writes.push_back(caller.current.id);
    if (caller.current.kind == StatementKind::Commit
        || (caller.current.kind == StatementKind::Write && !operation.transaction))
        operation.commit = caller.current.id;
    this->pool.send(*caller.session, caller.current);
}

void PoolWorkload::received(VirtualPool::CallerId session, const CallerReply &reply)
{
    const auto found = this->callerBySession.find(session);
    if (found == this->callerBySession.end() || this->callers[found->second].session != session
        || !this->callers[found->second].busy) {
        this->mismatched.push_back("a reply to a session that awaits none");
        return;
    }
    const std::size_t index = found->second;
    Caller &caller = this->callers[index];
    if (reply.error) {
        this->finish(index, reply);
        return;
    }
    this->checkRows(caller, reply);
    if (caller.current.kind == StatementKind::Read)
        caller.operation.reads.push_back(caller.current.id);
    if (caller.pending.empty())
        this->finish(index, reply);
    else
        this->sendNext(index);
}

void PoolWorkload::checkRows(const Caller &caller, const CallerReply &reply)
{
    const bool ownAnswer = caller.current.kind == StatementKind::Read || caller.current.kind == StatementKind::Write
                           || caller.current.kind == StatementKind::Commit;
    if (ownAnswer && !reply.digest.ends_with(":" + caller.current.id))
        this->mismatched.push_back("statement " + caller.current.id + " got the digest " + reply.digest);
    if (caller.current.kind == StatementKind::Read
        && reply.rows != std::vector<std::string>{"who=" + caller.value + ";"})
        this->mismatched.push_back("statement " + caller.current.id + " ran with the values of another session");
}

void PoolWorkload::finish(std::size_t index, const CallerReply &reply)
{
    Caller &caller = this->callers[index];
    PoolOperation &operation = caller.operation;
    operation.endedAt = this->pool.now();
    operation.answered = !reply.error;
    if (reply.error) {
        operation.error = reply.error->code;
        operation.reportedNotRun = isNotRunCode(reply.error->code);
    }
    operation.acknowledged =
        operation.answered && !operation.writes.empty() && caller.current.kind != StatementKind::Rollback;
    if (operation.acknowledged)
        caller.commitAckedAt = this->pool.now();
    this->finished.push_back(operation);
    caller.busy = false;
    if (reply.state != SessionState::Idle) {
        // The transaction is still open or has failed: the caller closes the session, as the users' callers do.
        this->pool.closeCaller(*caller.session);
        caller.session.reset();
    }
    this->scheduleNext(index);
}

void PoolWorkload::checkForTimeout(std::size_t index, std::uint64_t serial)
{
    // After a lost connection or a timeout the outcome is unknown, so the operation ends without answer and error.
    this->pool.at(std::chrono::milliseconds(50), [this, index, serial] {
        Caller &caller = this->callers[index];
        if (!caller.busy || this->serials[index] != serial)
            return;
        const bool lost = this->pool.caller(*caller.session).closed;
        if (!lost && this->pool.now() - caller.operation.startedAt < operationTimeout) {
            this->checkForTimeout(index, serial);
            return;
        }
        this->pool.closeCaller(*caller.session);
        caller.session.reset();
        caller.busy = false;
        caller.operation.endedAt = this->pool.now();
        this->finished.push_back(caller.operation);
        this->scheduleNext(index);
    });
}

std::size_t PoolWorkload::unanswered() const
{
    return static_cast<std::size_t>(std::count_if(this->finished.begin(), this->finished.end(),
                                                  [](const auto &entry) { return !entry.answered && !entry.error; }));
}

Duration PoolWorkload::longestWriteGap(TimePoint from, TimePoint to) const
{
    std::vector<TimePoint> times{from, to};
    for (const PoolOperation &operation : this->finished) {
        if (operation.acknowledged && operation.endedAt > from)
            times.push_back(operation.endedAt);
    }
    std::sort(times.begin(), times.end());
    Duration gap{0};
    for (std::size_t index = 1; index < times.size(); ++index)
        gap = std::max(gap, times[index] - times[index - 1]);
    return gap;
}

} // namespace Jujubekeel

#include "fakes/fakesessions.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Jujubekeel {

FakeSessions::FakeSessions(const FakeBackendOptions &newOptions, std::vector<FakeBackendOutput> &newOutputs)
    : options(newOptions), outputs(newOutputs)
{
}

bool FakeSessions::open(TimePoint now, std::uint64_t session, const BackendLogin &login)
{
    assert(session != 0 && !this->sessions.contains(session));
    if (this->sessions.size() >= this->options.connectionLimit) {
        ++this->refusals;
        return false;
    }
    if (!login.control && !this->holdsLock(login.instance))
        return false;
    this->sessions.emplace(session, Session{.login = login, .lastRequest = now, .transaction = {}});
    this->peak = std::max(this->peak, this->count());
    return true;
}

void FakeSessions::close(std::uint64_t session)
{
    // A standalone statement finishes without its client; one inside a transaction is rolled back with it.
    std::erase_if(this->running, [&](const RunningStatement &statement) {
        return statement.session == session && statement.request.operation == BackendOperation::ExecuteInside;
    });
    for (RunningStatement &statement : this->running) {
        if (statement.session == session)
            statement.session = 0;
    }
    this->endSession(session);
}

FakeSessions::Session *FakeSessions::find(std::uint64_t session)
{
    const auto found = this->sessions.find(session);
    return found == this->sessions.end() ? nullptr : &found->second;
}

std::string FakeSessions::lockHolder() const
{
    const auto found = this->sessions.find(this->lockSession);
    return found == this->sessions.end() ? std::string{} : found->second.login.instance;
}

bool FakeSessions::holdsLock(const std::string &instance) const
{
    return this->lockSession != 0 && this->lockHolder() == instance;
}

BackendAnswer FakeSessions::lock(std::uint64_t session, const BackendRequest &request)
{
    const std::uint64_t holder = this->lockSession;
    if (holder != 0 && holder != session) {
        const std::string holderName = this->lockHolder();
        if (request.operation == BackendOperation::Lock)
            return {.code = BackendStatusCode::LockHeld, .text = holderName};
        // Other control connections of the holder stay open: a promotion by it does not depend on the lock.
        this->endSessions([&](std::uint64_t id, const Session &other) {
            return id == holder || (!other.login.control && other.login.instance == holderName);
        });
        this->abortOrphanedStatements([&](const std::string &instance) { return instance == holderName; });
    }
    this->lockSession = session;
    return {};
}

BackendAnswer FakeSessions::unlock(std::uint64_t session)
{
    if (this->lockSession != session)
        return {.code = BackendStatusCode::NotLockHolder, .text = "held by: " + this->lockHolder()};
    this->lockSession = 0;
    return {};
}

BackendAnswer FakeSessions::terminateOthers(std::uint64_t session, const BackendRequest &request)
{
    if (this->lockSession != session)
        return {.code = BackendStatusCode::NotLockHolder, .text = "held by: " + this->lockHolder()};
    this->endSessions([&](std::uint64_t, const Session &other) {
        return !other.login.control && other.login.instance != request.instance;
    });
    this->abortOrphanedStatements([&](const std::string &instance) { return instance != request.instance; });
    return {};
}

void FakeSessions::closeTimedOutControlSessions(TimePoint now)
{
    this->endSessions([&](std::uint64_t, const Session &session) {
        return session.login.control && session.lastRequest + this->options.lockTimeout <= now;
    });
}

void FakeSessions::start(RunningStatement statement)
{
    this->running.push_back(std::move(statement));
}

std::optional<FakeSessions::RunningStatement> FakeSessions::takeFinished(TimePoint now)
{
    const auto first = std::ranges::min_element(this->running, {}, &RunningStatement::due);
    if (first == this->running.end() || first->due > now)
        return std::nullopt;
    RunningStatement statement = std::move(*first);
    this->running.erase(first);
    return statement;
}

std::vector<FakeSessions::PendingBarrier> FakeSessions::takeBarriers()
{
    return std::exchange(this->barriers, {});
}

void FakeSessions::addBarrier(const PendingBarrier &barrier)
{
    this->barriers.push_back(barrier);
}

TimePoint FakeSessions::nextEvent() const
{
    TimePoint next = TimePoint::max();
    for (const RunningStatement &statement : this->running)
        next = std::min(next, statement.due);
    for (const PendingBarrier &pending : this->barriers)
        next = std::min(next, pending.deadline);
    for (const auto &[id, session] : this->sessions) {
        if (session.login.control)
            next = std::min(next, session.lastRequest + this->options.lockTimeout);
    }
    return next;
}

void FakeSessions::endSession(std::uint64_t session)
{
    if (this->lockSession == session)
        this->lockSession = 0;
    std::erase_if(this->barriers, [&](const PendingBarrier &pending) { return pending.session == session; });
    this->sessions.erase(session);
}

void FakeSessions::endSessions(const std::function<bool(std::uint64_t, const Session &)> &isSelected)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, session] : this->sessions) {
        if (isSelected(id, session))
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended) {
        std::erase_if(this->running, [&](const RunningStatement &statement) { return statement.session == id; });
        this->endSession(id);
        this->outputs.emplace_back(FakeBackendClosed{.session = id});
    }
}

void FakeSessions::abortOrphanedStatements(const std::function<bool(const std::string &)> &isSelected)
{
    std::erase_if(this->running, [&](const RunningStatement &statement) {
        return statement.session == 0 && isSelected(statement.instance);
    });
}

} // namespace Jujubekeel

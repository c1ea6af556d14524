#include "fakes/fakebackend.h"

#include "fakes/fakeexecution.h"
#include "fakes/fakelog.h"
#include "fakes/fakereplication.h"
#include "fakes/fakesessions.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

struct FakeBackend::State
{
    FakeBackendOptions options;
    std::vector<FakeBackendOutput> outputs;
    FakeLog log;
    FakeSessions sessions;
    FakeReplication replication;
    FakeExecution execution;

    explicit State(FakeBackendOptions newOptions);
    std::optional<BackendAnswer> control(TimePoint now, std::uint64_t session, const BackendRequest &request);
};

FakeBackend::State::State(FakeBackendOptions newOptions)
    : options(std::move(newOptions)), sessions(this->options, this->outputs),
      replication(this->options, this->log, this->sessions, this->outputs),
      execution(this->options, this->log, this->sessions, this->replication)
{
}

std::optional<BackendAnswer> FakeBackend::State::control(TimePoint now, std::uint64_t session,
                                                         const BackendRequest &request)
{
    switch (request.operation) {
    case BackendOperation::Status:
        return BackendAnswer{};
    case BackendOperation::Barrier:
        return this->replication.barrier(now, session, request);
    case BackendOperation::Lock:
    case BackendOperation::PreemptLock:
        return this->sessions.lock(session, request);
    case BackendOperation::Unlock:
        return this->sessions.unlock(session);
    case BackendOperation::TerminateOthers:
        return this->sessions.terminateOthers(session, request);
    case BackendOperation::Fence:
        return this->replication.fence(now, request);
    case BackendOperation::Promote:
        return this->replication.promote(now, request);
    case BackendOperation::Follow:
        return this->replication.follow(now, request);
    case BackendOperation::LookupKey:
        return this->execution.lookUp(request);
    default:
        return BackendAnswer{.code = BackendStatusCode::StatementError,
                             .text = "not available on a control connection"};
    }
}

FakeBackend::FakeBackend(FakeBackendOptions options) : state(std::make_unique<State>(std::move(options)))
{
}

FakeBackend::~FakeBackend() = default;
FakeBackend::FakeBackend(FakeBackend &&) noexcept = default;
FakeBackend &FakeBackend::operator=(FakeBackend &&) noexcept = default;

bool FakeBackend::open(TimePoint now, std::uint64_t session, const BackendLogin &login)
{
    this->advance(now);
    return this->state->sessions.open(now, session, login);
}

void FakeBackend::close(TimePoint now, std::uint64_t session)
{
    this->advance(now);
    this->state->sessions.close(session);
}

void FakeBackend::request(TimePoint now, std::uint64_t session, const BackendRequest &request)
{
    this->advance(now);
    FakeSessions::Session *found = this->state->sessions.find(session);
    if (!found)
        return;
    found->lastRequest = now;
    BackendRequest withInstance = request;
    if (withInstance.instance.empty())
        withInstance.instance = found->login.instance;
    std::optional<BackendAnswer> answer = found->login.control
                                              ? this->state->control(now, session, withInstance)
                                              : this->state->execution.work(now, session, withInstance);
    if (answer)
        this->state->replication.answer(now, session, request.serial, *std::move(answer));
}

void FakeBackend::replicate(TimePoint now, const std::string &from, const ReplicationMessage &message)
{
    this->advance(now);
    std::visit([&](const auto &content) { this->state->replication.handle(now, from, content); }, message);
}

void FakeBackend::advance(TimePoint now)
{
    this->state->replication.startPrimarySilenceTimer(now);
    this->state->log.applyDue(now, this->state->options.applyLag);
    this->state->execution.advance(now);
    this->state->replication.advance(now);
    this->state->sessions.closeTimedOutControlSessions(now);
}

TimePoint FakeBackend::nextEvent() const
{
    return std::min({this->state->log.nextApply(this->state->options.applyLag), this->state->sessions.nextEvent(),
                     this->state->replication.nextEvent()});
}

std::vector<FakeBackendOutput> FakeBackend::takeOutputs()
{
    return std::exchange(this->state->outputs, {});
}

ServerStatus FakeBackend::status(TimePoint now) const
{
    return this->state->replication.status(now);
}

void FakeBackend::setApplyLag(Duration lag)
{
    this->state->options.applyLag = lag;
}

std::vector<ReplicationAppend::Entry> FakeBackend::log() const
{
    return this->state->log.entries();
}

std::uint32_t FakeBackend::peakSlots() const
{
    return this->state->execution.peakSlots();
}

std::uint32_t FakeBackend::peakConnections() const
{
    return this->state->sessions.peakCount();
}

std::uint64_t FakeBackend::slotRefusals() const
{
    return this->state->execution.slotRefusals();
}

std::uint64_t FakeBackend::connectionRefusals() const
{
    return this->state->sessions.connectionRefusals();
}

std::uint64_t FakeBackend::transactionMismatches() const
{
    return this->state->execution.transactionMismatches();
}

} // namespace Jujubekeel

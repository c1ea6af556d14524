#include "pool/queuesystem.h"

#include "pool/poolworld.h"

#include <algorithm>
#include <optional>

namespace Jujubekeel {

namespace {

/// Multiple of a server's average response time that is left for an answer in time: single statements take up to twice
/// as long as the average, and the most urgent work is served first, so that an exact estimate makes half of it late.
constexpr std::int64_t responseMargin = 2;

} // namespace

void QueueSystem::enqueue(SessionId id, ServiceId serviceId)
{
    SessionRow &session = this->world.sessions.at(id);
    // A retry keeps its arrival time and so its place among the work of its organisation.
    ServiceRow &service = this->world.services.at(serviceId);
    const PendingWork &work = *session.work;
    const OrganisationQueue<SessionId>::Entry entry{.work = id,
                                                    .priority = session.route->priority,
                                                    .arrivedAt = work.arrivedAt,
                                                    .needsPrimary = work.needsPrimary,
                                                    .startBy = this->startBy(session, serviceId)};
    const TimePoint now = this->world.now;
    std::optional<Duration> wait = service.wait.wait(service.queue.countBefore(session.organisationName(), entry, now));
    // Work that will be late when its turn comes goes behind all that can still be in time.
    if (wait && now + *wait > entry.startBy)
        wait = service.wait.wait(service.queue.countBefore(session.organisationName(), entry, now + *wait));
    if (wait && WaitEstimate::isHopeless(*wait, work.deadline - now) && !session.relayed) {
        this->world.counters.add("jujubekeel_pool_hopeless_total");
        this->refuse(id, OutcomeCode::Busy, "the queue is longer than can be served in time");
        return;
    }
    service.queue.insert(session.organisationName(), entry);
    session.work->queue = serviceId;
    this->world.timers.add(work.deadline, TimerKind::WorkDeadline, id.packed());
}

TimePoint QueueSystem::startBy(const SessionRow &session, ServiceId serviceId) const
{
    if (!this->world.options.queueByObjective)
        return TimePoint::max();
    const ServiceRow &service = this->world.services.at(serviceId);
    const ServiceRow &target = this->world.isRelaying() ? this->world.services.at(this->world.relayService) : service;
    std::optional<Duration> expected;
    const auto add = [&](ServerId server) {
        const Duration took = this->world.servers.at(server).responseTime;
        expected = std::min(expected.value_or(took), took);
    };
    if (session.work->needsPrimary && !this->world.isRelaying() && this->world.servers.contains(target.primary))
        add(target.primary);
    else
        std::for_each(target.servers.begin(), target.servers.end(), add);
    return session.work->arrivedAt + session.route->latencyObjective - expected.value_or(Duration{0}) * responseMargin;
}

std::vector<SessionId> QueueSystem::inOrder(ServiceId service) const
{
    return this->world.services.at(service).queue.inOrder(this->world.now);
}

void QueueSystem::served(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    ServiceRow &service = this->world.services.at(session.work->queue);
    if (this->world.now > session.work->arrivedAt + session.route->latencyObjective)
        this->world.counters.add("jujubekeel_pool_queued_late_total");
    service.queue.take(id);
    session.work->queue = ServiceId{};
    service.wait.served(this->world.now);
}

void QueueSystem::passEnded(ServiceId serviceId)
{
    ServiceRow &service = this->world.services.at(serviceId);
    if (service.queue.empty())
        service.wait.queueEmptied();
}

std::vector<SessionId> QueueSystem::takeAll(ServiceId service)
{
    std::vector<SessionId> waiting = this->world.services.at(service).queue.takeAll(this->world.now);
    for (const SessionId id : waiting)
        this->world.sessions.at(id).work->queue = ServiceId{};
    return waiting;
}

void QueueSystem::remove(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.work || !session.work->isQueued())
        return;
    // The session's service may be another one by now, as the route's own may have become known since.
    this->world.services.at(session.work->queue).queue.remove(id);
    session.work->queue = ServiceId{};
}

void QueueSystem::refuseAll()
{
    std::vector<ServiceId> services;
    this->world.services.forEach([&](ServiceId id, const ServiceRow &) { services.push_back(id); });
    std::vector<SessionId> waiting;
    for (const ServiceId service : services) {
        const std::vector<SessionId> ofService = this->takeAll(service);
        waiting.insert(waiting.end(), ofService.begin(), ofService.end());
    }
    for (const SessionId id : waiting)
        this->refuse(id, OutcomeCode::Busy, "the instance is stopping");
}

void QueueSystem::deny(SessionId id, std::string reason)
{
    this->remove(id);
    this->refuse(id, OutcomeCode::Denied, std::move(reason));
}

void QueueSystem::checkWait(SessionId id, ServiceId serviceId)
{
    PendingWork &work = *this->world.sessions.at(id).work;
    if (!work.isQueued() || this->world.now < work.deadline)
        return;

    // Work for an unavailable primary waits longer, since the primary may be replaced in time.
    const TimePoint extendedDeadline = work.arrivedAt + this->world.options.primaryWait;
    if (work.needsPrimary && serviceId.isValid() && !this->world.isRelaying() && this->world.now < extendedDeadline) {
        const ServiceRow &service = this->world.services.at(serviceId);
        const bool unavailable =
            !this->chooser.primaryUsable(serviceId) || this->world.servers.at(service.primary).links.empty();
        if (unavailable) {
            work.deadline = extendedDeadline;
            this->world.timers.add(extendedDeadline, TimerKind::WorkDeadline, id.packed());
            return;
        }
    }
    this->remove(id);
    const OutcomeError error =
        work.lastError.value_or(OutcomeError{.code = OutcomeCode::Busy, .text = "no connection became free in time"});
    this->refuse(id, OutcomeCode::Busy, error.text);
}

} // namespace Jujubekeel

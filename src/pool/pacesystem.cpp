#include "pool/pacesystem.h"

#include "pool/poolworld.h"

#include <algorithm>
#include <string>

namespace Jujubekeel {

namespace {

std::string toMilliseconds(Duration duration)
{
    return std::to_string(duration.count() / 1000);
}

} // namespace

bool PaceSystem::mayStart(const SessionRow &session, ServerId server, bool lastResort)
{
    ServerRow &row = this->world.servers.at(server);
    if (!this->world.options.adaptivePacing || row.isMember)
        return true;
    const TimePoint now = this->world.now;
    const bool barred = row.pace.isSuspended() && !lastResort && !canTry(session);
    if (!barred && (lastResort ? row.pace.allowsLastResort(now, row.opening) : row.pace.allows(now, row.opening)))
        return true;
    const TimePoint at = row.pace.allowedAt(now, lastResort);
    if (at > now)
        this->dispatchAt(row, at);
    return false;
}

bool PaceSystem::isLastResort(std::span<const ServerId> candidates) const
{
    if (!this->world.options.adaptivePacing)
        return false;
    return std::all_of(candidates.begin(), candidates.end(), [this](ServerId id) {
        const ServerRow &row = this->world.servers.at(id);
        return row.pace.isSuspended() || (row.links.size() == row.opening && this->world.now < row.retryAt);
    });
}

bool PaceSystem::isTrialDue(ServerId server) const
{
    return this->world.options.adaptivePacing && this->world.servers.at(server).pace.isTrialDue(this->world.now);
}

void PaceSystem::started(LinkId linkId)
{
    LinkRow &link = this->world.links.at(linkId);
    ServerRow &row = this->world.servers.at(link.server);
    if (!this->world.options.adaptivePacing || row.isMember || link.paceStartedAt.count() != 0)
        return;
    link.paceStartedAt = this->world.now;
    row.pace.started(this->world.now);
}

void PaceSystem::finished(LinkId linkId, PaceOutcome outcome, TimePoint sentAt, Duration kind)
{
    LinkRow &link = this->world.links.at(linkId);
    if (link.paceStartedAt.count() == 0)
        return;
    ServerRow &row = this->world.servers.at(link.server);
    const bool wasSuspended = row.pace.isSuspended();
    const TimePoint suspendedSince = row.pace.suspendedSince();
    row.pace.finished(outcome, this->world.now - std::max(link.paceStartedAt, sentAt), this->world.now, kind);
    link.paceStartedAt = TimePoint{0};
    if (outcome == PaceOutcome::Rejected)
        this->world.counters.add("jujubekeel_pool_server_rejections_total");
    if (outcome == PaceOutcome::Failed)
        this->world.counters.add("jujubekeel_pool_server_failures_total");
    if (row.pace.isSuspended() != wasSuspended)
        this->logChange(link.server, wasSuspended, suspendedSince);
    // The link of an open transaction, or a lost one, is not released, which would dispatch queued work.
    const bool succeeded = outcome == PaceOutcome::Succeeded || outcome == PaceOutcome::SucceededUntimed;
    if ((link.inTransaction || !succeeded) && !this->world.services.at(row.service).queue.empty())
        this->dispatchAt(row, this->world.now);
}

void PaceSystem::dispatchAt(ServerRow &row, TimePoint at)
{
    // One timer for each server is enough, however much work waits.
    if (row.paceCheckAt > this->world.now && row.paceCheckAt <= at)
        return;
    row.paceCheckAt = at;
    this->world.timers.add(at, TimerKind::ServiceCheck, row.service.packed());
}

PaceOutcome PaceSystem::outcomeOf(const std::optional<OutcomeError> &error, bool writes)
{
    if (!error)
        return writes ? PaceOutcome::SucceededUntimed : PaceOutcome::Succeeded;
    switch (error->code) {
    case OutcomeCode::Busy:
    case OutcomeCode::Overload:
        return PaceOutcome::Rejected;
    case OutcomeCode::Failed:
    case OutcomeCode::Timeout:
        return PaceOutcome::Failed;
    default:
        return PaceOutcome::Ignored;
    }
}

bool PaceSystem::canTry(const SessionRow &session)
{
    return !session.transaction && !session.work->writes && session.work->attempts == 0;
}

void PaceSystem::logChange(ServerId server, bool wasSuspended, TimePoint suspendedSince)
{
    const ServerRow &row = this->world.servers.at(server);
    const ServerPace &pace = row.pace;
    if (wasSuspended) {
        this->world.counters.add("jujubekeel_pool_servers_resumed_total");
        this->world.log(LogLevel::Info, "server-resumed",
                        {{"server", row.entry.id},
                         {"service", row.entry.service},
                         {"suspendedMs", toMilliseconds(this->world.now - suspendedSince)},
                         {"window", std::to_string(pace.window())}});
        return;
    }
    this->world.counters.add("jujubekeel_pool_servers_suspended_total");
    this->world.log(LogLevel::Warning, "server-suspended",
                    {{"server", row.entry.id},
                     {"service", row.entry.service},
                     {"failures", std::to_string(pace.failureRun())},
                     {"rejections", std::to_string(pace.rejectionRun())},
                     {"inFlight", std::to_string(pace.inFlight())},
                     {"averageMs", toMilliseconds(pace.averageLatency())},
                     {"bestMs", toMilliseconds(pace.bestLatency())},
                     {"trialMs", toMilliseconds(pace.trialInterval())}});
}

} // namespace Jujubekeel

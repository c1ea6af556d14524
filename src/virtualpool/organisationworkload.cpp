#include "virtualpool/organisationworkload.h"

#include "virtualpool/organisationshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Jujubekeel {

namespace {

/// Random numbers are drawn as integers below this one.
constexpr std::uint64_t resolution = 1'000'000;
/// Instances that a caller tries before it gives an operation up.
constexpr int openAttempts = 3;

} // namespace

OrganisationWorkload::OrganisationWorkload(VirtualPool &virtualPool, OrganisationWorkloadOptions workloadOptions)
    : pool(virtualPool), options(workloadOptions), random(workloadOptions.seed * 6151 + 1),
      shares(organisationShares(virtualPool.organisationCount()))
{
    this->pool.setOnReply([this](VirtualPool::CallerId session, const CallerReply &) {
        this->pool.at(Duration{0}, [this, session] { this->received(session); });
    });
}

void OrganisationWorkload::start(TimePoint end)
{
    this->startedAt = this->pool.now();
    this->endAt = end;
    for (std::size_t organisation = 0; organisation < this->shares.size(); ++organisation)
        this->scheduleNext(organisation);
}

double OrganisationWorkload::demand(std::size_t organisation) const
{
    const Duration surgingFor = this->pool.now() - this->startedAt - this->options.surgeAfter;
    const bool surges =
        organisation == this->options.surging && surgingFor.count() >= 0 && surgingFor < this->options.surgeTime;
    return this->options.rate * this->shares[organisation] * (surges ? this->options.surgeFactor : 1);
}

void OrganisationWorkload::scheduleNext(std::size_t organisation)
{
    const double uniform = static_cast<double>(this->random.below(resolution) + 1) / resolution;
    const std::chrono::duration<double> pause(-std::log(uniform) / this->demand(organisation));
    this->pool.at(std::chrono::duration_cast<Duration>(pause), [this, organisation] {
        if (this->pool.now() >= this->endAt)
            return;
        this->send(organisation);
        this->scheduleNext(organisation);
    });
}

std::optional<VirtualPool::CallerId> OrganisationWorkload::takeSession(const SessionKey &key)
{
    std::vector<VirtualPool::CallerId> &free = this->idle[key];
    while (!free.empty()) {
        const VirtualPool::CallerId session = free.back();
        free.pop_back();
        if (!this->pool.caller(session).closed)
            return session;
    }
    return this->pool.openCaller(std::get<0>(key), std::get<2>(key), VirtualPool::organisationKey(std::get<1>(key)));
}

void OrganisationWorkload::send(std::size_t organisation)
{
    const bool writes = this->random.chance(this->options.writePercent);
    const std::string database =
        writes || this->random.chance(50) ? VirtualPool::primaryRoute : VirtualPool::boundedRoute;
    std::optional<VirtualPool::CallerId> session;
    SessionKey key;
    for (int attempt = 0; attempt < openAttempts && !session; ++attempt) {
        key = SessionKey{this->random.below(this->pool.instanceCount()), organisation, database};
        session = this->takeSession(key);
    }
    const std::size_t place = this->sent.size();
    const std::string id = "o" + std::to_string(place);
    this->sent.push_back(OrganisationOperation{.organisation = organisation, .id = id, .startedAt = this->pool.now()});
    if (!session)
        return;
    this->busy[*session] = {key, place};
    this->pool.send(*session, Statement{.kind = writes ? StatementKind::Write : StatementKind::Read,
                                        .id = id,
                                        .text = writes ? "WRITE 1a4 data" : "READ 1a4"});
}

void OrganisationWorkload::received(VirtualPool::CallerId session)
{
    const auto found = this->busy.find(session);
    if (found == this->busy.end())
        return;
    const auto &[key, place] = found->second;
    const CallerReply &reply = this->pool.caller(session).replies.back();
    OrganisationOperation &operation = this->sent[place];
    operation.endedAt = this->pool.now();
    if (reply.error)
        operation.error = reply.error->code;
    this->idle[key].push_back(session);
    this->busy.erase(found);
}

std::vector<std::string> OrganisationWorkload::findWrongNames(const StatementGroup &group) const
{
    std::map<std::string_view, std::size_t> callerOf;
    for (const OrganisationOperation &operation : this->sent)
        callerOf[operation.id] = operation.organisation;
    std::vector<std::string> violations;
    for (const GroupHistory::Run &run : group.history().runs) {
        const auto found = callerOf.find(run.id);
        if (found == callerOf.end())
            violations.push_back("statement " + run.id + " was sent by no caller");
        else if (run.organisation != VirtualPool::organisationName(found->second))
            violations.push_back("statement " + run.id + " of " + VirtualPool::organisationName(found->second)
                                 + " ran in the name of '" + run.organisation + "'");
    }
    return violations;
}

} // namespace Jujubekeel

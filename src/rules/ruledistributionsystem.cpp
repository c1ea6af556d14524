#include "rules/ruledistributionsystem.h"

#include "core/sendtopeer.h"
#include "core/world.h"
#include "membership/rendezvous.h"
#include "rules/rulesobject.h"

#include <algorithm>
#include <vector>

namespace Jujubekeel {

namespace {

/// Two queries to peers are at least this far apart; heartbeats of several peers announce a version at the same time.
constexpr Duration queryPause = std::chrono::milliseconds(100);

/// Calls whose late answers still count.
constexpr std::size_t maxCallsWithoutAnswer = 8;

bool isWatcher(const World &world)
{
    const std::string &domain = world.layout.at(world.self).failureDomain;
    std::vector<InstanceId> ranked = rankInstances(world, "rules-watch/" + domain, domain);
    if (ranked.size() > world.options.rules.watchersPerDomain)
        ranked.resize(world.options.rules.watchersPerDomain);
    return std::ranges::find(ranked, world.self) != ranked.end();
}

std::uint64_t versionInForce(const World &world)
{
    return world.rules ? world.rules->version() : 0;
}

} // namespace

void RuleDistributionSystem::handle(World &world, InstanceId, const RulesUpdate &update, Actions &actions)
{
    this->adopt(world, update.version, update.text, actions);
}

void RuleDistributionSystem::handle(World &world, InstanceId from, const RulesQuery &query, Actions &actions)
{
    if (world.rules && world.rules->version() > query.knownVersion)
        sendToPeer(world, from, RulesUpdate{.version = world.rules->version(), .text = world.rules->text()}, actions);
}

void RuleDistributionSystem::handle(World &world, const PlatformAnswer &answer, Actions &actions)
{
    const auto found = std::ranges::find(this->calls, answer.call);
    if (found == this->calls.end())
        return;
    this->calls.erase(found);

    // Without an answer, or before the first rules exist, asks again after a pause.
    if (answer.code == PlatformStatusCode::Unavailable || answer.code == PlatformStatusCode::NotFound) {
        this->nextWatch = world.now + world.options.rules.retryDelay;
        return;
    }
    this->nextWatch = world.now;
    if (answer.code != PlatformStatusCode::Ok || answer.version <= versionInForce(world))
        return;

    FailureReason reason;
    const auto object = RulesObject::decode(answer.value, reason);
    if (!object) {
        this->nextWatch = world.now + world.options.rules.retryDelay;
        actions.emplace_back(
            WriteLog{.level = LogLevel::Error,
                     .event = "rules-rejected",
                     .fields = {{"version", std::to_string(answer.version)}, {"reason", reason.text()}}});
        return;
    }
    this->adopt(world, answer.version, object->text, actions);

    // Passes the version on within the failure domain; other domains have their own watchers, and heartbeats announce
    // it to everybody.
    const std::string &domain = world.layout.at(world.self).failureDomain;
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceId id{.index = index, .generation = 0};
        if (id != world.self && world.at(id).live && world.layout.at(id).failureDomain == domain
            && world.at(id).rulesVersion < answer.version)
            sendToPeer(world, id, RulesUpdate{.version = answer.version, .text = object->text}, actions);
    }
}

void RuleDistributionSystem::noticeVersion(World &world, InstanceId from, std::uint64_t version, Actions &actions)
{
    if (version <= versionInForce(world) || world.now - this->lastQuery < queryPause)
        return;
    this->lastQuery = world.now;
    sendToPeer(world, from, RulesQuery{.knownVersion = versionInForce(world)}, actions);
}

void RuleDistributionSystem::tick(World &world, Actions &actions)
{
    // A call that is overdue may be lost, or the platform may be slow: another is sent, and the late answer still counts.
    // Waiting for one call alone kept rules away for 10 s after an outage of less than a second.
    const RuleOptions &options = world.options.rules;
    const bool overdue = world.now - this->lastCallSent > options.watchWait + options.overdueAfter;
    if ((!this->calls.empty() && !overdue) || world.now < this->nextWatch)
        return;

    // A proxy without rules reads them itself, also if it is not a watcher.
    if (this->rankedVersion != world.candidates.version()) {
        this->rankedVersion = world.candidates.version();
        this->watcher = isWatcher(world);
    }
    if (world.rules && !this->watcher)
        return;
    this->calls.push_back(world.allocateSerial());
    if (this->calls.size() > maxCallsWithoutAnswer)
        this->calls.pop_front();
    this->lastCallSent = world.now;
    const PlatformOperation operation = world.rules ? PlatformOperation::Watch : PlatformOperation::Get;
    actions.emplace_back(CallPlatform{.call = {.call = this->calls.back(),
                                               .operation = operation,
                                               .key = RulesObject::key(world.layout.user),
                                               .expectedVersion = versionInForce(world),
                                               .wait = world.rules ? options.watchWait : Duration{0}}});
    world.counters.add("jujubekeel_platform_calls_total{call=\"rules\"}");
}

void RuleDistributionSystem::adopt(World &world, std::uint64_t version, const std::string &text, Actions &actions)
{
    if (version <= versionInForce(world))
        return;

    std::vector<RuleError> errors;
    auto parsed = RuleSet::parse(text, version, errors);
    if (!parsed) {
        const std::string place = errors.empty() ? std::string() : std::to_string(errors.front().line);
        actions.emplace_back(WriteLog{.level = LogLevel::Error,
                                      .event = "rules-rejected",
                                      .fields = {{"version", std::to_string(version)},
                                                 {"line", place},
                                                 {"reason", errors.empty() ? "" : errors.front().text}}});
        world.counters.add("jujubekeel_rules_rejected_total");
        return;
    }
    world.rules = std::move(*parsed);
    world.counters.set("jujubekeel_rules_version", version);
    actions.emplace_back(WriteLog{
        .level = LogLevel::Info,
        .event = "rules-in-force",
        .fields = {{"version", std::to_string(version)}, {"rules", std::to_string(world.rules->rules().size())}}});
}

} // namespace Jujubekeel

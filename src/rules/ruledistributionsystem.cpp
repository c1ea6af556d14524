#include "rules/ruledistributionsystem.h"

#include "core/sendtopeer.h"
#include "core/world.h"
#include "membership/rendezvous.h"
#include "rules/rulesobject.h"

#include <algorithm>
#include <vector>

namespace Jujubekeel {

namespace {

/// Shortest time between two queries to peers: heartbeats of several peers announce a new version at about the same
/// time.
constexpr Duration minQueryInterval = std::chrono::milliseconds(100);

/// Largest number of unanswered platform calls whose late answers are still accepted.
constexpr std::size_t maxPendingCalls = 8;

/// Whether this instance is one of the best-ranked of its failure domain, which watch the rules on the platform.
bool isWatcher(const World &world)
{
    const std::string &domain = world.layout.at(world.self).failureDomain;
    std::vector<InstanceId> ranked = rankInstances(world, "rules-watch/" + domain, domain);
    if (ranked.size() > world.options.rules.watchersPerDomain)
        ranked.resize(world.options.rules.watchersPerDomain);
    return std::ranges::find(ranked, world.self) != ranked.end();
}

/// Version of the rules in force; 0: there are none yet.
std::uint64_t versionInForce(const World &world)
{
    return world.rules ? world.rules->version() : 0;
}

} // namespace

void RuleDistributionSystem::handle(World &world, InstanceId, const RulesUpdate &update, Actions &actions)
{
    this->activate(world, update.version, update.text, actions);
}

void RuleDistributionSystem::handle(World &world, InstanceId from, const RulesQuery &query, Actions &actions)
{
    if (world.rules && world.rules->version() > query.knownVersion)
        sendToPeer(world, from, RulesUpdate{.version = world.rules->version(), .text = world.rules->text()}, actions);
}

void RuleDistributionSystem::handle(World &world, const PlatformAnswer &answer, Actions &actions)
{
    const auto found = std::ranges::find(this->pendingCalls, answer.call);
    if (found == this->pendingCalls.end())
        return;
    this->pendingCalls.erase(found);

    // The platform did not answer, or no rules exist yet: retry after a delay.
    if (answer.code == PlatformStatusCode::Unavailable || answer.code == PlatformStatusCode::NotFound) {
        this->nextCallAt = world.now + world.options.rules.retryDelay;
        return;
    }
    this->nextCallAt = world.now;
    if (answer.code != PlatformStatusCode::Ok || answer.version <= versionInForce(world))
        return;

    FailureReason reason;
    const auto object = RulesObject::decode(answer.value, reason);
    if (!object) {
        this->nextCallAt = world.now + world.options.rules.retryDelay;
        actions.emplace_back(
            WriteLog{.level = LogLevel::Error,
                     .event = "rules-rejected",
                     .fields = {{"version", std::to_string(answer.version)}, {"reason", reason.text()}}});
        return;
    }
    this->activate(world, answer.version, object->text, actions);

    // Send the new rules to the instances of this failure domain. Other domains have their own watchers, and heartbeats
    // announce the version to all instances.
    const std::string &domain = world.layout.at(world.self).failureDomain;
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceId id{.index = index, .generation = 0};
        if (id != world.self && world.at(id).live && world.layout.at(id).failureDomain == domain
            && world.at(id).rulesVersion < answer.version)
            sendToPeer(world, id, RulesUpdate{.version = answer.version, .text = object->text}, actions);
    }
}

void RuleDistributionSystem::handleAnnouncedVersion(World &world, InstanceId from, std::uint64_t version,
                                                    Actions &actions)
{
    if (version <= versionInForce(world) || world.now - this->lastQueryAt < minQueryInterval)
        return;
    this->lastQueryAt = world.now;
    sendToPeer(world, from, RulesQuery{.knownVersion = versionInForce(world)}, actions);
}

void RuleDistributionSystem::tick(World &world, Actions &actions)
{
    // An overdue call may be lost or only slow: another one is sent, and a late answer is still accepted. Waiting for a
    // single call delayed new rules by 10 s after an outage of less than a second.
    const RuleOptions &options = world.options.rules;
    const bool overdue = world.now - this->lastCallSentAt > options.watchWait + options.overdueAfter;
    if ((!this->pendingCalls.empty() && !overdue) || world.now < this->nextCallAt)
        return;

    // A proxy without rules reads them from the platform even if it is not a watcher.
    if (this->rankedVersion != world.candidates.version()) {
        this->rankedVersion = world.candidates.version();
        this->watcher = isWatcher(world);
    }
    if (world.rules && !this->watcher)
        return;
    this->pendingCalls.push_back(world.allocateSerial());
    if (this->pendingCalls.size() > maxPendingCalls)
        this->pendingCalls.pop_front();
    this->lastCallSentAt = world.now;
    const PlatformOperation operation = world.rules ? PlatformOperation::Watch : PlatformOperation::Get;
    actions.emplace_back(CallPlatform{.call = {.call = this->pendingCalls.back(),
                                               .operation = operation,
                                               .key = RulesObject::key(world.layout.user),
                                               .expectedVersion = versionInForce(world),
                                               .wait = world.rules ? options.watchWait : Duration{0}}});
    world.counters.add("jujubekeel_platform_calls_total{call=\"rules\"}");
}

void RuleDistributionSystem::activate(World &world, std::uint64_t version, const std::string &text, Actions &actions)
{
    if (version <= versionInForce(world))
        return;

    std::vector<RuleError> errors;
    auto parsed = RuleSet::parse(text, version, errors);
    if (!parsed) {
        const std::string line = errors.empty() ? std::string() : std::to_string(errors.front().line);
        actions.emplace_back(WriteLog{.level = LogLevel::Error,
                                      .event = "rules-rejected",
                                      .fields = {{"version", std::to_string(version)},
                                                 {"line", line},
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

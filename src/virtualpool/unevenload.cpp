#include "virtualpool/unevenload.h"

#include <cmath>
#include <numbers>
#include <utility>

namespace Jujubekeel {

namespace {

/// Random numbers are drawn as integers below this one.
constexpr std::uint64_t resolution = 1'000'000;
constexpr std::uint32_t writeShare = 3; ///< one of so many operations that only primaries can do is a write

} // namespace

UnevenLoad::UnevenLoad(VirtualPool &virtualPool, UnevenLoadOptions loadOptions)
    : pool(virtualPool), options(loadOptions), random(loadOptions.seed * 7919 + 1)
{
    std::map<std::string, std::size_t> domains;
    for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance) {
        const auto [found, added] = domains.emplace(this->pool.instanceDomain(instance), domains.size());
        if (added)
            this->instancesOf.emplace_back();
        this->instancesOf[found->second].push_back(instance);
    }
    this->pool.setOnReply([this](VirtualPool::CallerId caller, const CallerReply &reply) {
        this->pool.at(Duration{0}, [this, caller, reply] { this->received(caller, reply); });
    });
}

void UnevenLoad::start(TimePoint end)
{
    this->startedAt = this->pool.now();
    this->endAt = end;
    for (std::size_t domain = 0; domain < this->instancesOf.size(); ++domain)
        this->scheduleNext(domain);
}

double UnevenLoad::demand(std::size_t domain) const
{
    const auto domains = static_cast<double>(this->instancesOf.size());
    const double phase = static_cast<double>(domain) / domains;
    const double turns = std::chrono::duration<double>(this->pool.now() - this->startedAt)
                         / std::chrono::duration<double>(this->options.period);
    const double factor = 1 + this->options.swing * std::sin(2 * std::numbers::pi * (turns + phase));
    return this->options.rate / domains * factor * this->rateFactor;
}

void UnevenLoad::scheduleNext(std::size_t domain)
{
    const double uniform = static_cast<double>(this->random.below(resolution) + 1) / resolution;
    const std::chrono::duration<double> pause(-std::log(uniform) / this->demand(domain));
    this->pool.at(std::chrono::duration_cast<Duration>(pause), [this, domain] {
        if (this->pool.now() >= this->endAt)
            return;
        const bool primaryOnly = this->random.chance(this->options.primaryPercent);
        const std::size_t operation = this->all.size();
        this->all.push_back(Operation{.sentAt = this->pool.now(),
                                      .group = this->random.below(this->pool.groupCount()),
                                      .primaryOnly = primaryOnly,
                                      .write = primaryOnly && this->random.below(writeShare) == 0});
        this->send(operation, domain);
        this->scheduleNext(domain);
    });
}

std::optional<VirtualPool::CallerId> UnevenLoad::takeSession(const SessionKey &key)
{
    std::vector<VirtualPool::CallerId> &free = this->idle[key];
    while (!free.empty()) {
        const VirtualPool::CallerId session = free.back();
        free.pop_back();
        if (!this->pool.caller(session).closed)
            return session;
    }
    return this->pool.openCaller(key.first, key.second);
}

std::size_t UnevenLoad::drawInstance(std::size_t domain)
{
    std::vector<std::size_t> usable;
    for (const std::size_t instance : this->instancesOf[domain]) {
        if (!this->avoided.contains(instance))
            usable.push_back(instance);
    }
    return usable.at(this->random.below(usable.size()));
}

void UnevenLoad::send(std::size_t index, std::size_t domain)
{
    Operation &operation = this->all[index];
    const SessionKey key{
        this->drawInstance(domain),
        PoolConfiguration::databaseOf(operation.primaryOnly ? VirtualPool::primaryRoute : VirtualPool::boundedRoute,
                                      operation.group)};
    operation.attempts += 1;
    const auto caller = this->takeSession(key);
    if (!caller)
        return;
    this->running.insert_or_assign(*caller, Running{.key = key, .operation = index, .domain = domain});
    const std::string id = idOf(index);
    this->pool.send(*caller, Statement{.kind = operation.write ? StatementKind::Write : StatementKind::Read,
                                       .id = id,
                                       .text = (operation.write ? "WRITE " : "READ ") + id});
}

void UnevenLoad::received(VirtualPool::CallerId caller, const CallerReply &reply)
{
    const auto found = this->running.find(caller);
    if (found == this->running.end())
        return;
    const Running ended = found->second;
    this->running.erase(found);
    this->idle[ended.key].push_back(caller);
    Operation &operation = this->all[ended.operation];
    const bool refused =
        reply.error && (reply.error->code == OutcomeCode::Busy || reply.error->code == OutcomeCode::Overload);
    if (refused && operation.attempts < this->options.attempts) {
        this->send(ended.operation, ended.domain);
        return;
    }
    operation.endedAt = this->pool.now();
    if (reply.error)
        operation.error = reply.error->code;
}

const UnevenLoad::Operation *UnevenLoad::find(const std::string &id) const
{
    if (id.size() < 2 || id.front() != 'o')
        return nullptr;
    const std::size_t index = std::stoull(id.substr(1));
    return index < this->all.size() ? &this->all[index] : nullptr;
}

} // namespace Jujubekeel

#include "virtualpool/storerequests.h"

#include "pool/poolcore.h"

#include <utility>

namespace Jujubekeel {

namespace {

constexpr Duration storeRetryDelay = std::chrono::milliseconds(200);

} // namespace

StoreRequests::StoreRequests(const VirtualPoolOptions &poolOptions, EventQueue &eventQueue, Callbacks requestCallbacks)
    : options(poolOptions), events(eventQueue), callbacks(std::move(requestCallbacks)), fleetStore(eventQueue),
      clients(poolOptions.instances)
{
}

void StoreRequests::instanceStarted(std::size_t instance)
{
    Client &client = this->clients.at(instance);
    client.knownVersion = StoreVersion{};
    client.plan = Client{}.plan;
    client.listsFleet = false;
}

void StoreRequests::apply(std::size_t instance, const WatchPlan &plan)
{
    Client &client = this->clients.at(instance);
    const WatchPlan before = std::exchange(client.plan, plan);
    // As in the daemon, an urgent list request interrupts a watch that is waiting.
    const bool urgent = plan.fleet == FleetWatchMode::Initial && before.fleet != FleetWatchMode::Initial;
    if (plan.fleet != FleetWatchMode::Suspended && (urgent || !client.listsFleet)) {
        client.listsFleet = true;
        client.fleetWatch += 1;
        this->listFleet(instance, this->callbacks.boot(instance), client.fleetWatch);
    }
    if (plan.servers && !before.servers)
        this->listEntries(instance);
    if (plan.routes && !before.routes)
        this->listRoutes(instance);
}

void StoreRequests::list(std::size_t instance, bool WatchPlan::*followed,
                         const std::function<void(PoolCore &core)> &deliver)
{
    if (!(this->clients.at(instance).plan.*followed))
        return;
    const std::uint64_t boot = this->callbacks.boot(instance);
    this->fleetStore.calls += 1;
    if (!this->isReachable(instance)) {
        this->at(storeRetryDelay, [this, instance, boot, followed, deliver] {
            if (this->callbacks.boot(instance) == boot)
                this->list(instance, followed, deliver);
        });
        return;
    }
    this->at(this->options.storeDelay,
             [this, instance, boot, deliver] { this->callbacks.input(instance, boot, deliver); });
}

void StoreRequests::listEntries(std::size_t instance)
{
    this->list(instance, &WatchPlan::servers,
               [this](PoolCore &core) { core.entriesListed(this->events.now(), this->callbacks.entries()); });
}

void StoreRequests::listRoutes(std::size_t instance)
{
    this->list(instance, &WatchPlan::routes,
               [this](PoolCore &core) { core.routesReceived(this->events.now(), this->callbacks.routes()); });
}

bool StoreRequests::continuesFleetWatch(std::size_t instance, std::uint64_t boot, std::uint64_t chain)
{
    Client &client = this->clients.at(instance);
    if (this->callbacks.boot(instance) != boot || client.fleetWatch != chain)
        return false;
    if (client.plan.fleet == FleetWatchMode::Suspended)
        client.listsFleet = false;
    return client.listsFleet;
}

void StoreRequests::listFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain)
{
    if (!this->continuesFleetWatch(instance, boot, chain))
        return;
    const TimePoint requestedAt = this->events.now();
    this->fleetStore.calls += 1;
    if (!this->isReachable(instance)) {
        this->events.add(requestedAt + storeRetryDelay,
                         [this, instance, boot, chain] { this->listFleet(instance, boot, chain); });
        return;
    }
    this->events.add(requestedAt + 2 * this->options.storeDelay, [this, instance, boot, chain, requestedAt] {
        const FleetStore::Answer answer = this->fleetStore.list();
        this->callbacks.input(instance, boot, [this, instance, boot, chain, requestedAt, answer](PoolCore &core) {
            if (this->clients.at(instance).fleetWatch != chain)
                return;
            this->clients.at(instance).knownVersion = {.era = answer.era, .revision = answer.revision};
            core.fleetUpdated(this->events.now(), FleetUpdate{.complete = true,
                                                              .objects = answer.objects,
                                                              .revision = answer.revision,
                                                              .era = answer.era,
                                                              .requestedAt = requestedAt});
            this->at(Duration{0}, [this, instance, boot, chain] { this->watchFleet(instance, boot, chain); });
        });
    });
}

Duration StoreRequests::pauseAfterUpdate(FleetWatchMode mode) const
{
    switch (mode) {
    case FleetWatchMode::Batched:
        return this->options.batchedWatchPause;
    case FleetWatchMode::Continuous:
        return this->options.memberWatchPause;
    default:
        return Duration{0};
    }
}

void StoreRequests::watchFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain)
{
    if (!this->continuesFleetWatch(instance, boot, chain))
        return;
    const TimePoint requestedAt = this->events.now();
    const bool first = this->clients.at(instance).plan.fleet == FleetWatchMode::Initial;
    const Duration wait = first ? this->options.initialWatchWait : this->options.watchWait;
    const auto listAgain = [this, instance, boot, chain] { this->listFleet(instance, boot, chain); };
    if (!this->isReachable(instance)) {
        this->fleetStore.calls += 1;
        this->events.add(requestedAt + storeRetryDelay, listAgain);
        return;
    }
    const auto answered = [this, instance, boot, chain, requestedAt, wait,
                           listAgain](const FleetStore::Answer &answer) {
        // The answer is lost if the store has become unreachable meanwhile; the instance lists the objects again
        // after its timeout, as the daemon does.
        if (!this->isReachable(instance)) {
            this->events.add(requestedAt + wait + this->options.watchTimeout, listAgain);
            return;
        }
        this->at(this->options.storeDelay, [this, instance, boot, chain, requestedAt, wait, listAgain, answer] {
            this->callbacks.input(
                instance, boot, [this, instance, boot, chain, requestedAt, wait, listAgain, answer](PoolCore &core) {
                    if (this->clients.at(instance).fleetWatch != chain)
                        return;
                    // The revision that was watched from has another meaning in another era.
                    if (answer.historyCompacted || answer.era != this->clients.at(instance).knownVersion.era) {
                        listAgain();
                        return;
                    }
                    this->clients.at(instance).knownVersion = {.era = answer.era, .revision = answer.revision};
                    // A watch that ends without changes confirms the revision up to the end of its wait.
                    const bool isWaitOver = answer.objects.empty() && this->events.now() - requestedAt >= wait;
                    core.fleetUpdated(this->events.now(),
                                      FleetUpdate{.objects = answer.objects,
                                                  .revision = answer.revision,
                                                  .era = answer.era,
                                                  .requestedAt = isWaitOver ? requestedAt + wait : requestedAt});
                    const Duration pause =
                        answer.objects.empty() ? Duration{0} : this->pauseAfterUpdate(core.watchPlan().fleet);
                    this->at(pause, [this, instance, boot, chain] { this->watchFleet(instance, boot, chain); });
                });
        });
    };
    this->events.add(requestedAt + this->options.storeDelay, [this, instance, boot, chain, wait, answered] {
        if (this->continuesFleetWatch(instance, boot, chain))
            this->fleetStore.watch(this->clients.at(instance).knownVersion.revision, wait, answered);
    });
}

void StoreRequests::perform(std::size_t instance, const std::string &object, const std::function<WriteOutcome()> &work,
                            std::uint64_t call)
{
    if (!this->callbacks.report(instance, object, CallStage::Requested))
        return;
    const std::uint64_t boot = this->callbacks.boot(instance);
    const auto answer = [this, instance, boot](const WriteOutcome &outcome, Duration after) {
        this->events.add(this->events.now() + after, [this, instance, boot, outcome] {
            this->callbacks.input(instance, boot,
                                  [this, outcome](PoolCore &core) { core.writeFinished(this->events.now(), outcome); });
        });
    };
    if (!this->isReachable(instance)) {
        answer(WriteOutcome{.call = call}, this->options.storeTimeout);
        return;
    }
    this->events.add(this->events.now() + this->options.storeDelay, [this, instance, object, work, answer, call] {
        const WriteOutcome outcome = work();
        this->callbacks.report(instance, object, CallStage::Performed);
        if (this->answersLost)
            answer(WriteOutcome{.call = call}, this->options.storeTimeout);
        else
            answer(outcome, this->options.storeDelay);
    });
}

void StoreRequests::write(std::size_t instance, const WriteFleetObject &change)
{
    this->perform(
        instance, change.name, [this, change] { return this->fleetStore.write(change); }, change.call);
}

void StoreRequests::remove(std::size_t instance, const DeleteFleetObject &change)
{
    this->perform(
        instance, change.name, [this, change] { return this->fleetStore.remove(change); }, change.call);
}

} // namespace Jujubekeel

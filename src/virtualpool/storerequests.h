#pragma once

#include "core/time.h"
#include "leadership/fleetmessages.h"
#include "pool/poolcore.h"
#include "virtualfleet/eventqueue.h"
#include "virtualpool/fleetstore.h"
#include "virtualpool/virtualpooloptions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Stage of a call of an instance to the store or to the promotion API.
enum class CallStage : std::uint8_t {
    Requested, ///< not sent yet; an instance that is killed now does not send it
    Performed, ///< has taken effect; an instance that is killed now gets no answer
};

/// Requests of the instances of a VirtualPool to the store, as the daemon makes them: lists, watches and conditional
/// writes. Owned by VirtualPool.
class StoreRequests final
{
public:
    struct Callbacks
    {
        /// Runs \a work on the core of an instance unless the instance has restarted since \a boot.
        std::function<void(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work)> input;
        std::function<std::uint64_t(std::size_t instance)> boot; ///< number of starts and kills of an instance
        std::function<std::vector<ServerEntry>()> entries;
        std::function<std::shared_ptr<const RouteTable>()> routes;
        /// Called at each stage of a write. Returns false if the instance was killed at this stage.
        std::function<bool(std::size_t instance, const std::string &object, CallStage stage)> report;
    };

    StoreRequests(const VirtualPoolOptions &poolOptions, EventQueue &eventQueue, Callbacks requestCallbacks);

    [[nodiscard]] FleetStore &store() { return this->fleetStore; }
    void setAvailable(bool isAvailable) { this->available = isAvailable; }
    [[nodiscard]] bool isAvailable() const { return this->available; }
    void setReachable(std::size_t instance, bool reachable) { this->clients.at(instance).reachesStore = reachable; }
    [[nodiscard]] bool isReachable(std::size_t instance) const
    {
        return this->available && this->clients.at(instance).reachesStore;
    }
    /// Writes take effect, but their answers are lost.
    void setAnswersLost(bool lost) { this->answersLost = lost; }
    [[nodiscard]] bool areAnswersLost() const { return this->answersLost; }

    /// Forgets what an instance knew before it was started again.
    void instanceStarted(std::size_t instance);
    /// Starts and ends the requests that \a plan requires.
    void apply(std::size_t instance, const WatchPlan &plan);
    void listEntries(std::size_t instance);
    void listRoutes(std::size_t instance);
    void write(std::size_t instance, const WriteFleetObject &change);
    void remove(std::size_t instance, const DeleteFleetObject &change);

private:
    /// Requests of one instance.
    struct Client
    {
        bool reachesStore = true;
        StoreVersion knownVersion;
        WatchPlan plan{.fleet = FleetWatchMode::Suspended, .routes = false, .servers = false}; ///< last applied
        std::uint64_t fleetWatch = 0; ///< incremented when a new chain of fleet requests starts, which ends the former
        bool listsFleet = false;      ///< a chain of fleet requests is in progress
    };

    void at(Duration delay, std::function<void()> work)
    {
        this->events.add(this->events.now() + delay, std::move(work));
    }
    /// Reads one kind of objects, as long as the WatchPlan contains it, and delivers the answer.
    void list(std::size_t instance, bool WatchPlan::*followed, const std::function<void(PoolCore &core)> &deliver);
    /// \a chain is Client::fleetWatch when the chain of requests started.
    void listFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain);
    void watchFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain);
    [[nodiscard]] Duration pauseAfterUpdate(FleetWatchMode mode) const;
    [[nodiscard]] bool continuesFleetWatch(std::size_t instance, std::uint64_t boot, std::uint64_t chain);
    void perform(std::size_t instance, const std::string &object, const std::function<WriteOutcome()> &work,
                 std::uint64_t call);

    const VirtualPoolOptions &options;
    EventQueue &events;
    Callbacks callbacks;
    FleetStore fleetStore;
    std::vector<Client> clients; ///< by instance
    bool available = true;
    bool answersLost = false;
};

} // namespace Jujubekeel

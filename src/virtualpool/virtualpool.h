#pragma once

#include "pool/poolcore.h"
#include "virtualfleet/eventqueue.h"
#include "virtualpool/poolconfiguration.h"
#include "virtualpool/relayconnections.h"
#include "virtualpool/serverconnections.h"
#include "virtualpool/storerequests.h"
#include "virtualpool/virtualpooloptions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujubekeel {

/// State of a caller's session and the replies that it received.
struct VirtualCaller
{
    std::size_t instance = 0;
    SessionId session;
    bool greeted = false;
    bool closed = false;
    std::vector<CallerReply> replies;
    std::vector<TimePoint> repliedAt;
    std::optional<OutcomeError> refusal;
};

/// Messages between instances, and between instances and backend servers, by the distance that they covered.
struct VirtualTraffic
{
    std::uint64_t withinDomain = 0;
    std::uint64_t betweenDomains = 0; ///< of one region
    std::uint64_t betweenRegions = 0;
};

/// Runs several PoolCore instances with groups of backend servers and the store in virtual time, and injects faults. The
/// cores are the same as in the daemon. PoolConfiguration names the databases; servers are numbered over all groups.
/// Owned by a test or a benchmark; used by one thread.
class VirtualPool final
{
public:
    using CallerId = std::size_t;
    using OnReply = std::function<void(CallerId caller, const CallerReply &reply)>;
    using CallStage = Jujubekeel::CallStage;
    /// \a call is the name of the written object, or promotionCall.
    using OnCall = std::function<void(std::size_t instance, const std::string &call, CallStage stage)>;
    static constexpr const char *promotionCall = "promotion";
    /// A command that an instance sends to a backend server.
    using OnCommand = std::function<void(std::size_t instance, LinkId link, const ServerCommand &command)>;

    explicit VirtualPool(VirtualPoolOptions poolOptions);
    ~VirtualPool();
    VirtualPool(const VirtualPool &) = delete;
    VirtualPool &operator=(const VirtualPool &) = delete;

    void run(Duration duration) { this->events.runUntil(this->events.now() + duration); }
    [[nodiscard]] TimePoint now() const { return this->events.now(); }
    void at(Duration delay, std::function<void()> work)
    {
        this->events.add(this->events.now() + delay, std::move(work));
    }

    /// Opens a session at an instance, with a key if one is given; empty if the instance is down.
    std::optional<CallerId> openCaller(std::size_t instance, const std::string &database,
                                       const std::optional<std::string> &key = std::nullopt);
    [[nodiscard]] static std::string organisationName(std::size_t organisation)
    {
        return PoolConfiguration::organisationName(organisation);
    }
    /// Key of one of VirtualPoolOptions::organisations.
    [[nodiscard]] static std::string organisationKey(std::size_t organisation)
    {
        return PoolConfiguration::organisationKey(organisation);
    }
    [[nodiscard]] std::size_t organisationCount() const { return this->options.organisations; }
    /// Messages that left a failure domain or a region since the start.
    [[nodiscard]] const VirtualTraffic &traffic() const { return this->sent; }
    void send(CallerId caller, Statement statement);
    void closeCaller(CallerId caller);
    [[nodiscard]] const VirtualCaller &caller(CallerId id) const { return this->callers.at(id); }
    void setOnReply(OnReply handler) { this->onReply = std::move(handler); }
    void setOnCall(OnCall handler) { this->onCall = std::move(handler); }
    void setOnCommand(OnCommand handler) { this->onCommand = std::move(handler); }

    // Faults.
    void killInstance(std::size_t instance);
    void startInstance(std::size_t instance);
    /// Suspends the instance; its inputs are delivered when the time is over.
    void freezeInstance(std::size_t instance, Duration duration);
    void setStoreReachable(std::size_t instance, bool reachable) { this->requests->setReachable(instance, reachable); }
    void setStoreAvailable(bool available) { this->requests->setAvailable(available); }
    /// Ends an outage of the store, which returns from the copy that FleetStore::takeCopy() took.
    void returnStoreFromCopy();
    /// Drops all messages between two instances without closing their connections.
    void isolateInstances(std::size_t left, std::size_t right, bool isolated);
    /// Drops all messages between an instance and a server without closing their connections.
    void isolateInstanceFromServer(std::size_t instance, std::size_t server, bool isolated);
    void stopServer(std::size_t server);
    void startServer(std::size_t server);
    void setDraining(std::size_t server);
    /// Removes or restores the directory entry of a server, which goes on running: it does not reach the store.
    void setListed(std::size_t server, bool listed);
    /// Writes to the store and promotion calls take effect, but their answers are lost.
    void setStoreAnswersLost(bool lost) { this->requests->setAnswersLost(lost); }

    [[nodiscard]] std::size_t instanceCount() const { return this->nodes.size(); }
    [[nodiscard]] std::size_t groupCount() const { return this->servers->groupCount(); }
    [[nodiscard]] StatementGroup &group(std::size_t index = 0) { return this->servers->group(index); }
    [[nodiscard]] FleetStore &store() { return this->requests->store(); }
    [[nodiscard]] const PoolCore *core(std::size_t instance) const { return this->nodes.at(instance)->core.get(); }
    [[nodiscard]] const std::string &instanceDomain(std::size_t instance) const;
    /// Delivers what a member has in flight at each server to another one, after the delay between their domains.
    void reportLoads(std::size_t from, std::size_t to);
    void requestStop(std::size_t instance);
    /// Log lines of all instances: "instance event key=value ...".
    [[nodiscard]] const std::vector<std::string> &logLines() const { return this->lines; }
    /// Adds a line with the current time to the log.
    void note(const std::string &text);
    [[nodiscard]] std::size_t countLogs(std::string_view event) const;
    [[nodiscard]] std::uint64_t promotions() const { return this->promotionCount; }
    /// Descriptions of promotion calls whose fencing token was not above those of other holders.
    [[nodiscard]] const std::vector<std::string> &fencingViolations() const { return this->fencingMisuse; }
    /// Sends a route table for \a databases to all instances that reach the store, after the store's delay. An instance
    /// uses it if its version is higher than that of its current table.
    void publishRoutes(std::uint64_t version, const std::set<std::string> &databases);

    /// As publishRoutes() with the same databases. \a organisations is null if the configuration names none.
    void publishOrganisations(std::uint64_t version, std::shared_ptr<const OrganisationTable> organisations,
                              const std::set<std::string> &publicDatabases = {});
    /// The same for a configuration with other VirtualPoolOptions::namedOrganisations.
    void publishOrganisations(std::uint64_t version, std::vector<Organisation> organisations);
    /// Number of further databases in each route table, to make it large.
    void setFillerRoutes(std::size_t count) { this->configuration.fillerRoutes = count; }

    static constexpr const char *primaryRoute = PoolConfiguration::primaryRoute;
    static constexpr const char *boundedRoute = PoolConfiguration::boundedRoute;
    static constexpr const char *ownRoute = PoolConfiguration::ownRoute;

private:
    struct Node
    {
        std::unique_ptr<PoolCore> core; ///< null: down
        std::uint64_t boot = 0;         ///< incremented at each start and kill
        std::set<std::size_t> isolatedInstances;
        TimePoint frozenUntil{0};
        TimePoint tickAt{0};
    };

    /// Runs \a work on the core of the instance unless it has restarted since \a boot; waits while it is frozen.
    void input(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work);
    /// Performs the actions of the core until there are none left, then schedules its next tick.
    void performActions(std::size_t instance);
    void perform(std::size_t instance, PoolAction &action);
    /// Checks the fencing token of a promotion call.
    void recordToken(const PromoteServer &call);
    void promote(std::size_t instance, const PromoteServer &call);
    /// Returns false if the instance was killed at this stage.
    bool reportCall(std::size_t instance, const std::string &call, CallStage stage);
    void announceServers();
    void scheduleTick(std::size_t instance);
    /// One-way delay between two domains.
    [[nodiscard]] Duration domainDelay(const std::string &left, const std::string &right) const;
    [[nodiscard]] const std::string &regionOf(const std::string &domain) const;
    void countMessage(const std::string &left, const std::string &right);

    VirtualPoolOptions options;
    EventQueue events;
    PoolConfiguration configuration;
    std::unique_ptr<ServerConnections> servers;
    std::unique_ptr<StoreRequests> requests;
    std::unique_ptr<RelayConnections> relayConnections;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<VirtualCaller> callers;
    std::map<std::pair<std::size_t, std::uint64_t>, CallerId> callerOf; ///< (instance, packed session)
    OnReply onReply;
    OnCall onCall;
    OnCommand onCommand;
    std::vector<std::string> lines;
    std::uint64_t promotionCount = 0;
    std::uint64_t highestToken = 0; ///< of all promotion calls
    std::string highestTokenHolder;
    std::vector<std::string> fencingMisuse;
    VirtualTraffic sent;
};

} // namespace Jujubekeel

#pragma once

#include "pool/poolcore.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/seededrandom.h"
#include "virtualpool/fleetstore.h"
#include "virtualpool/relayconnections.h"
#include "virtualpool/statementgroup.h"

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

struct VirtualPoolOptions
{
    std::uint32_t instances = 3;     ///< instance i is in failure domain i modulo the number of domains
    bool relays = false;             ///< members execute statements that other instances relay to them
    std::uint32_t organisations = 0; ///< callers need the key of one of them; 0: callers need no key
    double organisationRate = 1300;  ///< sum of their rate limits, in operations per second
    std::vector<std::string>
        instanceDomains; ///< instance i is in the domain i modulo their number; empty: group.domains
    std::map<std::string, std::string, std::less<>> regionOf; ///< by domain; empty: each domain is a region
    Duration regionDelay{0};                                  ///< one way, between regions; 0: as farDelay
    StatementGroupOptions group;
    PoolOptions pool;
    LeadershipOptions leadership;
    Duration nearDelay = std::chrono::microseconds(300); ///< one way, within a failure domain
    Duration farDelay = std::chrono::milliseconds(3);    ///< one way, between failure domains
    Duration storeDelay = std::chrono::milliseconds(2);  ///< one way
    Duration watchWait = std::chrono::milliseconds(1000);
    Duration initialWatchWait = std::chrono::milliseconds(60);    ///< as watchWait, until leadership is verified
    Duration batchedWatchPause = std::chrono::milliseconds(1000); ///< between watches in mode FleetWatchMode::Batched
    Duration memberWatchPause = std::chrono::milliseconds(60);    ///< the same in mode FleetWatchMode::Continuous
    Duration watchTimeout = std::chrono::milliseconds(1500);      ///< after the wait, until a watch fails
    Duration storeTimeout = std::chrono::milliseconds(2000);      ///< of a write without an answer
    Duration latencyObjective = Route{}.latencyObjective;         ///< of all routes
    bool publicRoutes = false; ///< callers need no key, although work runs in the name of organisations
    std::vector<Organisation> namedOrganisations; ///< the key of each is its name; empty: callers need no key
    std::uint64_t seed = 1;
};

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

/// Runs several PoolCore instances with one group of backend servers and the store in virtual time, and injects faults.
/// The cores are the same as in the daemon. Databases: `primary`, `bounded` (reads up to 1.5 s old) and `own` (reads
/// see the session's own writes, others up to 2.5 s old), all on the one group. Owned by a test or a benchmark; used by
/// one thread.
class VirtualPool final
{
public:
    using CallerId = std::size_t;
    using OnReply = std::function<void(CallerId caller, const CallerReply &reply)>;
    /// Stage of a call of an instance to the store or to the promotion API.
    enum class CallStage : std::uint8_t {
        Requested, ///< not sent yet; an instance that is killed now does not send it
        Performed, ///< has taken effect; an instance that is killed now gets no answer
    };
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
    [[nodiscard]] static std::string organisationName(std::size_t organisation);
    /// Key of one of VirtualPoolOptions::organisations.
    [[nodiscard]] static std::string organisationKey(std::size_t organisation);
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
    void setStoreReachable(std::size_t instance, bool reachable) { this->nodes.at(instance)->reachesStore = reachable; }
    void setStoreAvailable(bool available) { this->storeAvailable = available; }
    /// Ends an outage of the store, which returns from the copy that FleetStore::takeCopy() took.
    void returnStoreFromCopy();
    /// Drops all messages between two instances without closing their connections.
    void isolateInstances(std::size_t left, std::size_t right, bool isolated);
    /// Drops all messages between an instance and a server without closing their connections.
    void isolateInstanceFromServer(std::size_t instance, std::size_t server, bool isolated);
    void stopServer(std::size_t server);
    void startServer(std::size_t server);
    void setDraining(std::size_t server);
    /// Writes to the store and promotion calls take effect, but their answers are lost.
    void setStoreAnswersLost(bool lost) { this->storeAnswersLost = lost; }

    [[nodiscard]] std::size_t instanceCount() const { return this->nodes.size(); }
    [[nodiscard]] StatementGroup &group() { return *this->servers; }
    [[nodiscard]] FleetStore &store() { return this->fleetStore; }
    [[nodiscard]] const PoolCore *core(std::size_t instance) const { return this->nodes.at(instance)->core.get(); }
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
    void setFillerRoutes(std::size_t count) { this->fillerRoutes = count; }

    static constexpr const char *primaryRoute = "primary";
    static constexpr const char *boundedRoute = "bounded";
    static constexpr const char *ownRoute = "own";

private:
    struct Node
    {
        std::unique_ptr<PoolCore> core; ///< null: down
        std::uint64_t boot = 0;         ///< incremented at each start and kill
        bool reachesStore = true;
        std::set<std::size_t> isolatedServers;
        std::set<std::size_t> isolatedInstances;
        TimePoint frozenUntil{0};
        TimePoint tickAt{0};
        StoreVersion knownVersion;
        WatchPlan plan;               ///< last applied
        std::uint64_t fleetWatch = 0; ///< incremented when a new chain of fleet requests starts, which ends the former
        bool listsFleet = false;      ///< a chain of fleet requests is in progress
    };
    struct ServerConnection
    {
        std::size_t instance = 0;
        std::uint64_t boot = 0;
        LinkId link;
        std::size_t server = 0;
    };

    /// Runs \a work on the core of the instance unless it has restarted since \a boot; waits while it is frozen.
    void input(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work);
    /// Performs the actions of the core until there are none left, then schedules its next tick.
    void performActions(std::size_t instance);
    void perform(std::size_t instance, PoolAction &action);
    void openLink(std::size_t instance, const OpenLink &action);
    void deliver(std::uint64_t connection, const ServerMessage &message);
    void dropped(std::uint64_t connection);
    /// Starts and ends the requests to the store that the core's WatchPlan requires.
    void applyWatchPlan(std::size_t instance);
    /// Reads one kind of objects, as long as the WatchPlan contains it, and delivers the answer.
    void list(std::size_t instance, bool WatchPlan::*followed, const std::function<void(PoolCore &core)> &deliver);
    void listEntries(std::size_t instance);
    void listRoutes(std::size_t instance);
    /// \a chain is Node::fleetWatch when the chain of requests started.
    void listFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain);
    void watchFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain);
    [[nodiscard]] Duration pauseAfterUpdate(FleetWatchMode mode) const;
    [[nodiscard]] bool continuesFleetWatch(std::size_t instance, std::uint64_t boot, std::uint64_t chain);
    /// Checks the fencing token of a promotion call.
    void recordToken(const PromoteServer &call);
    void writeStore(std::size_t instance, const std::string &object, const std::function<WriteOutcome()> &work,
                    std::uint64_t call);
    void promote(std::size_t instance, const PromoteServer &call);
    /// Returns false if the instance was killed at this stage.
    bool reportCall(std::size_t instance, const std::string &call, CallStage stage);
    void announceServers();
    void scheduleTick(std::size_t instance);
    [[nodiscard]] std::vector<ServerEntry> entries() const;
    [[nodiscard]] std::shared_ptr<const RouteTable> makeRoutes() const;
    [[nodiscard]] bool isStoreReachable(std::size_t instance) const;
    [[nodiscard]] Duration delay(std::size_t instance, std::size_t server) const;
    /// One-way delay between two domains.
    [[nodiscard]] Duration domainDelay(const std::string &left, const std::string &right) const;
    [[nodiscard]] const std::string &instanceDomain(std::size_t instance) const;
    [[nodiscard]] const std::string &regionOf(const std::string &domain) const;
    void countMessage(const std::string &left, const std::string &right);

    VirtualPoolOptions options;
    EventQueue events;
    SeededRandom random;
    FleetStore fleetStore;
    std::unique_ptr<StatementGroup> servers;
    std::unique_ptr<RelayConnections> relayConnections;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::uint64_t, ServerConnection> serverConnections;                 ///< by connection
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> connectionOf; ///< (instance, packed link)
    std::uint64_t nextConnection = 1;
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
    std::uint64_t routeVersion = 1;
    std::set<std::string> databases{primaryRoute, boundedRoute, ownRoute};
    std::set<std::string> publicDatabases;
    std::shared_ptr<const OrganisationTable> organisations;
    std::size_t fillerRoutes = 0;
    bool storeAvailable = true;
    bool storeAnswersLost = false;
};

} // namespace Jujubekeel

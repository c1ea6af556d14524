#pragma once

#include "core/proxycore.h"
#include "fakes/fakebackend.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/fault.h"
#include "virtualfleet/faultrecord.h"
#include "virtualfleet/fleetlinks.h"
#include "virtualfleet/fleetplatform.h"
#include "virtualfleet/history.h"
#include "virtualfleet/peermessagesize.h"
#include "virtualfleet/seededrandom.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct VirtualFleetOptions
{
    FleetLayout layout;
    std::string rules; ///< initial rules, accepted before the start
    std::uint64_t seed = 1;
    Duration latency = std::chrono::milliseconds(1);        ///< one way, between any two nodes except callers
    Duration jitter = std::chrono::microseconds(200);       ///< added to each message, evenly distributed
    Duration callerLatency = std::chrono::milliseconds(1);  ///< one way
    Duration connectTime = std::chrono::milliseconds(10);   ///< opening a backend connection
    Duration connectTimeout = std::chrono::seconds(3);      ///< of a connection attempt without an answer
    Duration platformTimeout = std::chrono::seconds(2);     ///< of a call without an answer, after the wait of a watch
    Duration deadSessionTimeout = std::chrono::seconds(10); ///< of a session whose client is unreachable
    Duration serviceTime = std::chrono::milliseconds(3);    ///< of one statement
    Duration listLag = std::chrono::seconds(5);             ///< of the platform's instance list
    ProxyOptions proxy;
};

/// Result of a request, as its caller receives it.
struct CallerEvent
{
    std::uint64_t ticket = 0;
    CallerOutcome outcome = CallerOutcome::Answered;
    CallerAnswer answer;
};

enum class WirePoint : std::uint8_t {
    CallerArrived,  ///< a caller's request has reached its entry proxy
    RequestSent,    ///< a proxy has sent a request to a backend server
    RequestArrived, ///< the backend server has received the request
    AnswerSent,     ///< the backend server has sent the answer
};

/// Progress of a request, for injecting faults at a given step. For CallerArrived, `backend` is the primary of the
/// database.
struct WireEvent
{
    WirePoint point = WirePoint::RequestSent;
    BackendOperation operation = BackendOperation::Status;
    std::uint32_t proxy = 0;
    std::uint32_t backend = 0;
    bool write = false;
};

/// Traffic of the fleet since the last reset.
struct FleetTraffic
{
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0; ///< estimated with estimateBytes()
    std::uint64_t platformCalls = 0;
    std::uint64_t platformFailures = 0; ///< calls without an answer
};

/// Simulates the proxies, backend servers and platform of one user in virtual time and injects faults. Deterministic
/// for a seed. Owned by the test or the benchmark; used by one thread.
class VirtualFleet final
{
public:
    explicit VirtualFleet(VirtualFleetOptions options);

    [[nodiscard]] TimePoint now() const { return this->queue.now(); }
    void schedule(TimePoint due, std::function<void()> work) { this->queue.add(due, std::move(work)); }
    void runUntil(TimePoint end);

    /// Injects a fault at the current time.
    void apply(const Fault &fault);
    /// Ends all faults: heals links, restarts servers and proxies, resumes proxies and restores the platform.
    void healAll();
    void cutLink(std::uint32_t left, std::uint32_t right);
    void healLink(std::uint32_t left, std::uint32_t right);
    // Node numbers, for links.
    [[nodiscard]] std::uint32_t proxyNode(std::uint32_t proxy) const { return proxy; }
    [[nodiscard]] std::uint32_t backendNode(std::uint32_t backend) const;
    [[nodiscard]] std::uint32_t platformNode() const;
    [[nodiscard]] std::uint32_t callerNode() const;

    /// Sends a caller's request to a proxy. The ticket must be unique in the run.
    void send(std::uint32_t proxy, const CallerRequest &request);
    /// The caller closes its connection.
    void abandon(std::uint64_t ticket);

    void setCallerHandler(std::function<void(const CallerEvent &)> handler)
    {
        this->callerHandler = std::move(handler);
    }
    void setWireHandler(std::function<void(const WireEvent &)> handler) { this->wireHandler = std::move(handler); }

    /// Called for each log line of a proxy, to trace a run.
    void setLogHandler(std::function<void(std::uint32_t proxy, const WriteLog &line)> handler)
    {
        this->logHandler = std::move(handler);
    }

    /// Server that is the primary of the highest term, including killed servers.
    [[nodiscard]] std::uint32_t primaryOf(std::uint32_t database) const;
    /// Proxy that holds the lock of a server; the number of proxies if none does.
    [[nodiscard]] std::uint32_t ownerOf(std::uint32_t backend) const;
    [[nodiscard]] bool isProxyUp(std::uint32_t proxy) const { return this->proxies.at(proxy).core != nullptr; }
    [[nodiscard]] const ProxyCore *core(std::uint32_t proxy) const { return this->proxies.at(proxy).core.get(); }
    [[nodiscard]] std::uint64_t incarnation(std::uint32_t proxy) const { return this->proxies.at(proxy).incarnation; }
    [[nodiscard]] const FleetLayout &layout() const { return this->options.layout; }
    [[nodiscard]] const FakePlatform &platform() const { return this->fleetPlatform.fake(); }
    [[nodiscard]] const FleetTraffic &traffic() const { return this->trafficCounts; }
    void resetTraffic() { this->trafficCounts = FleetTraffic{}; }
    /// Hash over the state of all proxies and the logs of all servers.
    [[nodiscard]] std::uint64_t stateHash() const;
    /// Adds the state of the servers, the rule changes, outages and stops to a history.
    void fillHistory(History &history) const;

private:
    friend class FaultInjector;

    struct ProxyNode
    {
        std::unique_ptr<ProxyCore> core;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::vector<Input> held;                        ///< inputs that arrived while the proxy was paused
        std::map<ConnectionId, std::uint64_t> sessions; ///< by connection of the core: its session number
        std::set<std::uint64_t> tickets;                ///< requests without an answer
    };
    struct BackendNode
    {
        std::unique_ptr<FakeBackend> server;
        bool up = true;
        std::uint64_t starts = 1;
        TimePoint wakeAt{0};
        std::vector<TimePoint> workStarts;
    };
    /// One connection between a proxy and a server. Each side is notified of a close by the other side with a message.
    struct Connection
    {
        std::uint32_t proxy = 0;
        std::uint64_t incarnation = 0;
        ConnectionId core; ///< id of the connection in the core of the proxy
        std::uint32_t backend = 0;
        bool control = false;
        bool openAtProxy = true;
        bool openAtBackend = false;
        bool silent = false; ///< a message was lost; all further messages are dropped
        BackendOperation operation = BackendOperation::Status;
        bool write = false;
        TimePoint lastToBackend{0};
        TimePoint lastToProxy{0};
    };

    // Proxies.
    void startProxy(std::uint32_t proxy);
    void endProxy(std::uint32_t proxy);
    void resumeProxy(std::uint32_t proxy);
    void scheduleTick(std::uint32_t proxy, std::uint64_t incarnation);
    void deliver(std::uint32_t proxy, std::uint64_t incarnation, Input input);
    /// Delivers the buffered messages of healed links.
    void deliverHeld();
    /// Difference between a proxy's clock and virtual time.
    [[nodiscard]] Duration clockOffset(std::uint32_t proxy) const;
    void step(std::uint32_t proxy, const Input &input);
    void perform(std::uint32_t proxy, Action &action);
    void sendPeer(std::uint32_t from, std::uint32_t to, PeerMessage message);
    void answerCaller(std::uint32_t proxy, CallerAnswer answer);

    // Backend servers.
    void openConnection(std::uint32_t proxy, const OpenConnection &action);
    void sendToBackend(std::uint32_t proxy, SendToBackend action);
    void closeFromProxy(std::uint64_t session);
    /// Closes a session at its server and forgets the connection.
    void closeAtBackend(std::uint64_t session);
    void connectionLost(std::uint64_t session);
    void flushBackend(std::uint32_t backend);
    void sendReplication(std::uint32_t from, std::uint32_t to, ReplicationMessage message);
    void killBackend(std::uint32_t backend);
    void restartBackend(std::uint32_t backend);

    void updateOutages();
    void notifyCaller(std::uint64_t ticket, CallerOutcome outcome, CallerAnswer answer);

    VirtualFleetOptions options;
    SeededRandom random;
    EventQueue queue;
    FleetLinks links;
    FleetTraffic trafficCounts;
    FleetPlatform fleetPlatform;
    FaultRecord record;
    std::vector<ProxyNode> proxies;
    std::vector<BackendNode> backends;
    std::map<std::uint64_t, Connection> connections; ///< by session
    std::uint64_t nextSession = 1;
    std::function<void(const CallerEvent &)> callerHandler;
    std::function<void(const WireEvent &)> wireHandler;
    std::function<void(std::uint32_t, const WriteLog &)> logHandler;
};

} // namespace Jujubekeel

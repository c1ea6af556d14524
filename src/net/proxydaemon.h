#pragma once

#include "net/backendconnections.h"
#include "net/callerserver.h"
#include "net/corethread.h"
#include "net/diagnosticstore.h"
#include "net/logger.h"
#include "net/operatorserver.h"
#include "net/peerlinks.h"
#include "net/platformclient.h"
#include "net/trafficcounters.h"
#include "settings/proxysettings.h"

#include <functional>
#include <memory>
#include <string>

namespace Jujubekeel {

/// The running daemon: ProxyCore on its own thread, with the listeners and connections that link it to the network. All
/// decisions are made by ProxyCore. Owned by the program's main function or by a test.
class ProxyDaemon final
{
public:
    /// Binds all three listeners; throws std::exception if one fails. \a stopped is called from the core thread when
    /// the core emits StopProcess; it must not block, and stop() must then be called from another thread.
    ProxyDaemon(ProxySettings settings, LoggerOptions logging, std::function<void()> stopped);
    /// Calls stop().
    ~ProxyDaemon();
    ProxyDaemon(const ProxyDaemon &) = delete;
    ProxyDaemon &operator=(const ProxyDaemon &) = delete;

    void start();
    /// Starts a planned stop; any thread. Its end is reported through the function given to the constructor.
    void requestStop();
    /// Waits a limited time until pending answers and queued peer messages are sent, then ends all threads and
    /// connections.
    void stop();

    [[nodiscard]] const std::string &callerAddress() const { return this->callers->address(); }
    [[nodiscard]] const std::string &operatorAddress() const { return this->operators->address(); }
    [[nodiscard]] std::string peerAddress() const { return this->peers->address(); }

private:
    void perform(Action &action);
    [[nodiscard]] std::string status();
    [[nodiscard]] std::string rules();
    [[nodiscard]] std::string metrics();
    std::optional<std::string> preview(const std::string &path, FailureReason &reason);

    ProxySettings settings;
    std::function<void()> stopped;
    Logger logger;
    TrafficCounters counters;
    DiagnosticStore diagnostics;
    bool running = false;
    // Members are destroyed in reverse order, so that everything that posts inputs ends before the core thread.
    std::unique_ptr<CoreThread> core;
    std::unique_ptr<BackendConnections> backends;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<PeerLinks> peers;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<OperatorServer> operators;
};

} // namespace Jujubekeel

#pragma once

#include "core/fleetlayout.h"
#include "core/id.h"
#include "core/proxyoptions.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Limits of the process: threads, sockets and memory, none of which the decision library uses.
struct ProcessLimits
{
    std::uint32_t callerThreads = 16;                ///< threads that serve callers' connections
    std::uint32_t operatorThreads = 2;               ///< threads that serve operators' connections
    std::uint32_t backendThreads = 64;               ///< threads that work on backend servers, one for each connection
    std::uint32_t maxConnections = 1024;             ///< open callers' connections; more are refused
    std::uint32_t maxRequestBytes = 1024U * 1024U;   ///< limit for the body of one request
    Duration idleTimeout = std::chrono::seconds(30); ///< callers' connections without a request are closed
    Duration connectTimeout = std::chrono::milliseconds(500); ///< limit for opening a connection to a server or a peer
    std::uint32_t explainLimit = 10000;                       ///< decision records kept for `explain`
    std::uint32_t spanLimit = 20000;                          ///< spans kept for `trace`
};

/// All settings that a daemon or the operators' command reads at its start. Filled by SettingsLoader, read-only
/// afterwards.
struct ProxySettings
{
    FleetLayout layout;
    ProxyOptions options; ///< options.session.tokenKeys holds the keys of session tokens
    ProcessLimits limits;
    InstanceId self;                       ///< invalid if the file names no instance (operators' command only)
    std::string platformAddress;           ///< "ip:port" of the platform's object API and instance list
    std::vector<std::string> peerKeys;     ///< one or two; the first is presented to peers, all are accepted
    std::vector<std::string> operatorKeys; ///< one or two; the first is presented to instances, all are accepted
};

} // namespace Jujubekeel

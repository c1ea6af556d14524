#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

/// Limits of the statement pool. Durations are on the boot-time clock, which counts suspension.
struct PoolOptions
{
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string, std::less<>> regionOf; ///< by failure domain

    std::uint32_t expectedInstances = 6; ///< divides a server's connections until more members are known
    std::uint32_t linksPerServer = 3;    ///< connections of this instance to one backend server, at most
    std::uint32_t spareConnections = 2;  ///< of each server, kept free for restarts and for promotion

    std::string relayAddress;       ///< "ip:port" where work is taken from other instances; empty: never
    std::uint32_t minMembers = 9;   ///< fleets up to this size have no other instances
    std::uint32_t maxMembers = 16;  ///< each member reads every change of the fleet's objects
    std::uint32_t relayLinks = 24;  ///< connections to one member, at most
    std::uint32_t relayTargets = 3; ///< members that one instance uses, the nearest ones
    Duration relaySilence = std::chrono::milliseconds(500); ///< a member without an answer for this long is used last

    Duration queueWait = std::chrono::milliseconds(800);         ///< wait for a connection before Busy
    Duration primaryWait = std::chrono::milliseconds(1800);      ///< the same while the primary is being replaced
    Duration openTimeout = std::chrono::milliseconds(1000);      ///< connect and greeting
    Duration initialRetryDelay = std::chrono::milliseconds(100); ///< pause after a failed connect; doubles
    Duration maxRetryDelay = std::chrono::milliseconds(800);
    Duration reconnectDelay = std::chrono::milliseconds(20); ///< before a broken connection is replaced
    Duration laggingPause = std::chrono::milliseconds(100);  ///< a replica that lacked a position is passed over
    Duration maxLaggingPause = std::chrono::milliseconds(800);
    Duration sampleInterval = std::chrono::milliseconds(20); ///< between two kept positions of a primary
    Duration sampleRetention = std::chrono::seconds(4);
    Duration drainGrace = std::chrono::seconds(4); ///< a draining primary without successor gets new work this long
    Duration crossDomainCost = std::chrono::milliseconds(3); ///< added to the expected wait when choosing a server
    Duration crossRegionCost = std::chrono::milliseconds(20);
    Duration authorityLease = std::chrono::milliseconds(6000); ///< age up to which the authority record is acted on

    // Planned stop, counted from its request, for a process that is killed after 6 s.
    Duration stopDrainDelay = std::chrono::milliseconds(2200); ///< idle sessions stay until traffic has moved away
    Duration stopTransactionsAfter = std::chrono::milliseconds(3400); ///< open transactions are rolled back
    Duration stopNewWorkAfter = std::chrono::milliseconds(4300);      ///< new statements are refused
    Duration stopLimit = std::chrono::milliseconds(5300);             ///< the process ends in any case

    std::size_t resultLimit = std::size_t{4} * 1024 * 1024; ///< bytes of one result
    std::size_t backlogLimit = 64;                          ///< statements that a caller may send ahead
};

} // namespace Jujubekeel

#pragma once

#include "core/time.h"
#include "placing/placementrule.h"

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

/// Members to which an instance prefers to relay the work of one organisation, so that few members need connections in
/// its name.
enum class MemberAffinity : std::uint8_t {
    None,   ///< any member
    Region, ///< some in the instance's own region
    Fleet,  ///< the same ones for all instances
};

/// Limits and times of the statement pool. Durations are on the boot-time clock, which also runs during suspension.
struct PoolOptions
{
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string, std::less<>> regionOf; ///< by failure domain

    /// Region of a failure domain; empty if it is unknown.
    [[nodiscard]] std::string_view findRegion(std::string_view domain) const
    {
        const auto found = this->regionOf.find(domain);
        if (found != this->regionOf.end())
            return found->second;
        return domain == this->failureDomain ? this->region : std::string_view();
    }

    bool requiresKeys = false; ///< callers need a key even if the configuration names no organisation

    bool adaptivePacing = false;  ///< the work for a backend server is limited by how it answers
    bool queueByObjective = true; ///< work that can be answered within its latency objective goes before late work

    PlacementRule placement = PlacementRule::ShortestWait;
    /// Factor on the expected wait of the primary for other reads: it is left to writes and reads of `primary` routes,
    /// which can't run elsewhere, unless the replicas are this much more loaded.
    std::int64_t primaryReadFactor = 2;
    Duration loadReportAge = std::chrono::milliseconds(300); ///< older reports of other members' work are not used

    bool firstStart = false; ///< the fleet starts for the first time: there is nothing that the store could have lost

    std::uint32_t expectedInstances = 6;   ///< a server's connections are divided by this many at least
    std::uint32_t linksPerServer = 3;      ///< connections of this instance to one backend server, at most
    std::uint32_t handshakesPerServer = 2; ///< of this instance at a time, each of which takes a slot of the server
    /// After a start a server may still hold this instance's earlier connections for this long, if the instance lost
    /// power; until then only connections that fit beside them are opened. 0: not considered.
    Duration connectionLinger{0};
    /// Expected time until a new connection to a server can be used: 12 ms in a slot and two round trips.
    Duration handshakeCost = std::chrono::milliseconds(15);
    Duration linkHold = std::chrono::milliseconds(50); ///< an organisation with waiting work keeps a link this long
    std::uint32_t spareConnections = 2;                ///< of each server; left for restarts and for control commands

    std::string relayAddress;       ///< "ip:port" for work that other instances relay; empty: none is accepted
    std::uint32_t minMembers = 9;   ///< in fleets up to this size every instance is a member
    std::uint32_t maxMembers = 16;  ///< limited because each member reads every change of the fleet's objects
    std::uint32_t relayLinks = 24;  ///< connections to one member, at most
    std::uint32_t relayTargets = 3; ///< members to which one instance relays, those with the shortest wait
    MemberAffinity memberAffinity = MemberAffinity::Region;
    /// Members that an organisation does not prefer count as this much slower. More than handshakeCost, because the
    /// connection that they open there takes one from another organisation, which then needs a handshake as well.
    Duration otherMemberCost = std::chrono::milliseconds(35);
    std::uint32_t maxPreferredMembers = 4;                  ///< of one organisation, for each region
    Duration relayPause = std::chrono::seconds(1);          ///< a member that refused work without waiting is used last
    Duration relaySilence = std::chrono::milliseconds(500); ///< a member without an answer for this long is used last

    // Configuration and members of the fleet, as members report them to relaying instances.
    bool feedDifferences =
        true; ///< what changed is asked for, and compressed; false: whole tables, as earlier releases
    Duration feedHold = std::chrono::milliseconds(700);          ///< without news a request is answered after this time
    Duration feedAnswerTimeout = std::chrono::milliseconds(600); ///< added to feedHold; then another member is asked
    Duration feedMaxAge = std::chrono::milliseconds(1500);       ///< a member with an older view of the store is left
    Duration feedFallback = std::chrono::milliseconds(2200); ///< without a current report the store is read directly
    Duration feedFallbackSpread = std::chrono::milliseconds(500); ///< added to feedFallback, differs by instance
    Duration feedSourcePause = std::chrono::seconds(2);  ///< a member that has failed is not asked again before
    std::size_t feedTextLimit = std::size_t{256} * 1024; ///< bytes; a larger configuration is read from the store
    std::size_t feedTextLimitWithKeys = std::size_t{960} * 1024; ///< the same if callers need keys; messages are 1 MiB
    std::uint32_t feedHistoryVersions = 16;                 ///< earlier versions from which differences can be reported
    std::size_t feedHistoryBytes = std::size_t{512} * 1024; ///< of the names of what they changed

    Duration queueWait = std::chrono::milliseconds(800);    ///< wait for a connection before Busy
    Duration primaryWait = std::chrono::milliseconds(1800); ///< the same while the primary is unavailable
    /// After a start, sessions wait this long for a member's report that no newer configuration is known.
    Duration confirmationWait = std::chrono::milliseconds(300);
    Duration withdrawnTransactionWait = std::chrono::seconds(2); ///< for the next statement of an open transaction
    Duration withdrawnKeyWait = std::chrono::seconds(1);         ///< a statement at a server may still be answered
    Duration openWait = std::chrono::milliseconds(1500);         ///< a new session waits for the first configuration
    Duration openTimeout = std::chrono::milliseconds(1000);      ///< of connect and greeting together
    Duration initialRetryDelay = std::chrono::milliseconds(100); ///< after a failed connect; doubles
    Duration maxRetryDelay = std::chrono::milliseconds(800);
    Duration reconnectDelay = std::chrono::milliseconds(20); ///< before a lost connection is replaced
    Duration laggingPause = std::chrono::milliseconds(100);  ///< a replica that lacked a position is not used; doubles
    Duration maxLaggingPause = std::chrono::milliseconds(800);
    Duration sampleInterval = std::chrono::milliseconds(20); ///< between two stored positions of a primary
    Duration sampleRetention = std::chrono::seconds(4);      ///< of the stored positions
    Duration drainGrace = std::chrono::seconds(4); ///< a draining primary without a successor still gets new work
    Duration crossDomainCost = std::chrono::milliseconds(3);   ///< added to the wait expected in another domain
    Duration crossRegionCost = std::chrono::milliseconds(20);  ///< the same, in another region
    Duration authorityLease = std::chrono::milliseconds(6000); ///< validity of a verification of leadership

    // Planned stop: times since its request, for a process that is killed after 6 s.
    Duration stopDrainDelay = std::chrono::milliseconds(2200); ///< idle sessions stay open until traffic has moved away
    Duration stopTransactionsAfter = std::chrono::milliseconds(3400); ///< open transactions are rolled back
    Duration stopNewWorkAfter = std::chrono::milliseconds(4300);      ///< new statements are refused
    Duration stopLimit = std::chrono::milliseconds(5300);             ///< the process ends even if work is in progress

    std::size_t resultLimit = std::size_t{4} * 1024 * 1024;         ///< bytes of one result
    std::size_t preparedTextLimit = std::size_t{1024} * 1024 - 128; ///< bytes; a longer message could not be sent on
    std::size_t preparedBytes = std::size_t{64} * 1024;      ///< statements prepared on a link; with more it is reset
    std::size_t sessionBytes = std::size_t{2} * 1024 * 1024; ///< values and prepared statements of one session
    std::size_t backlogLimit = 64; ///< statements that a caller may send before the reply to an earlier one
    std::size_t backlogBytes = std::size_t{2} * 1024 * 1024; ///< and their size together
};

} // namespace Jujubekeel

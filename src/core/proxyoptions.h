#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// What a primary needs to acknowledge a write: confirmation by the database group, a lease on the platform, or both.
enum class AuthorityPolicy : std::uint8_t { GroupConfirmation, PlatformLease, LeaseAndConfirmation };

/// Options of ProxyCore, one struct for each system. Every member has its unit in its type or its comment.
struct OwnershipOptions
{
    Duration pingInterval = std::chrono::milliseconds(250);   ///< between pings on a control connection
    Duration pingTimeout = std::chrono::milliseconds(600);    ///< a control connection without answer is closed
    Duration lockTimeout = std::chrono::seconds(2);           ///< the server closes a silent control connection
    Duration candidateDelay = std::chrono::milliseconds(300); ///< each rank waits this much longer for the lock
    Duration handoverAfter = std::chrono::seconds(5);         ///< a better candidate must be live for this long
    Duration preemptAfter = std::chrono::seconds(3);          ///< the lock holder was silent for this long
    Duration retryDelay = std::chrono::milliseconds(100);     ///< first pause after a failed attempt; doubles
    Duration maxRetryDelay = std::chrono::seconds(2);
    std::uint32_t controlReserve = 2;             ///< connections reserved for control
    Duration idleProbe = std::chrono::seconds(5); ///< probe interval of idle work connections
};

struct AuthorityOptions
{
    AuthorityPolicy policy = AuthorityPolicy::GroupConfirmation;
    Duration suspectAfter = std::chrono::milliseconds(600);       ///< no status of the primary for this long
    Duration replicationSilence = std::chrono::milliseconds(400); ///< a replica receives nothing from the primary
    Duration cutOffAfter = std::chrono::seconds(3);         ///< no replica acknowledges to the primary for this long
    Duration claimTimeout = std::chrono::milliseconds(400); ///< for the platform's answer to a claim
    Duration stepTimeout = std::chrono::milliseconds(500);  ///< for a backend server's answer to a step
    Duration promotionHoldOff = std::chrono::seconds(5);    ///< least time between promotions of a database
    Duration retryDelay = std::chrono::milliseconds(200);   ///< first pause after a failed promotion; doubles
    Duration maxRetryDelay = std::chrono::seconds(3);
    Duration barrierWait = std::chrono::milliseconds(150); ///< longest wait of a barrier at a server
    Duration leaseDuration = std::chrono::seconds(4);      ///< lease policies only
    Duration leaseRenewal = std::chrono::seconds(1);       ///< lease policies only
    std::uint32_t promotionsShardSize = 64;                ///< databases per promotions object
};

struct AdmissionOptions
{
    std::uint32_t queueLimit = 256;                    ///< requests waiting for one backend server
    std::uint32_t callerQueueLimit = 64;               ///< requests of one caller waiting for one backend server
    std::uint32_t retryPercent = 10;                   ///< retries for each hundred requests
    std::uint32_t retryFloor = 10;                     ///< retries per second that are always allowed
    Duration defaultTimeout = std::chrono::seconds(5); ///< for requests without a timeout
    Duration maxTimeout = std::chrono::seconds(60);
    Duration retryDelay = std::chrono::milliseconds(20); ///< before a not-run request is routed again; doubles
    Duration maxRetryDelay = std::chrono::milliseconds(200);
    Duration readAttemptTimeout = std::chrono::seconds(1);       ///< an unanswered read is sent again
    Duration statementTimeout = std::chrono::milliseconds(1500); ///< a statement without answer closes its connection
    Duration hopAllowance = std::chrono::milliseconds(40);       ///< the owner's deadline is earlier by this time
    Duration transactionIdle = std::chrono::seconds(30);         ///< an unused transaction is rolled back
};

struct MembershipOptions
{
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    Duration largeFleetInterval =
        std::chrono::milliseconds(500);                     ///< above fullMeshLimit; at most a third of peerTimeout
    Duration peerTimeout = std::chrono::milliseconds(1500); ///< a peer silent for this long is not live
    Duration interestTime = std::chrono::seconds(30);       ///< heartbeats continue this long after a request
    std::uint32_t fullMeshLimit = 16;                       ///< largest fleet with heartbeats to all
    std::uint32_t ringFanout = 4;                           ///< larger fleets: ring neighbours that get heartbeats
    std::uint32_t candidates = 6;                    ///< instances that compete for the lock of one backend server
    Duration listInterval = std::chrono::seconds(2); ///< between reads of the platform's list
};

struct RuleOptions
{
    std::uint32_t watchersPerDomain = 2;          ///< instances of a failure domain that watch the rules
    Duration watchWait = std::chrono::seconds(2); ///< longest wait of one watch; bounds the time to notice its loss
    Duration retryDelay = std::chrono::milliseconds(500);   ///< after an unanswered call
    Duration callTimeout = std::chrono::seconds(2);         ///< answer of the platform, beyond the wait of a watch
    Duration overdueAfter = std::chrono::milliseconds(500); ///< beyond the wait: another watch is sent too
};

struct SessionOptions
{
    std::vector<std::string> tokenKeys; ///< the first key signs, all keys verify
};

struct DrainOptions
{
    Duration stopGrace = std::chrono::seconds(20);          ///< wait for requests in flight at a planned stop
    Duration leavingGrace = std::chrono::milliseconds(500); ///< a leaving primary takes new work at most this long
    Duration stopTransactionIdle = std::chrono::seconds(3); ///< as transactionIdle, during a planned stop
    Duration plannedChangeWait = std::chrono::seconds(3);   ///< longest pause of writes in a switchover
};

struct TraceOptions
{
    std::uint32_t samplePercent = 10;               ///< share traced without a sampled traceparent
    Duration slow = std::chrono::milliseconds(500); ///< slower requests are always traced
};

struct ProxyOptions
{
    Duration tickInterval = std::chrono::milliseconds(10);
    OwnershipOptions ownership;
    AuthorityOptions authority;
    AdmissionOptions admission;
    MembershipOptions membership;
    RuleOptions rules;
    SessionOptions session;
    DrainOptions drain;
    TraceOptions trace;
};

} // namespace Jujubekeel

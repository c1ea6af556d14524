#pragma once

#include "core/callermessages.h"
#include "core/time.h"
#include "fakes/fakebackend.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Record of one run: what callers sent and got, and what the backend servers hold at the end. Filled by VirtualFleet and
/// Workload, read by HistoryChecker. Plain data; times are virtual.
namespace Jujubekeel {

/// How a request ended for its caller.
enum class CallerOutcome : std::uint8_t {
    Waiting,
    Answered,
    ConnectionLost, ///< the proxy ended before it answered
    ConnectRefused, ///< the proxy could not be reached, so nothing was sent
    GaveUp,         ///< no answer until after the caller's own limit
};

struct HistoryRequest
{
    std::uint32_t session = 0; ///< number of the session in the workload; the same when it moves between proxies
    std::uint32_t proxy = 0;
    CallerRequest request;
    TimePoint sentAt{0};
    CallerOutcome outcome = CallerOutcome::Waiting;
    TimePoint endedAt{0};
    std::vector<CallerAnswer> answers; ///< one, unless something is wrong
    /// Groups the requests that repeat one write, and the statements of one transaction. Unique within the run.
    std::uint64_t work = 0;
    Duration acceptedAge{-1};   ///< of a read by the rules in force all the time; negative: none
    bool keepsSession = false;  ///< the request names its session by token or by id
    bool notRepeatable = false; ///< a no-repeat rule covers it
};

struct HistoryBackend
{
    std::string name;
    std::string database;
    std::uint32_t slots = 0;
    std::uint32_t connectionLimit = 0;
    std::uint32_t peakSlots = 0;
    std::uint32_t peakConnections = 0;
    std::uint64_t slotRefusals = 0;
    std::uint64_t connectionRefusals = 0;
    std::uint64_t transactionMismatches = 0;
    ServerStatus status;
    std::vector<ReplicationAppend::Entry> log;
    std::vector<TimePoint> workStarts; ///< arrivals of statements outside transactions and of Begin
};

struct HistoryRuleChange
{
    std::uint64_t version = 0;
    TimePoint acceptedAt{0};
    std::vector<std::string> leaving; ///< backend servers that the text marks as leaving
};

/// Version that a proxy named in an answer or reported.
struct HistoryRuleUse
{
    std::uint32_t proxy = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    TimePoint requestAt{0}; ///< when the request reached the proxy
    TimePoint seenAt{0};
};

/// Time during which a proxy could not do its part.
struct HistoryOutage
{
    std::uint32_t proxy = 0;
    TimePoint from{0};
    TimePoint to{0}; ///< end of the run if it lasted
};

struct HistoryStop
{
    std::uint32_t proxy = 0;
    TimePoint requestedAt{0};
    TimePoint stoppedAt{0};   ///< 0: did not stop
    bool otherFaults = false; ///< another fault was active, so requests through other proxies may end unknown
};

struct History
{
    std::vector<HistoryRequest> requests; ///< index: ticket - 1
    std::vector<HistoryBackend> backends;
    std::vector<HistoryRuleChange> ruleChanges;
    std::vector<HistoryRuleUse> ruleUses;
    std::vector<HistoryOutage> outages;        ///< ended, paused or cut off from callers: answers may be missing
    std::vector<HistoryOutage> disconnections; ///< outages, and times cut off from peers or from a working platform
    std::vector<HistoryStop> stops;
    TimePoint endedAt{0};
};

} // namespace Jujubekeel

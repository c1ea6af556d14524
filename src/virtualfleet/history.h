#pragma once

#include "core/callermessages.h"
#include "core/time.h"
#include "fakes/fakebackend.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Record of one run: requests and answers of the callers, and the logs of the backend servers at the end. Filled by
/// VirtualFleet and Workload, read by HistoryChecker. Plain data; times are virtual.
namespace Jujubekeel {

/// How a request ended for its caller.
enum class CallerOutcome : std::uint8_t {
    Waiting,
    Answered,
    ConnectionLost, ///< the proxy ended before it answered
    ConnectRefused, ///< the proxy could not be reached, so nothing was sent
    TimedOut,       ///< no answer within the timeout of the caller
};

struct HistoryRequest
{
    std::uint32_t session = 0; ///< number of the session in the workload; kept when it moves between proxies
    std::uint32_t proxy = 0;
    CallerRequest request;
    TimePoint sentAt{0};
    CallerOutcome outcome = CallerOutcome::Waiting;
    TimePoint endedAt{0};
    std::vector<CallerAnswer> answers; ///< exactly one in a correct run, if an answer arrived
    /// Same number for the retries of one write and for the requests of one transaction. Unique within the run.
    std::uint64_t work = 0;
    Duration acceptedAge{-1};   ///< of a read, by the rules in force during the whole run; negative: none
    bool keepsSession = false;  ///< the request continues a session, named by token or by id
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

/// Rules version that a proxy used for an answer.
struct HistoryRuleUse
{
    std::uint32_t proxy = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    TimePoint requestAt{0}; ///< when the request reached the proxy
    TimePoint seenAt{0};
};

/// Interval during which a proxy was unavailable or disconnected.
struct HistoryOutage
{
    std::uint32_t proxy = 0;
    TimePoint from{0};
    TimePoint to{0}; ///< end of the run if it had not ended before
};

/// Planned stop of a proxy.
struct HistoryStop
{
    std::uint32_t proxy = 0;
    TimePoint requestedAt{0};
    TimePoint stoppedAt{0}; ///< 0: did not stop
    bool otherFaults =
        false; ///< another fault was injected, so requests through other proxies may have unknown outcomes
};

struct History
{
    std::vector<HistoryRequest> requests; ///< index: ticket - 1
    std::vector<HistoryBackend> backends;
    std::vector<HistoryRuleChange> ruleChanges;
    std::vector<HistoryRuleUse> ruleUses;
    std::vector<HistoryOutage> outages;        ///< down, paused or unreachable for callers: answers may be missing
    std::vector<HistoryOutage> disconnections; ///< outages, cut links to any node, and faults of the platform
    std::vector<HistoryStop> stops;
    TimePoint endedAt{0};
};

} // namespace Jujubekeel

#pragma once

#include "virtualfleet/history.h"
#include "virtualfleet/seededrandom.h"
#include "virtualfleet/userlayout.h"
#include "virtualfleet/virtualfleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Jujubekeel {

struct WorkloadOptions
{
    std::uint64_t seed = 1;
    TimePoint start{0};
    Duration duration = std::chrono::seconds(20);
    std::uint32_t requestsPerSecond = 150; ///< without retries and later statements of transactions
    std::uint32_t sessions = 30;           ///< at the start; another one is opened when all are busy
    std::uint32_t transactionPercent = 8;
    std::uint32_t keyPercent = 70;  ///< percentage of writes with a request key
    std::uint32_t movePercent = 30; ///< percentage of requests for which the session draws a new proxy
    Duration timeout = std::chrono::seconds(2);
    Duration timeoutGrace = std::chrono::seconds(3);      ///< after the timeout, until the caller closes the connection
    Duration retryDelay = std::chrono::milliseconds(100); ///< before a request is retried
    std::uint32_t retryLimit = 6;
};

/// Statistics of one run, measured at the callers.
struct WorkloadStatistics
{
    std::vector<Duration> latencies; ///< of answered reads and writes outside transactions with code Ok
    std::uint64_t agedReads = 0; ///< answered reads that a read-age rule covers, of sessions with their position mark
    std::uint64_t agedReadsAtReplicas = 0; ///< those served by a replica
    std::uint64_t ok = 0;
    std::uint64_t sent = 0;
    std::map<ResultCode, std::uint64_t> codes;
    std::map<std::string, std::vector<TimePoint>> writeTimes; ///< acknowledged writes by database, in order
};

/// Callers of one user: sessions that read, write, run transactions, move between proxies and retry requests with an
/// unknown outcome under the same key. Owned by the test or the benchmark; must not outlive the fleet. Used by one
/// thread.
class Workload final
{
public:
    Workload(VirtualFleet &drivenFleet, const UserProfile &userProfile, WorkloadOptions workloadOptions);

    /// Schedules the first request and replaces the fleet's caller handler.
    void start();
    [[nodiscard]] History &history() { return this->record; }
    [[nodiscard]] const WorkloadStatistics &statistics() const { return this->counts; }

private:
    struct Session
    {
        std::uint32_t number = 0; ///< in the history; changes when the caller starts a new session
        std::uint32_t database = 0;
        std::uint32_t proxy = 0;
        std::string key; ///< key of the session's list
        std::string id;
        std::string token;
        std::uint32_t values = 0; ///< number of appended values
        std::string transaction;  ///< id of the open transaction; empty: none
        std::uint32_t statementsLeft = 0;
        std::uint64_t work = 0; ///< see HistoryRequest::work
        std::uint32_t retries = 0;
    };

    void scheduleArrival();
    std::uint32_t addSession();
    void beginWork(std::uint32_t session);
    void continueTransaction(std::uint32_t session);
    void send(std::uint32_t session, RequestKind kind, const std::string &operation, const std::string &statement);
    void dispatch(std::uint32_t session, HistoryRequest request);
    void handle(const CallerEvent &event);
    void timeOut(std::uint64_t ticket);
    void finish(HistoryRequest request);
    void retry(std::uint32_t session, const HistoryRequest &request);
    void move(Session &session);
    [[nodiscard]] std::uint32_t otherProxy(std::uint32_t proxy);
    [[nodiscard]] std::string appendStatement(Session &session);

    VirtualFleet &fleet;
    const UserProfile &profile;
    WorkloadOptions options;
    SeededRandom random;
    History record;
    WorkloadStatistics counts;
    std::vector<Session> sessions;
    std::vector<std::uint32_t> idle;
    std::vector<std::uint32_t> sessionOf; ///< index: ticket - 1
    std::uint32_t nextNumber = 0;
    std::uint64_t nextWork = 1;
};

} // namespace Jujubekeel

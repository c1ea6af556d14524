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
    std::uint32_t requestsPerSecond = 150; ///< new work; statements of transactions and repeats come on top
    std::uint32_t sessions = 30;           ///< at the start; more are opened when all are busy
    std::uint32_t transactionPercent = 8;
    std::uint32_t keyPercent = 70;  ///< writes with a key of the caller
    std::uint32_t movePercent = 30; ///< requests that go to another proxy than the last one of the session
    Duration timeout = std::chrono::seconds(2);
    Duration patience = std::chrono::seconds(3);           ///< beyond the timeout, until the caller gives up
    Duration repeatPause = std::chrono::milliseconds(100); ///< before a request of unknown outcome is repeated
    std::uint32_t repeatLimit = 6;
};

/// Measurements of one run, taken at the callers.
struct WorkloadFigures
{
    std::vector<Duration> latencies;       ///< of answered reads and writes outside transactions with code Ok
    std::uint64_t agedReads = 0;           ///< answered reads that a read-age rule covers, of sessions with their mark
    std::uint64_t agedReadsAtReplicas = 0; ///< of these, served by a replica
    std::uint64_t ok = 0;
    std::uint64_t sent = 0;
    std::map<ResultCode, std::uint64_t> codes;
    std::map<std::string, std::vector<TimePoint>> writeTimes; ///< acknowledged writes by database, in order
};

/// Callers of one user: sessions that read, write, run transactions, move between proxies and repeat requests of unknown
/// outcome under the same key. Owned by the test or the benchmark; must not outlive the fleet.
class Workload final
{
public:
    Workload(VirtualFleet &drivenFleet, const UserProfile &userProfile, WorkloadOptions workloadOptions);

    /// Schedules the first request and takes over the fleet's caller handler.
    void start();
    [[nodiscard]] History &history() { return this->record; }
    [[nodiscard]] const WorkloadFigures &figures() const { return this->measured; }

private:
    struct Session
    {
        std::uint32_t number = 0; ///< in the history; changes when the caller drops its session
        std::uint32_t database = 0;
        std::uint32_t proxy = 0;
        std::string key; ///< of the session's list
        std::string id;
        std::string token;
        std::uint32_t values = 0;
        std::string transaction;
        std::uint32_t statementsLeft = 0;
        std::uint64_t work = 0;
        std::uint32_t repeats = 0;
    };

    void scheduleArrival();
    std::uint32_t addSession();
    void beginWork(std::uint32_t session);
    void continueTransaction(std::uint32_t session);
    void send(std::uint32_t session, RequestKind kind, const std::string &operation, const std::string &statement);
    void dispatch(std::uint32_t session, HistoryRequest request);
    void handle(const CallerEvent &event);
    void giveUp(std::uint64_t ticket);
    void finish(HistoryRequest request);
    void repeat(std::uint32_t session, const HistoryRequest &request);
    void move(Session &session);
    [[nodiscard]] std::uint32_t otherProxy(std::uint32_t proxy);
    [[nodiscard]] std::string appendStatement(Session &session);

    VirtualFleet &fleet;
    const UserProfile &profile;
    WorkloadOptions options;
    SeededRandom random;
    History record;
    WorkloadFigures measured;
    std::vector<Session> sessions;
    std::vector<std::uint32_t> idle;
    std::vector<std::uint32_t> sessionOf; ///< index: ticket - 1
    std::uint32_t nextNumber = 0;
    std::uint64_t nextWork = 1;
};

} // namespace Jujubekeel

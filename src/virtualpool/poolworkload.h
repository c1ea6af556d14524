#pragma once

#include "virtualfleet/seededrandom.h"
#include "virtualpool/virtualpool.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

struct PoolWorkloadOptions
{
    std::uint32_t callers = 12;
    Duration think = std::chrono::milliseconds(30); ///< mean think time of a caller between two operations
    std::uint32_t instances = 0;                    ///< callers use only the first `instances`; 0: all
    std::uint64_t seed = 1;
};

/// One operation of a caller: a single statement, or a transaction.
struct PoolOperation
{
    std::string database;
    std::optional<std::size_t> organisation; ///< whose key the caller sent
    std::vector<std::string> statements;     ///< ids of all statements that were sent
    bool transaction = false;
    bool readOnly = false;
    std::vector<std::string> writes; ///< ids of statements that write
    std::vector<std::string> reads;  ///< ids of statements that read and were answered
    std::string commit;              ///< id of the statement whose reply acknowledges the writes
    TimePoint startedAt{0};
    TimePoint endedAt{0};
    bool answered = false;       ///< ended with success
    bool acknowledged = false;   ///< its writes were acknowledged to the caller
    bool reportedNotRun = false; ///< ended with an error code that guarantees that no write took effect
    std::optional<OutcomeCode> error;
    std::size_t session = 0;
    std::optional<TimePoint> priorCommitAckedAt; ///< last acknowledgement in the same session before this operation
};

/// Callers that run operations one after the other through all instances: reads and writes, as single statements and in
/// transactions, with session values. Records the result of each operation. Owned by a test or a benchmark; used by one
/// thread.
class PoolWorkload final
{
public:
    PoolWorkload(VirtualPool &virtualPool, PoolWorkloadOptions workloadOptions);

    /// Starts all callers; no operation is started after \a end.
    void start(TimePoint end);

    [[nodiscard]] const std::vector<PoolOperation> &operations() const { return this->finished; }
    /// Number of finished operations without a reply, whose outcome is unknown to the caller.
    [[nodiscard]] std::size_t unanswered() const;
    /// Longest time without an acknowledged write between two moments.
    [[nodiscard]] Duration longestWriteGap(TimePoint from, TimePoint to) const;
    /// Descriptions of replies with another session's values, with the digest of another statement or without a
    /// request.
    [[nodiscard]] const std::vector<std::string> &mismatchedAnswers() const { return this->mismatched; }

private:
    struct Caller
    {
        std::optional<VirtualPool::CallerId> session;
        std::size_t instance = 0;
        std::string database;
        std::optional<std::size_t> organisation;
        std::string value; ///< content of the session value `who`
        bool busy = false;
        PoolOperation operation;
        std::vector<Statement> pending; ///< statements of the operation that are not sent yet
        Statement current;
        std::optional<TimePoint> commitAckedAt;
    };

    void begin(std::size_t index);
    /// One of the pool's organisations, by their shares in the demand; empty if callers need no key.
    [[nodiscard]] std::optional<std::size_t> drawOrganisation();
    void scheduleNext(std::size_t index);
    void sendNext(std::size_t index);
    void received(VirtualPool::CallerId session, const CallerReply &reply);
    void finish(std::size_t index, const CallerReply &reply);
    void checkRows(const Caller &caller, const CallerReply &reply);
    /// Ends the operation \a serial if its session was closed or it took longer than the timeout; checks repeatedly.
    void checkForTimeout(std::size_t index, std::uint64_t serial);
    [[nodiscard]] Statement makeStatement(StatementKind kind);

    VirtualPool &pool;
    PoolWorkloadOptions options;
    SeededRandom random;
    TimePoint endAt{0};
    std::vector<double> shares; ///< of the organisations
    std::vector<Caller> callers;
    std::vector<std::uint64_t> serials; ///< by caller: number of operations started
    std::map<VirtualPool::CallerId, std::size_t> callerBySession;
    std::vector<PoolOperation> finished;
    std::vector<std::string> mismatched;
    std::uint64_t nextId = 1;
};

} // namespace Jujubekeel

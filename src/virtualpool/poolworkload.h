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
    Duration think = std::chrono::milliseconds(30); ///< mean pause of a caller between two operations
    std::uint32_t instances = 0;                    ///< callers use only the first ones; 0: all
    std::uint64_t seed = 1;
};

/// One operation of a caller: a single statement, or a transaction.
struct PoolOperation
{
    std::string database;
    bool transaction = false;
    bool readOnly = false;
    std::vector<std::string> writes; ///< ids of statements that write
    std::vector<std::string> reads;  ///< ids of statements that read and were answered
    std::string commit;              ///< id whose answer acknowledges the writes
    TimePoint startedAt{0};
    TimePoint endedAt{0};
    bool answered = false;     ///< it ended with success
    bool acknowledged = false; ///< its writes were acknowledged
    bool promised = false;     ///< it ended with a promise that nothing is kept
    std::optional<OutcomeCode> error;
    std::size_t session = 0;
    std::optional<TimePoint> priorCommitAckedAt; ///< last acknowledged commit of the session before
};

/// Callers that run operations one after the other through all instances, as the users' do: reads and writes, single and in
/// transactions, with session values, and keep what they were told. Owned by a test or a measuring program.
class PoolWorkload final
{
public:
    PoolWorkload(VirtualPool &virtualPool, PoolWorkloadOptions workloadOptions);

    /// Callers begin; they stop taking up new operations at \a end.
    void start(TimePoint end);

    [[nodiscard]] const std::vector<PoolOperation> &operations() const { return this->finished; }
    [[nodiscard]] std::size_t unanswered() const;
    /// Longest time without an acknowledged write between two moments.
    [[nodiscard]] Duration longestWriteGap(TimePoint from, TimePoint to) const;
    /// Results that carried another session's values or an answer without the server's digest.
    [[nodiscard]] const std::vector<std::string> &mixedAnswers() const { return this->mixed; }

private:
    struct Caller
    {
        std::optional<VirtualPool::CallerId> session;
        std::size_t instance = 0;
        std::string database;
        std::string value; ///< of the session value `who`
        bool busy = false;
        PoolOperation operation;
        std::vector<Statement> pending; ///< rest of the operation
        Statement current;
        std::optional<TimePoint> commitAckedAt;
    };

    void begin(std::size_t index);
    void pause(std::size_t index);
    void sendNext(std::size_t index);
    void received(VirtualPool::CallerId session, const CallerReply &reply);
    void finish(std::size_t index, const CallerReply &reply);
    void checkRows(const Caller &caller, const CallerReply &reply);
    void watchForLoss(std::size_t index, std::uint64_t serial);
    [[nodiscard]] Statement makeStatement(StatementKind kind);

    VirtualPool &pool;
    PoolWorkloadOptions options;
    SeededRandom random;
    TimePoint endAt{0};
    std::vector<Caller> callers;
    std::vector<std::uint64_t> serials; ///< by caller: operations begun
    std::map<VirtualPool::CallerId, std::size_t> callerOf;
    std::vector<PoolOperation> finished;
    std::vector<std::string> mixed;
    std::uint64_t nextId = 1;
};

} // namespace Jujubekeel

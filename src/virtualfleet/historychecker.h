#pragma once

#include "core/time.h"
#include "virtualfleet/history.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// The guarantees P1 to P9 of the design page, and two further ones without a number.
enum class Guarantee : std::uint8_t {
    OwnWritesRead = 1,
    AcknowledgedWritesSurvive,
    TransactionsNotMixed,
    OwnAnswerOnce,
    NotRunDidNotRun,
    NoRepeat,
    LeavingGetsNoWork,
    PlannedStopIsGraceful,
    RulesInForce,
    LimitsKept,
    AcceptedAgeKept,
};

/// Text for reports, such as "P1 own writes read".
[[nodiscard]] std::string_view guaranteeName(Guarantee guarantee);

struct Violation
{
    Guarantee guarantee = Guarantee::OwnWritesRead;
    TimePoint at{0};
    std::uint64_t ticket = 0; ///< ticket of the request; 0: none
    std::string reason;
};

/// Counts of acknowledged writes and of violations that concern writes.
struct WriteStatistics
{
    std::uint64_t acknowledged = 0;
    std::uint64_t lost = 0;                  ///< acknowledged and absent from the surviving log
    std::uint64_t doubled = 0;               ///< more than once in the surviving log
    std::uint64_t executedDespiteNotRun = 0; ///< answered "not run" and present in the surviving log
};

/// Checks a finished and settled run against the guarantees. It is independent of the core's decisions: it compares the
/// requests and answers of the callers with the logs of the backend servers. Statements are those of FakeBackend. Each
/// appended value is unique in the run and starts with the key of its list and a dot. Owned by the test or the
/// benchmark.
class HistoryChecker final
{
public:
    /// The history must outlive the checker.
    explicit HistoryChecker(const History &runHistory);

    /// All violations, in the order of the guarantees.
    [[nodiscard]] std::vector<Violation> check();
    /// Valid after check().
    [[nodiscard]] const WriteStatistics &writeStatistics() const { return this->statistics; }

private:
    /// Position of a value in the surviving log of its database.
    struct Occurrence
    {
        std::uint64_t count = 0;
        std::uint64_t position = 0; ///< of the first entry that contains it
        std::uint64_t term = 0;
    };
    /// An acknowledged write of one value.
    struct Acknowledged
    {
        TimePoint at{0};
        std::uint32_t session = 0;
        std::string value;
    };
    using ListName = std::pair<std::string, std::string>; ///< database and key

    /// Finds the surviving log of each database and indexes its values.
    void readLogs();
    void collectAcknowledged();
    void checkReads();
    void checkAcknowledged();
    void checkTransactions();
    void checkAnswers();
    void checkNotRun();
    void checkRepeats();
    void checkLeaving();
    void checkStops();
    void checkRules();
    void checkLimits();
    void report(Guarantee guarantee, TimePoint at, std::uint64_t ticket, std::string reason);
    /// Whether one of the outages of a proxy overlaps the interval.
    [[nodiscard]] bool hasOutage(const std::vector<HistoryOutage> &outages, std::uint32_t proxy, TimePoint from,
                                 TimePoint to) const;
    [[nodiscard]] const Occurrence *findValue(const std::string &database, const std::string &value) const;

    const History &history;
    std::vector<Violation> violations;
    WriteStatistics statistics;
    std::map<std::pair<std::string, std::string>, Occurrence> surviving; ///< by database and value
    std::map<ListName, std::vector<Acknowledged>> acknowledged;          ///< in the order of the acknowledging requests
    std::map<std::uint64_t, std::vector<const HistoryRequest *>> requestsByWork; ///< requests by HistoryRequest::work
};

/// Key of the list and value that an append statement adds; empty texts for other statements.
[[nodiscard]] std::pair<std::string, std::string> appendedValue(std::string_view statement);
/// Key that a get statement reads; empty for other statements.
[[nodiscard]] std::string readKey(std::string_view statement);

} // namespace Jujubekeel

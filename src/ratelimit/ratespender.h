#pragma once

#include "core/time.h"
#include "ratelimit/ratedecision.h"
#include "ratelimit/rategrant.h"
#include "ratelimit/rateranks.h"
#include "ratelimit/raterequest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

class OrganisationTable;

struct RateSpenderOptions
{
    Duration hold = std::chrono::milliseconds(500); ///< validity of granted operations, from the request's time
    /// Validity of an operation that was given back. Short, because it was granted up to two seconds before.
    Duration givenBackHold = std::chrono::milliseconds(150);
    Duration foresight = std::chrono::milliseconds(200); ///< operations expected within this time are requested too
    Duration averagingTime = std::chrono::milliseconds(1000); ///< of the organisation's own rate at this instance
    Duration silentPause = std::chrono::milliseconds(500); ///< a member that did not answer is not asked again before
    /// While a member does not answer, this multiple of the rate at which operations ran on grants may run without one.
    /// Members that are slow for a moment would otherwise stop organisations far below their limit. Not for an
    /// organisation that was denied operations within `deniedMemory`: only such a one could exceed its limit by this.
    double reserveFactor = 1.0;
    Duration deniedMemory = std::chrono::seconds(5);
    Duration admittedAveragingTime = std::chrono::seconds(3);
    Duration minRetry = std::chrono::milliseconds(20); ///< shortest time after which callers are told to retry
};

/// Instance side of the rate limits: takes an operation that a member has granted for each operation of a caller, and
/// decides when to ask which of the organisation's members. Has no connections: its owner sends the requests and
/// reports answers. Time is boot time, so that granted operations also expire while the process is suspended. Owned by
/// PoolCore.
class RateSpender final
{
public:
    explicit RateSpender(RateSpenderOptions spenderOptions = {}) : options(spenderOptions) {}

    /// A new operation. If it has to wait, the owner keeps it, in order, and calls takeWaiting() after each answer.
    [[nodiscard]] RateDecision tryTake(std::string_view organisation, TimePoint now);
    /// The operation that has waited longest. Unless the result is Wait, it no longer waits.
    [[nodiscard]] RateDecision takeWaiting(std::string_view organisation, TimePoint now);
    /// An operation that was taken has not run: another one may be taken in its place within `givenBackHold`.
    void giveBack(std::string_view organisation, TimePoint now);
    /// A waiting operation was given up.
    void removeWaiting(std::string_view organisation);
    /// Time after which an operation that is refused now should be tried again.
    [[nodiscard]] Duration retryAfter(std::string_view organisation, TimePoint now) const;

    /// The next request to send; empty if there is none.
    [[nodiscard]] std::optional<RateRequest> nextRequest(TimePoint now);
    /// The member has answered, possibly after unanswered() was called.
    void granted(const RateRequest &request, const RateGrant &grant, TimePoint now);
    /// No answer arrived in time, or the member cannot be reached.
    void unanswered(const RateRequest &request, TimePoint now);

    /// The members and their order may have changed, so what is known about their answers no longer applies.
    void membersChanged();
    /// Removes what is stored for organisations without a limit. None of their operations may be waiting.
    void setTable(const OrganisationTable &table);

private:
    /// Operations granted by one answer.
    struct Lot
    {
        TimePoint expiresAt{0};
        std::uint32_t count = 0;
    };
    struct Row
    {
        std::deque<Lot> lots; ///< in order of expiry
        std::uint32_t waiting = 0;
        std::optional<std::uint64_t> asked;                    ///< serial of the request in progress
        std::array<TimePoint, RateRanks::count> pausedUntil{}; ///< by place
        std::size_t nextPlace = 0; ///< earlier ones have been asked for the operations that wait
        bool isQueued = false;     ///< contained in `queued`
        std::array<TimePoint, RateRanks::count> silentUntil{}; ///< by place; 0: it has answered
        TimePoint deniedAt{0};   ///< last answer that granted less than requested; 0: none
        double admittedRate = 0; ///< operations per second that ran on grants, moving average
        TimePoint admittedAt{0};
        double reserve = 0; ///< operations that may run without a grant
        TimePoint reserveAt{0};
        double rate = 0; ///< operations per second, moving average
        TimePoint ratedAt{0};
    };

    static void addLot(Row &row, Lot lot);
    [[nodiscard]] static bool takeFromStock(Row &row, TimePoint now);
    /// Takes an operation that no member has granted, because one did not answer.
    [[nodiscard]] bool takeFromReserve(Row &row, TimePoint now) const;
    void countAdmitted(Row &row, TimePoint now) const;
    [[nodiscard]] static std::uint32_t stock(Row &row, TimePoint now);
    /// Whole operations expected within `foresight`.
    [[nodiscard]] std::uint32_t expected(const Row &row, TimePoint now) const;
    void countOperation(Row &row, TimePoint now) const;
    /// Place of the next member that may be asked; empty if there is none.
    [[nodiscard]] static std::optional<std::size_t> placeToAsk(const Row &row, TimePoint now);
    [[nodiscard]] RateDecision refusal(const Row &row, TimePoint now) const;
    /// Plans a request if operations wait or the stock is low.
    void planRequest(std::string_view organisation, Row &row, TimePoint now);
    /// The request to a member has ended; those after it are asked next.
    void finishRequest(const RateRequest &request, Row &row, TimePoint now);
    static void workTaken(Row &row);

    RateSpenderOptions options;
    std::map<std::string, Row, std::less<>> rows; ///< by organisation
    std::deque<std::string> queued;               ///< organisations for which a request is planned
    std::uint64_t lastSerial = 0;
};

} // namespace Jujubekeel

#pragma once

#include "leadership/fleetview.h"
#include "leadership/leadershipoptions.h"
#include "pool/poolids.h"

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

class DispatchSystem;
class RegistrationSystem;
class ResultSystem;
struct PoolWorld;
struct ServerRow;
struct ServiceRow;

/// Tracks the primary of each service, publishes whether this instance reaches a suspected primary, and releases a
/// primary that is being replaced.
///
/// Results of a primary are accepted only while (a) this instance is registered, and (b) the leadership record was
/// verified to be unchanged at a time not older than the authority lease. An instance that replaces a primary first
/// announces this in the record, then waits until each registered instance has released the primary or its authority
/// lease must have expired. Owned by PoolCore; used only within its calls.
class LeadershipSystem final
{
public:
    LeadershipSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, ResultSystem &resultSystem,
                     RegistrationSystem &registrationSystem, LeadershipOptions leadershipOptions);

    void start();
    /// The fleet view of RegistrationSystem has been updated.
    void fleetUpdated();
    /// Directory entries have changed, so primaries may have appeared or disappeared.
    void serversChanged();
    /// Checks all primaries; called every check interval.
    void check();
    /// True if the primary must be replaced now and it is this instance's turn by rank. \a planned is set if the
    /// primary still answers.
    [[nodiscard]] bool shouldReplace(ServiceId service, bool &planned) const;
    /// True if the primary must be found by asking the servers, because the store may have lost the record of it or there
    /// is none, and it is this instance's turn by rank.
    [[nodiscard]] bool shouldFindPrimary(ServiceId service) const;
    /// Delay of this instance according to its rank.
    [[nodiscard]] Duration rankedDelay(const std::string &service) const;

private:
    /// A primary that at least one instance finds unreachable.
    struct Suspicion
    {
        TimePoint since{0}; ///< when an instance first found it unreachable
        bool own = false;   ///< this instance finds it unreachable
    };
    /// A service with servers, of which none can be used as primary.
    struct Vacancy
    {
        TimePoint since{0};
        TimePoint loggedAt{0}; ///< last log line; 0: none
    };

    /// Updates the service from the fleet view and from the directory.
    void refresh(ServiceId service);
    void adoptRecord(ServiceId service, const FleetView::Record &stored);
    /// Stops using a primary that was adopted as the candidate of an epoch for which \a record names another one.
    void checkCandidate(ServiceId service, const LeadershipRecord &record);
    void adoptReportedPrimary(ServiceId service);
    void adoptCandidate(ServiceId service);
    /// Discards a leadership that the store no longer knows, after it returned from an older copy and was recovered.
    void discardLeadership(ServiceId service);
    void setPrimary(ServiceId service, const std::string &server, std::uint64_t epoch, std::uint64_t term);
    /// Releases a primary that is being replaced, unless a planned replacement lets running work finish.
    void releaseIfIdle(ServiceId service);
    void release(ServiceId service);
    void checkView(ServiceId service);
    /// Tracks since when nobody is known to lead the service, and logs it while it lasts.
    void checkVacancy(const ServiceRow &service);
    /// True if no record and no server tells who leads, and the first primary is not expected to register any more.
    [[nodiscard]] bool lacksFirstPrimary(const ServiceRow &service) const;
    void scheduleCheck();
    [[nodiscard]] bool isUnreachable(const ServiceRow &service) const;
    /// True if a planned replacement was abandoned lately, and the primary serves for a while before the next attempt.
    [[nodiscard]] bool isPausedAfterAbandonment(const ServiceRow &service) const;
    /// Number of registered instances that act before this one.
    [[nodiscard]] std::uint32_t rank(const std::string &service) const;

    PoolWorld &world;
    DispatchSystem &dispatch;
    ResultSystem &results;
    RegistrationSystem &registration;
    LeadershipOptions options;
    TimePoint viewCurrentSince{0};                  ///< since when the fleet view has been current; 0: it is not
    TimePoint nextCheck{0};                         ///< next check of the primaries
    std::map<std::string, Suspicion> suspicions;    ///< by service
    std::map<std::string, TimePoint> drainingSince; ///< by service: since when its primary is draining
    std::map<std::string, TimePoint> unknownSince;  ///< by service: since when its primary must be found
    std::map<std::string, Vacancy> vacancies;       ///< by service
};

} // namespace Jujubekeel

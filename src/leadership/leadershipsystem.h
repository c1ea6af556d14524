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

/// Knows which backend server leads each service, says how this instance sees the primaries, and releases a primary that is
/// being replaced.
///
/// Results of a primary count only while (a) this instance is registered, and (b) the leadership record was unchanged at
/// a time not older than the authority lease. Whoever replaces a primary first announces it in the record, then waits
/// until each registered instance has released the primary or its knowledge must have lapsed. Owned by PoolCore.
class LeadershipSystem final
{
public:
    LeadershipSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, ResultSystem &resultSystem,
                     RegistrationSystem &registrationSystem, LeadershipOptions leadershipOptions);

    void start();
    /// The membership has taken in news of the fleet's objects.
    void fleetUpdated();
    /// Entries have changed: primaries may be found or lost.
    void serversChanged();
    /// Looks at all primaries; called each check interval.
    void check();
    /// The primary has to be replaced now, and it is this instance's turn. \a planned: it still answers.
    [[nodiscard]] bool shouldReplace(ServiceId service, bool &planned) const;

private:
    struct Suspicion
    {
        TimePoint since{0}; ///< first view that says unreachable
        bool own = false;
    };

    void refresh(ServiceId service);
    void adoptRecord(ServiceId service, const FleetView::Record &stored);
    void adoptClaim(ServiceId service);
    void adoptCandidate(ServiceId service);
    void setPrimary(ServiceId service, const std::string &server, std::uint64_t epoch, std::uint64_t term);
    void releaseIfIdle(ServiceId service);
    void release(ServiceId service);
    void checkView(ServiceId service);
    void armCheck();
    [[nodiscard]] bool isUnreachable(const ServiceRow &service) const;
    [[nodiscard]] std::uint32_t rank(const std::string &service) const;
    [[nodiscard]] Duration dueAfter(const std::string &service) const;

    PoolWorld &world;
    DispatchSystem &dispatch;
    ResultSystem &results;
    RegistrationSystem &registration;
    LeadershipOptions options;
    TimePoint nextCheck{0};                         ///< look at the primaries
    std::map<std::string, Suspicion> suspicions;    ///< by service
    std::map<std::string, TimePoint> drainingSince; ///< by service: its primary leaves
};

} // namespace Jujubekeel

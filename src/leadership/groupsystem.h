#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/leadershipoptions.h"
#include "pool/poolids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Jujubekeel {

class LeadershipSystem;
class RegistrationSystem;
struct PoolWorld;
struct ServiceRow;

/// Tracks which servers may hold acknowledged commits of the services with synchronous replicas, and keeps the GroupRecord of
/// each in the store. The members take turns, so that usually only the first one writes. Owned by PoolCore; used only within
/// its calls.
class GroupSystem final
{
public:
    GroupSystem(PoolWorld &poolWorld, const RegistrationSystem &registrationSystem,
                const LeadershipSystem &leadershipSystem, LeadershipOptions leadershipOptions);

    /// The fleet view, the directory or the configuration has changed.
    void update();
    /// Writes records that are due; called every check interval.
    void check();
    /// The store has returned from an older copy.
    void eraChanged();
    /// Returns true if the outcome belongs to a write of this system.
    bool writeFinished(const WriteOutcome &outcome);
    /// Whether the servers of the service are recorded, so that none of them is left out by countUnlisted().
    [[nodiscard]] bool isRecorded(ServiceId service) const;
    /// Number of servers beside \a primary that are not listed here and may hold commits which the listed ones lack.
    [[nodiscard]] std::uint32_t countUnlisted(ServiceId service, std::string_view primary) const;

private:
    /// Content that the GroupRecord of the service must have.
    [[nodiscard]] std::set<std::string> intendedServers(const ServiceRow &service) const;
    void updateService(ServiceRow &service);

    PoolWorld &world;
    const RegistrationSystem &registration;
    const LeadershipSystem &leadership;
    LeadershipOptions options;
    std::map<std::string, TimePoint> dueSince;  ///< by service whose record must be written
    std::map<std::string, std::uint64_t> calls; ///< writes in progress, by service
    TimePoint writeAgainAt{0};                  ///< no write before, after a failed one
};

} // namespace Jujubekeel

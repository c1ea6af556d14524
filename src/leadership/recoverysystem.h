#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/leadershipoptions.h"

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

class RegistrationSystem;
struct PoolWorld;

/// Restores what the store has lost after it returned from an older copy: writes the leadership again that this member
/// still knows, also where the store has kept it, for instances that have started since. When the authority leases of the era before have expired, it removes registrations that nobody
/// has renewed and marks the era as recovered. The members take turns, so that usually only the first one writes. Owned
/// by PoolCore; used only within its calls.
class RecoverySystem final
{
public:
    RecoverySystem(PoolWorld &poolWorld, const RegistrationSystem &registrationSystem,
                   LeadershipOptions leadershipOptions)
        : world(poolWorld), registration(registrationSystem), options(leadershipOptions)
    {
    }

    /// Writes what is due; called every check interval.
    void check();
    /// The store has returned from an older copy: the results of writes in progress have no meaning.
    void eraChanged() { this->calls.clear(); }
    /// Returns true if the outcome belongs to a write of this system.
    bool writeFinished(const WriteOutcome &outcome);

private:
    [[nodiscard]] bool isMarkerDue() const;
    /// Writes records that the store has lost or that were not confirmed in its present era.
    void confirmRecords();
    /// True if the leadership of each service was written or confirmed in the present era.
    [[nodiscard]] bool areRecordsConfirmed() const;
    /// Removes registrations that the copy contains again, of instances that have not registered since.
    void removeOutdatedMembers();
    /// Delay of this member's turn.
    [[nodiscard]] Duration turn() const;
    /// Writes an object unless a write of it is in progress.
    void write(const std::string &name, std::uint64_t expectedRevision, const std::string &content);

    PoolWorld &world;
    const RegistrationSystem &registration;
    LeadershipOptions options;
    std::map<std::string, std::uint64_t> calls; ///< writes in progress, by object name
    TimePoint recordsAt{0};                     ///< lost records are not written again before
    TimePoint markerAt{0};                      ///< the same for the marker
};

} // namespace Jujubekeel

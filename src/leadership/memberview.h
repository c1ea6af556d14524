#pragma once

#include "core/time.h"
#include "leadership/fleetview.h"

namespace Jujubekeel {

struct FleetUpdate;

/// The members of the fleet as the store or another member last showed them, and how old that knowledge is. Unlike the
/// view of RegistrationSystem, on which leadership rests, it stays current on an instance that the store turns away while
/// it serves the others. Holds registrations only. Owned by PoolCore.
class MemberView final
{
public:
    /// \a update was read from the store.
    void read(const FleetUpdate &update, TimePoint now);
    /// Another member has reported all members.
    void reported(const FleetUpdate &update, TimePoint now);
    /// Another member has confirmed that the store showed these members at \a at.
    void confirmed(TimePoint at);

    [[nodiscard]] const FleetView &fleet() const { return this->view; }
    /// The members are those of the store at this time, or of a later one; 0: not known.
    [[nodiscard]] TimePoint verifiedAt() const { return this->verified; }

private:
    FleetView view;
    TimePoint verified{0};
};

} // namespace Jujubekeel

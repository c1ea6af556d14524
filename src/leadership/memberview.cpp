#include "leadership/memberview.h"

#include "leadership/fleetmessages.h"

#include <algorithm>

namespace Jujubekeel {

void MemberView::read(const FleetUpdate &update, TimePoint now)
{
    // A report may be newer than an answer of the store that was late.
    if (update.version() < this->view.memberVersion())
        return;
    FleetUpdate members = update;
    std::erase_if(members.objects, [](const FleetObject &object) { return !FleetView::concernsMembers(object.name); });
    if (this->view.apply(members, now))
        this->verified = std::max(this->verified, update.requestedAt);
}

void MemberView::reported(const FleetUpdate &update, TimePoint now)
{
    (void)this->view.apply(update, now);
}

void MemberView::confirmed(TimePoint at)
{
    this->verified = std::max(this->verified, at);
}

} // namespace Jujubekeel

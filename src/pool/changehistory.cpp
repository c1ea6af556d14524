#include "pool/changehistory.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

void ChangeHistory::add(Version earlier, TableChanges changes, std::size_t maxVersions, std::size_t maxBytes)
{
    this->bytes += changes.bytes();
    this->steps.push_back({.earlier = earlier, .changes = std::move(changes)});
    while (!this->steps.empty() && (this->steps.size() > maxVersions || this->bytes > maxBytes)) {
        this->bytes -= this->steps.front().changes.bytes();
        this->steps.pop_front();
    }
}

bool ChangeHistory::contains(Version version) const
{
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [&](const Step &step) { return step.earlier == version; });
}

std::optional<TableChanges> ChangeHistory::since(Version version) const
{
    auto step = std::find_if(this->steps.begin(), this->steps.end(),
                             [&](const Step &candidate) { return candidate.earlier == version; });
    if (step == this->steps.end())
        return std::nullopt;
    TableChanges changes = step->changes;
    while (++step != this->steps.end())
        changes.merge(step->changes);
    return changes;
}

} // namespace Jujubekeel

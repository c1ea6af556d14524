#include "session/termhistory.h"

#include <algorithm>

namespace Jujubekeel {

TermHistory::TermHistory(std::span<const TermStart> starts)
{
    for (const TermStart &start : starts)
        this->append(start);
}

void TermHistory::append(TermStart start)
{
    if (start.term > this->lastTerm())
        this->termStarts.push_back(start);
}

MarkRelation TermHistory::relation(LogPosition end, LogPosition mark) const
{
    if (mark.position == 0)
        return MarkRelation::Contained;

    // A mark of the same term or a newer one needs only a comparison: a server under an older term may still catch up.
    if (end.term <= mark.term)
        return end >= mark ? MarkRelation::Contained : MarkRelation::NotReached;

    // The entry survived if the first term after the mark's term starts at its position or later.
    const auto next = std::ranges::find_if(this->termStarts, [&](const TermStart &s) { return s.term > mark.term; });
    if (next == this->termStarts.end())
        return MarkRelation::NotReached;
    if (mark.position > next->start)
        return MarkRelation::NotSurvived;
    return end.position >= mark.position ? MarkRelation::Contained : MarkRelation::NotReached;
}

} // namespace Jujubekeel

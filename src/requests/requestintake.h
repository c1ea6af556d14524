#pragma once

#include "core/entryrow.h"
#include "core/failurereason.h"

namespace Jujubekeel {

class SessionTokenCodec;
struct World;

/// Validates a caller's request and fills in its row: ids, deadline, session mark and the rules that apply. Stateless;
/// used by RequestSystem.
class RequestIntake final
{
public:
    /// Returns false with a reason if the request is rejected; it was not executed then.
    static bool prepare(World &world, EntryRow &entry, const SessionTokenCodec &codec, FailureReason &reason);
    /// Sets the accepted age of reads, the no-repeat flag of writes and the rule that decided. A rule set must be in
    /// force.
    static void applyRules(const World &world, EntryRow &entry);

private:
    static bool prepareSession(World &world, EntryRow &entry, const SessionTokenCodec &codec, FailureReason &reason);
};

} // namespace Jujubekeel

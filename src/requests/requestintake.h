#pragma once

#include "core/entryrow.h"
#include "core/failurereason.h"

namespace Jujubekeel {

class SessionTokenCodec;
struct World;

/// Checks a caller's request and fills in its row: ids, deadline, session mark and the rules that apply. Stateless; used
/// by RequestSystem.
class RequestIntake final
{
public:
    /// Returns false with a reason if the request is rejected; it has then not run.
    static bool prepare(World &world, EntryRow &entry, const SessionTokenCodec &codec, FailureReason &reason);
    /// Sets the accepted age, whether a write may be repeated, and the rule line that says so. A rule set must be in force.
    static void applyRules(const World &world, EntryRow &entry);

private:
    static bool prepareSession(World &world, EntryRow &entry, const SessionTokenCodec &codec, FailureReason &reason);
};

} // namespace Jujubekeel

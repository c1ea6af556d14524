#pragma once

#include "core/entryrow.h"
#include "core/lastreason.h"

namespace Jujubekeel {

class SessionTokenCodec;
struct World;

/// Checks a caller's request and fills in its row: ids, deadline, session mark and the rules that apply. Stateless; used
/// by RequestSystem.
class RequestIntake final
{
public:
    /// Returns false with a reason if the request is rejected; it has then not run.
    static bool prepare(World &world, EntryRow &entry, const SessionTokenCodec &codec, LastReason &reason);

private:
    static bool prepareSession(World &world, EntryRow &entry, const SessionTokenCodec &codec, LastReason &reason);
    static void applyRules(const World &world, EntryRow &entry);
};

} // namespace Jujubekeel

#pragma once

#include "core/action.h"
#include "core/resultcode.h"

#include <string>

namespace Jujubekeel {

struct EntryRow;
struct World;

/// Reports a finished request to operators: counters, the entry proxy's span and, unless the result is Ok, a log line.
/// Stateless; used by RequestSystem.
class OutcomeReport final
{
public:
    /// \a text explains a code other than Ok. \a fromReplica: a replica served the read.
    static void write(World &world, const EntryRow &entry, ResultCode code, const std::string &text, bool fromReplica,
                      Actions &actions);
};

} // namespace Jujubekeel

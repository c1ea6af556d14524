#pragma once

#include "core/action.h"
#include "core/resultcode.h"

#include <string>

namespace Jujubekeel {

struct EntryRow;
struct World;

/// What a finished request leaves behind for operators: counters, the entry's span and a log line if it was not ok.
/// Stateless; used by RequestSystem.
class OutcomeReport final
{
public:
    /// \a text explains a code other than Ok. \a fromReplica tells where a read was served.
    static void write(World &world, const EntryRow &entry, ResultCode code, const std::string &text, bool fromReplica,
                      Actions &actions);
};

} // namespace Jujubekeel

#pragma once

#include "core/action.h"
#include "core/executionrow.h"
#include "core/peermessages.h"

namespace Jujubekeel {

struct World;

/// Emits the spans of a finished execution: one for the owner and, within it, one for the time at the backend server.
/// Stateless; used by ExecutionSystem.
class ExecutionReport final
{
public:
    static void write(World &world, const ExecutionRow &row, const ForwardAnswer &answer, Actions &actions);
};

} // namespace Jujubekeel

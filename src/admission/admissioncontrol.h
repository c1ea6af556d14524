#pragma once

#include "core/executionrow.h"
#include "core/peermessages.h"

namespace Jujubekeel {

struct World;

/// Decides at the owner whether a request may wait for a backend server: ownership, leaving servers, the primary and its
/// term, room in the queue, and a chance to be served in time. Stateless; used by ExecutionSystem.
class AdmissionControl final
{
public:
    /// Sets the row's transaction if the request belongs to one. Returns false and fills in \a refusal if the request
    /// can't be queued; it has then not run.
    static bool admit(World &world, ExecutionRow &row, ForwardAnswer &refusal);

private:
    static bool admitStatement(World &world, ExecutionRow &row, ForwardAnswer &refusal);
};

} // namespace Jujubekeel

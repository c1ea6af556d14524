#pragma once

#include "core/executionrow.h"
#include "core/peermessages.h"

namespace Jujubekeel {

struct World;

/// Admission control at the owner of a backend server: checks ownership, leaving servers, the primary and its term, the
/// length of the queue and the expected wait before a request is queued. Stateless; used by ExecutionSystem.
class AdmissionControl final
{
public:
    /// Sets the row's transaction if the request belongs to one. Returns false and fills in \a refusal if the request
    /// can't be queued; the request was not executed then.
    static bool admit(World &world, ExecutionRow &row, ForwardAnswer &refusal);

private:
    static bool admitStatement(World &world, ExecutionRow &row, ForwardAnswer &refusal);
};

} // namespace Jujubekeel

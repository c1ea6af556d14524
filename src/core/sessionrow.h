#pragma once

#include "core/id.h"
#include "core/time.h"
#include "session/logposition.h"

namespace Jujubekeel {

/// Mark of a session kept by this proxy. Written by SessionCache.
struct SessionRow
{
    DatabaseId database;
    LogPosition mark;
    TimePoint lastUsed{0};
};

} // namespace Jujubekeel

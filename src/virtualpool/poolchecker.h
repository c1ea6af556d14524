#pragma once

#include "virtualpool/poolworkload.h"
#include "virtualpool/statementgroup.h"

#include <string>
#include <vector>

namespace Jujubekeel {

/// Compares what callers were told with what the servers did. Returns one line for each violation:
/// an acknowledged commit of a replaced primary, a read that lacks a commit that it must see, a write that took effect
/// twice, a write that is kept though its caller was promised otherwise, an answer of another session.
[[nodiscard]] std::vector<std::string> findViolations(const GroupHistory &history, const PoolWorkload &workload);

} // namespace Jujubekeel

#pragma once

#include "virtualpool/poolworkload.h"
#include "virtualpool/statementgroup.h"

#include <string>
#include <vector>

namespace Jujubekeel {

/// Compares the replies to the callers with the history of the servers. Returns one line for each violation: an
/// acknowledged commit that no server executed, that a replaced primary made or, if replicas had to receive it first,
/// that a promotion lost; a read that misses a commit that it must see, a write that took effect twice, a write that was
/// kept although its caller was told that it did not run, a reply that belongs to another session or statement, a
/// statement that ran in the name of another organisation than its caller's, a command that breaks the statement protocol.
[[nodiscard]] std::vector<std::string> findViolations(const StatementGroup &group, const PoolWorkload &workload);

} // namespace Jujubekeel

#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/databaserow.h"
#include "core/id.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Jujubekeel {

struct World;
struct BackendRow;

// Functions on a database group that PromotionSystem and the classes it holds share.

[[nodiscard]] std::size_t majority(const DatabaseRow &row);

/// Number of replicas without traffic from the primary at which it can no longer get the acknowledgements that a write
/// needs.
[[nodiscard]] std::size_t requiredSilentReplicas(const DatabaseRow &row);

/// Time for which a promotion of another instance is respected; under a lease policy it includes the wait for the
/// lease.
[[nodiscard]] Duration rivalPromotionTimeout(const World &world);

/// Records that a server accepts only terms newer than the known one.
void recordRefusedTerm(const World &world, DatabaseRow &row, const ServerStatus &status);

/// True while a promotion is in progress.
[[nodiscard]] bool isActive(PromotionStep step);
/// True if the last status of the server is not older than AuthorityOptions::suspectAfter.
[[nodiscard]] bool isFresh(const World &world, const PromotionMember &member);

/// Index of a server in DatabaseRow::backends. The server must belong to the group.
[[nodiscard]] std::size_t memberIndex(const DatabaseRow &row, BackendId backend);

/// Highest term seen anywhere in the group or in the promotions object.
[[nodiscard]] std::uint64_t highestTerm(const DatabaseRow &row);

[[nodiscard]] bool hasLiveOwner(const World &world, const BackendRow &row);

/// Appends a log line about a promotion. An empty \a reason is left out.
void logPromotionChange(const World &world, DatabaseId database, BackendId backend, std::uint64_t term, LogLevel level,
                        std::string event, std::string reason, Actions &actions);

} // namespace Jujubekeel

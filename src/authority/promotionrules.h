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

// Questions about a database group that PromotionSystem and the classes it holds have in common.

[[nodiscard]] std::size_t majority(const DatabaseRow &row);

/// With so many silent replicas the primary cannot get the acknowledgements that a write needs.
[[nodiscard]] std::size_t silentNeeded(const DatabaseRow &row);

/// How long a promotion of another instance is left alone; under a lease policy it includes the wait for the lease.
[[nodiscard]] Duration patience(const World &world);

/// Remembers that a server accepts newer terms only than the known one.
void noteRefusedTerm(const World &world, DatabaseRow &row, const ServerStatus &status);

[[nodiscard]] bool isActive(PromotionStep step);
[[nodiscard]] bool isFresh(const World &world, const PromotionMember &member);

/// Place of a server in DatabaseRow::backends; it must belong to the group.
[[nodiscard]] std::size_t memberIndex(const DatabaseRow &row, BackendId backend);

/// Highest term seen anywhere in the group or in the promotions object.
[[nodiscard]] std::uint64_t highestTerm(const DatabaseRow &row);

[[nodiscard]] bool hasLiveOwner(const World &world, const BackendRow &row);

/// Appends a log line about a promotion. An empty \a reason is left out.
void logPromotionChange(const World &world, DatabaseId database, BackendId backend, std::uint64_t term, LogLevel level,
                        std::string event, std::string reason, Actions &actions);

} // namespace Jujubekeel

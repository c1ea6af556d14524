#pragma once

#include "core/id.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Jujubekeel {

struct World;

/// Hash of a key or of a member's name; the same on every instance and on every platform.
[[nodiscard]] std::uint64_t rendezvousKey(std::string_view text);

/// Score of a member for a key, from their hashes.
[[nodiscard]] std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t memberHash);

/// Score of a member for a key.
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// Live instances that are not leaving, best first: those of \a failureDomain before the others, and by score within
/// each part. An empty \a failureDomain means no preference.
[[nodiscard]] std::vector<InstanceId> rankInstances(const World &world, std::string_view key,
                                                    std::string_view failureDomain);

} // namespace Jujubekeel

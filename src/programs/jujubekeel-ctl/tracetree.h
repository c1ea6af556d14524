#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// One hop of a request as an instance recorded it.
struct TraceHop
{
    std::string instance;
    std::string span;
    std::string parent;
    std::string name;
    std::int64_t startUs = 0; ///< clock of the instance; never compared with that of another instance
    std::int64_t durationUs = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// A hop at its place in the picture.
struct TraceLine
{
    TraceHop hop;
    std::uint32_t depth = 0;
    std::int64_t ownUs = 0; ///< duration less that of the hops below, which includes the network to them
};

/// The hops in the answer of one instance to `GET /v1/trace/{id}`. Damaged entries are left out.
[[nodiscard]] std::vector<TraceHop> hopsFromJson(const std::string &instance, const nlohmann::ordered_json &answer);

/// Puts hops under their parents. Hops whose parent is unknown come first in the line of the tree; a hop that several
/// instances report appears once; a cycle of parents does not hide hops.
[[nodiscard]] std::vector<TraceLine> arrangeHops(std::vector<TraceHop> hops);

} // namespace Jujubekeel

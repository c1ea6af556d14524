#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// One hop of a request, as recorded by an instance.
struct TraceHop
{
    std::string instance;
    std::string span;
    std::string parent;
    std::string name;
    std::int64_t startUs = 0; ///< by the clock of the instance; not comparable with other instances
    std::int64_t durationUs = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// A hop at its position in the printed tree.
struct TraceLine
{
    TraceHop hop;
    std::uint32_t depth = 0;
    std::int64_t ownUs = 0; ///< duration minus that of the child hops; includes the network time to them
};

/// Reads the hops from the response of one instance to `GET /v1/trace/{id}`. Malformed entries are left out.
[[nodiscard]] std::vector<TraceHop> hopsFromJson(const std::string &instance, const nlohmann::ordered_json &response);

/// Arranges hops as trees, depth first. A hop whose parent is unknown is a root; a hop that several instances report
/// appears once; hops in a cycle of parents are listed after all trees.
[[nodiscard]] std::vector<TraceLine> arrangeHops(std::vector<TraceHop> hops);

} // namespace Jujubekeel

#pragma once

#include "catalog/routetable.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>

/// JSON form of routes in messages between instances.
namespace Jujubekeel {

[[nodiscard]] nlohmann::json toJson(const Route &route);
[[nodiscard]] nlohmann::json toJson(const RouteTable &table);
/// Throws nlohmann::json::exception if a field is missing or has another type, or the consistency is unknown.
[[nodiscard]] Route routeFromJson(const nlohmann::json &root);
/// Throws as routeFromJson().
[[nodiscard]] std::shared_ptr<const RouteTable> routeTableFromJson(const nlohmann::json &root);

} // namespace Jujubekeel

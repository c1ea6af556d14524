#pragma once

#include "catalog/organisationdifference.h"
#include "catalog/routedifference.h"

#include <nlohmann/json_fwd.hpp>

/// JSON form of differences between versions of the configuration in messages between instances.
namespace Jujubekeel {

[[nodiscard]] nlohmann::json toJson(const RouteDifference &difference);
[[nodiscard]] nlohmann::json toJson(const OrganisationDifference &difference);
/// Throws nlohmann::json::exception if a field is missing or has another type, or a value is out of range.
[[nodiscard]] RouteDifference routeDifferenceFromJson(const nlohmann::json &root);
/// Throws as routeDifferenceFromJson().
[[nodiscard]] OrganisationDifference organisationDifferenceFromJson(const nlohmann::json &root);

} // namespace Jujubekeel

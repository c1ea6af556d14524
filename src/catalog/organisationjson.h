#pragma once

#include "organisations/organisationtable.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <vector>

/// JSON form of organisations in messages between instances; it contains digests of keys, never keys.
namespace Jujubekeel {

/// Without keys.
[[nodiscard]] nlohmann::json toJson(const Organisation &organisation);
[[nodiscard]] nlohmann::json toJson(const OrganisationTable &table);
/// Throws nlohmann::json::exception if a field is missing or has another type.
[[nodiscard]] Organisation organisationFromJson(const nlohmann::json &entry);
/// Throws nlohmann::json::exception unless \a list is a list of digests.
[[nodiscard]] std::vector<KeyDigest> keyDigestsFromJson(const nlohmann::json &list);
/// Throws nlohmann::json::exception if \a root is not the result of toJson().
[[nodiscard]] std::shared_ptr<const OrganisationTable> organisationTableFromJson(const nlohmann::json &root);

} // namespace Jujubekeel

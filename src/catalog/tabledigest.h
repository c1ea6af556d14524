#pragma once

#include <cstdint>

namespace Jujubekeel {

class OrganisationTable;
class RouteTable;

/// Digest of the services, routes and limits of a table, without its version and organisations. The same at all
/// instances; never 0. Two tables of one version may differ, after the store has returned from an older copy.
[[nodiscard]] std::uint64_t digestOf(const RouteTable &table);
/// The same for organisations with their limits and keys, without their version. Keys of two organisations, which
/// identify neither, do not count.
[[nodiscard]] std::uint64_t digestOf(const OrganisationTable &table);

} // namespace Jujubekeel

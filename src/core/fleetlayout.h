#pragma once

#include "core/id.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

struct InstanceSettings
{
    std::string name;
    std::string failureDomain;
    std::string callerAddress;   ///< "ip:port"
    std::string peerAddress;     ///< "ip:port"
    std::string operatorAddress; ///< "ip:port"
};

struct DatabaseSettings
{
    std::string name;
    std::vector<BackendId> backends;
};

struct BackendSettings
{
    std::string name;
    DatabaseId database;
    std::string failureDomain;
    std::string address;     ///< "ip:port"
    std::uint32_t slots = 3; ///< limit of statements executing at the same time, over the whole fleet
    std::uint32_t connectionLimit =
        20; ///< limit of open connections over the whole fleet, including control connections
};

/// Instances, databases and backend servers from the settings. Read-only after loading. The index of an id is the index
/// into the matching vector.
struct FleetLayout
{
    std::string user; ///< part of the rule object's name on the platform
    std::vector<InstanceSettings> instances;
    std::vector<DatabaseSettings> databases;
    std::vector<BackendSettings> backends;

    /// Look-ups by name. The id is invalid if the name is unknown.
    [[nodiscard]] InstanceId findInstance(std::string_view name) const;
    [[nodiscard]] DatabaseId findDatabase(std::string_view name) const;
    [[nodiscard]] BackendId findBackend(std::string_view name) const;

    [[nodiscard]] const InstanceSettings &at(InstanceId id) const { return this->instances.at(id.index); }
    [[nodiscard]] const DatabaseSettings &at(DatabaseId id) const { return this->databases.at(id.index); }
    [[nodiscard]] const BackendSettings &at(BackendId id) const { return this->backends.at(id.index); }
};

} // namespace Jujubekeel

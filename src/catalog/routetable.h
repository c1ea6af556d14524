#pragma once

#include "catalog/route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// One accepted configuration. Immutable once built; owned by PoolWorld, which never goes back to a lower version.
class RouteTable final
{
public:
    /// Connections that one backend server of the service accepts from all callers together.
    struct ServiceLimits
    {
        std::uint32_t maxConnections = 20;
    };

    explicit RouteTable(std::uint64_t version = 0) : tableVersion(version) {}

    /// Adds a route; a later route for the same database replaces the earlier one.
    void addRoute(Route route);
    void addService(std::string name, ServiceLimits limits);
    void setTransactionIdleLimit(Duration limit) { this->idleLimit = limit; }

    /// The route of a database, or null if the configuration has none.
    [[nodiscard]] std::shared_ptr<const Route> find(std::string_view database) const;
    [[nodiscard]] std::uint32_t maxConnections(std::string_view service) const;
    /// Of all services; empty if there is none.
    [[nodiscard]] std::optional<std::uint32_t> smallestConnectionLimit() const;
    [[nodiscard]] bool hasService(std::string_view service) const;
    [[nodiscard]] std::uint64_t version() const { return this->tableVersion; }
    [[nodiscard]] std::size_t size() const { return this->routes.size(); }
    /// A transaction that rests for longer than this may be ended.
    [[nodiscard]] Duration transactionIdleLimit() const { return this->idleLimit; }

private:
    std::uint64_t tableVersion;
    std::map<std::string, std::shared_ptr<const Route>, std::less<>> routes; ///< by database
    std::map<std::string, ServiceLimits, std::less<>> services;
    Duration idleLimit = std::chrono::seconds(3);
};

} // namespace Jujubekeel

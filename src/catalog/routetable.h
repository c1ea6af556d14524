#pragma once

#include "catalog/route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Jujubekeel {

class OrganisationTable;

/// Routes and limits of one version of the configuration. Immutable once built; held by PoolWorld, which replaces it
/// only by a higher version.
class RouteTable final
{
public:
    struct ServiceLimits
    {
        std::uint32_t maxConnections = 20; ///< of each backend server of the service, for all instances together
        std::uint32_t syncReplicas = 0;    ///< replicas that have received a commit before it is acknowledged
        bool operator==(const ServiceLimits &) const = default;
    };

    explicit RouteTable(std::uint64_t version = 0) : tableVersion(version) {}
    /// A table with the content of \a earlier apart from its organisations, as the start of a later version.
    RouteTable(std::uint64_t version, const RouteTable &earlier);

    /// Adds a route; a later route for the same database replaces the earlier one.
    void addRoute(Route route);
    /// Adds a route that another version of the table also contains.
    void shareRoute(std::shared_ptr<const Route> route);
    /// Returns false if there is no route for the database.
    [[nodiscard]] bool removeRoute(std::string_view database);
    /// Returns false if there is no such service.
    [[nodiscard]] bool removeService(std::string_view name);
    /// Takes those routes over from \a earlier that are equal apart from their version, so that what was derived from them
    /// stays valid.
    void shareRoutesOf(const RouteTable &earlier);
    void addService(std::string name, ServiceLimits limits);
    void setTransactionIdleLimit(Duration limit) { this->idleLimit = limit; }
    void setOrganisations(std::shared_ptr<const OrganisationTable> table)
    {
        this->organisationTable = std::move(table);
    }

    /// The route of a database, or null if the configuration has none.
    [[nodiscard]] std::shared_ptr<const Route> find(std::string_view database) const;
    [[nodiscard]] std::uint32_t maxConnections(std::string_view service) const;
    [[nodiscard]] std::uint32_t syncReplicas(std::string_view service) const;
    /// The lowest limit of all services; empty if there are no services.
    [[nodiscard]] std::optional<std::uint32_t> smallestConnectionLimit() const;
    [[nodiscard]] bool hasService(std::string_view service) const;
    [[nodiscard]] std::uint64_t version() const { return this->tableVersion; }
    [[nodiscard]] std::size_t size() const { return this->routes.size(); }
    /// All routes by database.
    [[nodiscard]] const std::map<std::string, std::shared_ptr<const Route>, std::less<>> &allRoutes() const
    {
        return this->routes;
    }
    /// All services by name.
    [[nodiscard]] const std::map<std::string, ServiceLimits, std::less<>> &allServices() const
    {
        return this->services;
    }
    /// Organisations of the same version; null: the configuration names none, and callers need no key.
    [[nodiscard]] const std::shared_ptr<const OrganisationTable> &organisations() const
    {
        return this->organisationTable;
    }
    /// Transactions that have been idle for longer than this are rolled back.
    [[nodiscard]] Duration transactionIdleLimit() const { return this->idleLimit; }

private:
    std::uint64_t tableVersion;
    std::map<std::string, std::shared_ptr<const Route>, std::less<>> routes; ///< by database
    std::map<std::string, ServiceLimits, std::less<>> services;
    std::shared_ptr<const OrganisationTable> organisationTable;
    Duration idleLimit = std::chrono::seconds(3);
};

} // namespace Jujubekeel

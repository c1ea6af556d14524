#include "catalog/routetable.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

RouteTable::RouteTable(std::uint64_t version, const RouteTable &earlier)
    : tableVersion(version), routes(earlier.routes), services(earlier.services), idleLimit(earlier.idleLimit)
{
}

void RouteTable::addRoute(Route route)
{
    route.version = this->tableVersion;
    std::string database = route.database;
    this->routes.insert_or_assign(std::move(database), std::make_shared<const Route>(std::move(route)));
}

void RouteTable::shareRoute(std::shared_ptr<const Route> route)
{
    std::string database = route->database;
    this->routes.insert_or_assign(std::move(database), std::move(route));
}

bool RouteTable::removeRoute(std::string_view database)
{
    const auto found = this->routes.find(database);
    if (found == this->routes.end())
        return false;
    this->routes.erase(found);
    return true;
}

bool RouteTable::removeService(std::string_view name)
{
    const auto found = this->services.find(name);
    if (found == this->services.end())
        return false;
    this->services.erase(found);
    return true;
}

void RouteTable::shareRoutesOf(const RouteTable &earlier)
{
    for (auto &[database, route] : this->routes) {
        const auto found = earlier.routes.find(database);
        if (found != earlier.routes.end() && found->second != route && found->second->hasSameContent(*route))
            route = found->second;
    }
}

void RouteTable::addService(std::string name, ServiceLimits limits)
{
    this->services.insert_or_assign(std::move(name), limits);
}

std::shared_ptr<const Route> RouteTable::find(std::string_view database) const
{
    const auto found = this->routes.find(database);
    return found == this->routes.end() ? nullptr : found->second;
}

std::uint32_t RouteTable::maxConnections(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? ServiceLimits{}.maxConnections : found->second.maxConnections;
}

std::uint32_t RouteTable::syncReplicas(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? ServiceLimits{}.syncReplicas : found->second.syncReplicas;
}

std::optional<std::uint32_t> RouteTable::smallestConnectionLimit() const
{
    std::optional<std::uint32_t> smallest;
    for (const auto &[name, limits] : this->services)
        smallest = std::min(smallest.value_or(limits.maxConnections), limits.maxConnections);
    return smallest;
}

bool RouteTable::hasService(std::string_view service) const
{
    return this->services.contains(service);
}

} // namespace Jujubekeel

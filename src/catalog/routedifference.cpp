#include "catalog/routedifference.h"

#include "catalog/tablechanges.h"
#include "catalog/tabledigest.h"

namespace Jujubekeel {

RouteDifference RouteDifference::make(std::uint64_t baseVersion, const TableChanges &changes, const RouteTable &later,
                                      std::uint64_t laterDigest)
{
    RouteDifference difference{.baseVersion = baseVersion,
                               .version = later.version(),
                               .digest = laterDigest,
                               .idleLimit = later.transactionIdleLimit()};
    for (const std::string &database : changes.databases) {
        if (auto route = later.find(database))
            difference.routes.push_back(std::move(route));
        else
            difference.removedRoutes.push_back(database);
    }
    for (const std::string &name : changes.services) {
        const auto found = later.allServices().find(name);
        if (found != later.allServices().end())
            difference.services.emplace(name, found->second);
        else
            difference.removedServices.push_back(name);
    }
    return difference;
}

std::shared_ptr<RouteTable> RouteDifference::appliedTo(const RouteTable &base) const
{
    if (base.version() != this->baseVersion || this->version <= this->baseVersion)
        return nullptr;
    auto table = std::make_shared<RouteTable>(this->version, base);
    table->setTransactionIdleLimit(this->idleLimit);
    // An entry may have been added and removed again between the two versions, so that an unknown name is no error. The
    // digest shows whether the result is right.
    for (const std::string &database : this->removedRoutes)
        static_cast<void>(table->removeRoute(database));
    for (const auto &route : this->routes)
        table->shareRoute(route);
    for (const std::string &name : this->removedServices)
        static_cast<void>(table->removeService(name));
    for (const auto &[name, limits] : this->services)
        table->addService(name, limits);
    return digestOf(*table) == this->digest ? table : nullptr;
}

} // namespace Jujubekeel

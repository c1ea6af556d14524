#include "virtualpool/poolconfiguration.h"

#include "virtualpool/organisationshares.h"

#include <array>
#include <utility>

namespace Jujubekeel {

namespace {

/// Operations of an organisation above its rate that may follow a quiet time.
constexpr double organisationBurst = 20;

} // namespace

std::string PoolConfiguration::databaseOf(const std::string &database, std::size_t group)
{
    return group == 0 ? database : database + "-" + std::to_string(group);
}

std::string PoolConfiguration::organisationKey(std::size_t organisation)
{
    return "key-" + std::to_string(organisation);
}

std::string PoolConfiguration::organisationName(std::size_t organisation)
{
    return "org" + std::to_string(organisation);
}

std::shared_ptr<const RouteTable> PoolConfiguration::makeRoutes() const
{
    auto routes = std::make_shared<RouteTable>(this->version);
    for (std::size_t group = 0; group <= this->options.furtherGroups.size(); ++group)
        this->addRoutes(*routes, group);
    if (!this->organisations && this->options.organisations > 0) {
        auto generated = std::make_shared<OrganisationTable>(this->version);
        const std::vector<double> shares = organisationShares(this->options.organisations);
        for (std::size_t index = 0; index < shares.size(); ++index) {
            const std::array<KeyDigest, 1> keys{KeyDigest::ofKey(organisationKey(index))};
            generated->add({.name = organisationName(index),
                            .limit = RateLimit{.operationsPerSecond = this->options.organisationRate * shares[index],
                                               .burst = organisationBurst}},
                           keys);
        }
        routes->setOrganisations(std::move(generated));
    }
    for (std::size_t index = 0; index < this->fillerRoutes; ++index) {
        const std::string name = "filler-" + std::to_string(index);
        routes->addRoute(Route{.name = name, .database = name, .service = this->options.group.service});
    }
    if (this->organisations)
        routes->setOrganisations(this->organisations);
    if (!this->namedOrganisations.empty()) {
        auto named = std::make_shared<OrganisationTable>(this->version);
        for (const Organisation &organisation : this->namedOrganisations)
            named->add(organisation, std::vector{KeyDigest::ofKey(organisation.name)});
        routes->setOrganisations(std::move(named));
    }
    return routes;
}

void PoolConfiguration::addRoutes(RouteTable &routes, std::size_t group) const
{
    const StatementGroupOptions &settings = group == 0 ? this->options.group : this->options.furtherGroups[group - 1];
    routes.addService(settings.service,
                      {.maxConnections = settings.connectionLimit, .syncReplicas = settings.syncReplicas});
    for (const std::string &database : this->databases) {
        const std::string name = databaseOf(database, group);
        Route route{.name = "route-" + name, .database = name, .service = settings.service};
        route.consistency = database == boundedRoute ? ReadConsistency::BoundedStale
                            : database == ownRoute   ? ReadConsistency::ReadYourWrites
                                                     : ReadConsistency::Primary;
        route.maxStaleness = database == boundedRoute ? Duration(1500000) : Duration(2500000);
        route.statementTimeout = std::chrono::seconds(database == boundedRoute ? 2 : 1);
        route.priority = database == primaryRoute ? 1 : 2;
        route.latencyObjective = this->options.latencyObjective;
        route.isPublic = this->options.publicRoutes || this->publicDatabases.contains(database);
        routes.addRoute(std::move(route));
    }
}

} // namespace Jujubekeel

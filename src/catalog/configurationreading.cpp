#include "catalog/configurationreading.h"

#include "organisations/organisationtable.h"

#include <utility>

namespace Jujubekeel {

void ConfigurationReading::addFault(ConfigurationFault fault)
{
    const bool isFirstRejection = fault.effect == FaultEffect::Rejected && !this->rejected;
    this->rejected = this->rejected || isFirstRejection;
    if (this->faults.size() < faultLimit) {
        this->faults.push_back(std::move(fault));
        return;
    }
    this->omittedFaults += 1;
    // The reason of the rejection is always listed.
    if (isFirstRejection)
        this->faults.back() = std::move(fault);
}

std::shared_ptr<const RouteTable> toRouteTable(const ConfigurationReading &reading)
{
    if (reading.rejected)
        return nullptr;
    auto table = std::make_shared<RouteTable>(reading.version);
    for (const auto &entry : reading.routes)
        table->addRoute(entry.route);
    for (const auto &entry : reading.services)
        table->addService(entry.name, entry.limits);
    table->setTransactionIdleLimit(reading.transactionIdleLimit);
    if (reading.requiresKeys) {
        auto organisations = std::make_shared<OrganisationTable>(reading.version);
        for (const auto &entry : reading.organisations)
            organisations->add(entry.organisation, entry.keys);
        table->setOrganisations(std::move(organisations));
    }
    return table;
}

} // namespace Jujubekeel

#pragma once

#include "catalog/configurationfault.h"
#include "catalog/routetable.h"
#include "organisations/keydigest.h"
#include "organisations/organisation.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Entries of one configuration in the order of its text, including those that a later one replaces, and its faults.
/// Owned by the function that reads it.
struct ConfigurationReading
{
    struct RouteEntry
    {
        std::size_t index = 0; ///< in the list of the text, as are those below
        Route route;
        bool canBeOpened = true; ///< a message of a caller can contain the name of the database
    };
    struct ServiceEntry
    {
        std::size_t index = 0;
        std::string name;
        RouteTable::ServiceLimits limits;
    };
    struct OrganisationEntry
    {
        std::size_t index = 0;
        Organisation organisation;
        bool hasBurst = false;                   ///< the text contains a burst, so that 0 is not a default
        std::vector<KeyDigest> keys;             ///< in the order of the text
        std::vector<std::size_t> unsendableKeys; ///< positions of keys that no message of a caller can contain
    };

    std::uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServiceEntry> services;
    std::vector<OrganisationEntry> organisations; ///< without those that are left out
    bool requiresKeys = false;                    ///< the text names organisations, whether or not they can be read
    Duration transactionIdleLimit = std::chrono::seconds(3);
    std::vector<ConfigurationFault> faults; ///< at most `faultLimit`
    std::size_t omittedFaults = 0;          ///< further ones
    bool rejected = false;                  ///< one of the faults, listed or not, has the effect Rejected

    /// A short text can contain millions of faulty entries; a list of all of them would not fit the memory of an instance.
    static constexpr std::size_t faultLimit = 10000;

    void addFault(ConfigurationFault fault);
};

/// The table that comes into force with a configuration; null if it is rejected.
[[nodiscard]] std::shared_ptr<const RouteTable> toRouteTable(const ConfigurationReading &reading);

} // namespace Jujubekeel

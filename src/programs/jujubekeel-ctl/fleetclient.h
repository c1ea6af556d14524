#pragma once

#include "core/platformmessages.h"
#include "core/resultcode.h"
#include "settings/proxysettings.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Response of one instance on its operators' address.
struct InstanceResponse
{
    std::string instance;
    ResultCode code = ResultCode::InstanceUnreachable; ///< Ok: `json` holds the response
    std::string text;                                  ///< reason of an error
    nlohmann::ordered_json json;
};

/// Calls the platform and the instances of a fleet for the operators' command. Owned by FleetCommands and RuleCommands;
/// one thread. callAllInstances() starts threads that end before it returns.
class FleetClient final
{
public:
    explicit FleetClient(const ProxySettings &proxySettings) : settings(proxySettings) {}

    /// Makes one call to the platform. Unavailable if there is no usable response; \a error is then the reason.
    [[nodiscard]] PlatformAnswer callPlatform(const PlatformCall &call, std::string &error) const;

    /// Makes one call to an instance.
    [[nodiscard]] InstanceResponse callInstance(InstanceId instance, const std::string &method,
                                                const std::string &path) const;
    /// Sends the same GET to all instances, several in parallel. The responses are in the order of the settings.
    [[nodiscard]] std::vector<InstanceResponse> callAllInstances(const std::string &path) const;

private:
    const ProxySettings &settings;
};

} // namespace Jujubekeel

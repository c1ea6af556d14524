#pragma once

#include "core/platformmessages.h"
#include "core/resultcode.h"
#include "settings/proxysettings.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// What one instance answered on its operators' address.
struct InstanceAnswer
{
    std::string instance;
    ResultCode code = ResultCode::InstanceUnreachable; ///< Ok: `json` holds the answer
    std::string text;                                  ///< reason of an error
    nlohmann::ordered_json json;
};

/// Calls the platform and the instances of a fleet for the operators' command. Owned by main; uses threads of its own
/// within a call only.
class FleetClient final
{
public:
    explicit FleetClient(const ProxySettings &proxySettings) : settings(proxySettings) {}

    /// One call to the platform. Unavailable if there is no answer that can be used; \a error then tells why.
    [[nodiscard]] PlatformAnswer callPlatform(const PlatformCall &call, std::string &error) const;

    /// One call to an instance.
    [[nodiscard]] InstanceAnswer callInstance(InstanceId instance, const std::string &method,
                                              const std::string &path) const;
    /// The same GET to all instances, several at a time, in the order of the settings.
    [[nodiscard]] std::vector<InstanceAnswer> askAll(const std::string &path) const;

private:
    const ProxySettings &settings;
};

} // namespace Jujubekeel

#pragma once

#include "programs/jujubekeel-ctl/commandoutput.h"
#include "programs/jujubekeel-ctl/fleetclient.h"
#include "settings/proxysettings.h"

#include <string>
#include <vector>

namespace Jujubekeel {

/// The commands status, explain, trace and drain. Each returns the exit status. Owned by main; one thread.
class FleetCommands final
{
public:
    FleetCommands(const ProxySettings &settings, const CommandOutput &output);

    [[nodiscard]] int status() const;
    [[nodiscard]] int explain(const std::string &requestId) const;
    /// What each instance would decide now for a request of this shape; \a kind is read or write.
    [[nodiscard]] int preview(const std::string &database, const std::string &kind, const std::string &operation) const;
    [[nodiscard]] int trace(const std::string &traceId) const;
    [[nodiscard]] int drain(const std::string &instance) const;

private:
    int showRecords(const std::string &path, const std::string &noneText) const;
    /// Reports instances without a usable answer. Returns how many answered, with NotFound or with a result.
    [[nodiscard]] std::size_t reportFailures(const std::vector<InstanceAnswer> &answers) const;
    void writeRecord(const InstanceAnswer &answer) const;

    const ProxySettings &settings;
    const CommandOutput &output;
    FleetClient client;
};

} // namespace Jujubekeel

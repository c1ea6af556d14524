#pragma once

#include "programs/jujubekeel-ctl/commandoutput.h"
#include "programs/jujubekeel-ctl/fleetclient.h"
#include "settings/proxysettings.h"

#include <string>
#include <vector>

namespace Jujubekeel {

/// The commands status, explain, trace and drain; each returns the exit status. Owned by run() in main.cpp; one thread.
class FleetCommands final
{
public:
    FleetCommands(const ProxySettings &settings, const CommandOutput &output);

    [[nodiscard]] int status() const;
    [[nodiscard]] int explain(const std::string &requestId) const;
    /// Shows what each instance would decide now for such a request; \a kind is "read" or "write".
    [[nodiscard]] int preview(const std::string &database, const std::string &kind, const std::string &operation) const;
    [[nodiscard]] int trace(const std::string &traceId) const;
    [[nodiscard]] int drain(const std::string &instance) const;

private:
    /// Shows the responses of all instances to a GET of \a path; an error with \a notFoundText if none has a record.
    int showRecords(const std::string &path, const std::string &notFoundText) const;
    /// Writes an error for each instance without a usable response. Returns how many sent a result or NotFound.
    [[nodiscard]] std::size_t reportFailures(const std::vector<InstanceResponse> &responses) const;
    void writeRecord(const InstanceResponse &response) const;

    const ProxySettings &settings;
    const CommandOutput &output;
    FleetClient client;
};

} // namespace Jujubekeel

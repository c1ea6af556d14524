#pragma once

#include "catalog/serverentry.h"
#include "pool/poolids.h"

#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

class DispatchSystem;
class LinkSystem;
class ResultSystem;
struct PoolWorld;

/// Keeps the tables of services and backend servers in step with the entries of the store. Owned by PoolCore.
class DirectorySystem final
{
public:
    DirectorySystem(PoolWorld &poolWorld, LinkSystem &linkSystem, DispatchSystem &dispatchSystem,
                    ResultSystem &resultSystem)
        : world(poolWorld), links(linkSystem), dispatch(dispatchSystem), results(resultSystem)
    {
    }

    /// One entry was written.
    void entryChanged(const ServerEntry &entry);
    /// One entry was removed. The server counts as gone at once if it was draining, else after a grace: entries lapse
    /// while the store is away, and those of living servers come back.
    void entryRemoved(std::string_view id);
    /// The complete list; what it does not name was removed.
    void entriesListed(const std::vector<ServerEntry> &entries);
    /// A server's grace may have passed.
    void checkMissing(ServerId server);
    /// Adds the services of a new configuration.
    void servicesChanged();

    [[nodiscard]] ServiceId addService(const std::string &name);

private:
    ServerId addServer(const ServerEntry &entry);
    void update(ServerId server, const ServerEntry &entry);
    void remove(ServerId server, std::string_view reason);

    PoolWorld &world;
    LinkSystem &links;
    DispatchSystem &dispatch;
    ResultSystem &results;
};

} // namespace Jujubekeel

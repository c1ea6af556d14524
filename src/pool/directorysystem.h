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

/// Updates the tables of services and backend servers from the entries in the store. Owned by PoolCore.
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
    /// One entry was removed. A server that is draining or has no links is removed at once, any other after a grace
    /// period: entries expire during an outage of the store, and servers that still run write them again.
    void entryRemoved(std::string_view id);
    /// \a entries is the complete list; entries that it does not contain were removed.
    void entriesListed(const std::vector<ServerEntry> &entries);
    /// Removes the server if its entry is still missing after the grace period.
    void checkMissing(ServerId server);
    /// A new configuration is in force: dispatches queued work, since limits may have changed.
    void servicesChanged();

    /// Returns the service of this name, and adds it if it does not exist.
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

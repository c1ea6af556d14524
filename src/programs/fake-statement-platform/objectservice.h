#pragma once

#include "programs/fake-shared/fakehttpserver.h"
#include "virtualpool/fleetstore.h"

#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

class StatementServers;

/// HTTP interface of the fake platform: an object store with conditional writes and watches, the promotion call, and
/// fault injection for tests (`POST /v1/fault` with `server` and `running` or `draining`, with `down`, or with `copy` or
/// `restore`). Keeps the store's entries of the backend servers up to date. Owned by main; called from the threads of the HTTP server and
/// from the thread that refreshes the entries.
class ObjectService final
{
public:
    explicit ObjectService(StatementServers &statementServers);

    [[nodiscard]] FakeHttpResponse handle(const FakeHttpRequest &httpRequest);
    /// Writes the entries of servers whose state has changed to the store, and removes those of stopped servers.
    void refreshEntries();

private:
    [[nodiscard]] FakeHttpResponse handleStoreCall(const FakeHttpRequest &httpRequest);
    /// Returns the store to its copy; the servers write their entries again.
    void restoreStore();
    [[nodiscard]] FakeHttpResponse list(const std::string &kind, const FakeHttpRequest &httpRequest);
    [[nodiscard]] FakeHttpResponse watch(const std::string &kind, const FakeHttpRequest &httpRequest);
    [[nodiscard]] FakeHttpResponse write(const std::string &kind, const FakeHttpRequest &httpRequest);
    [[nodiscard]] FakeHttpResponse remove(const std::string &name, const FakeHttpRequest &httpRequest);
    [[nodiscard]] FakeHttpResponse promote(const FakeHttpRequest &httpRequest);
    [[nodiscard]] FakeHttpResponse fault(const FakeHttpRequest &httpRequest);
    [[nodiscard]] std::string entryText(std::size_t server) const;

    StatementServers &servers;
    FleetStore store; ///< object names have the form "kind/name"; guarded by StatementServers::groupMutex()
    std::map<std::string, std::uint64_t> revisions; ///< current revision of each object, by name
    /// Content that was written last, by object name; empty if the server is not running.
    std::map<std::string, std::string> entries;
    bool down = false; ///< simulated outage: all calls except fault injection get no response
};

} // namespace Jujubekeel

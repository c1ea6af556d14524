#pragma once

#include "programs/fake-shared/fakehttpserver.h"
#include "virtualpool/fleetstore.h"

#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

class StatementServers;

/// HTTP form of the platform: objects by kind with conditional writes and watches, the promotion call, and faults for
/// tests (`POST /v1/fault` with `server` and `running` or `draining`, or `down`). Keeps the entries of the servers up to
/// date. Owned by main; any thread.
class ObjectService final
{
public:
    explicit ObjectService(StatementServers &statementServers);

    [[nodiscard]] FakeHttpReply handle(const FakeHttpCall &call);
    /// Writes the servers' entries that have changed.
    void refreshEntries();

private:
    [[nodiscard]] FakeHttpReply list(const std::string &kind);
    [[nodiscard]] FakeHttpReply watch(const std::string &kind, const FakeHttpCall &call);
    [[nodiscard]] FakeHttpReply write(const std::string &kind, const FakeHttpCall &call);
    [[nodiscard]] FakeHttpReply remove(const std::string &name, const FakeHttpCall &call);
    [[nodiscard]] FakeHttpReply promote(const FakeHttpCall &call);
    [[nodiscard]] FakeHttpReply fault(const FakeHttpCall &call);
    [[nodiscard]] std::string entryText(std::size_t server) const;

    StatementServers &servers;
    FleetStore store; ///< names are "kind/name"; guarded by the servers' mutex
    std::map<std::string, std::uint64_t> revisions;
    std::map<std::string, std::string> entries;
    bool down = false;
};

} // namespace Jujubekeel

#include "pool/unlistedservers.h"

namespace Jujubekeel {

namespace {

/// A server without an entry counts as ended after this time: it receives nothing any more.
constexpr Duration endedAfter = std::chrono::seconds(60);

} // namespace

void UnlistedServers::removed(const std::string &server, const std::string &address, bool wasDraining,
                              bool hasSuccessor, TimePoint now)
{
    // The log of a server that has left is transferred to the next one at its address.
    this->rows.insert_or_assign(server, Row{.address = address,
                                            .wasDraining = wasDraining,
                                            .isCovered = wasDraining && hasSuccessor,
                                            .removedAt = now});
}

void UnlistedServers::added(const std::string &server, const std::string &address)
{
    this->rows.erase(server);
    for (auto &[other, row] : this->rows)
        row.isCovered = row.isCovered || (row.wasDraining && row.address == address);
}

void UnlistedServers::commitAcknowledged(TimePoint now)
{
    for (auto &[server, row] : this->rows)
        row.isCovered = row.isCovered || hasEnded(row, now);
}

void UnlistedServers::recorded(const std::set<std::string> &servers, TimePoint now)
{
    for (const std::string &server : servers)
        this->rows.try_emplace(server, Row{.removedAt = now}).first->second.isRecorded = true;
    std::erase_if(this->rows, [&](const auto &entry) {
        const Row &row = entry.second;
        return !servers.contains(entry.first) && (row.isRecorded || row.isCovered);
    });
}

void UnlistedServers::recordLost()
{
    for (auto &[server, row] : this->rows)
        row.isRecorded = false;
}

void UnlistedServers::forgetEnded(TimePoint now)
{
    std::erase_if(this->rows, [&](const auto &entry) { return hasEnded(entry.second, now); });
}

bool UnlistedServers::hasEnded(const Row &row, TimePoint now)
{
    return now - row.removedAt >= endedAfter;
}

std::set<std::string> UnlistedServers::holders() const
{
    std::set<std::string> result;
    for (const auto &[server, row] : this->rows) {
        if (!row.isCovered)
            result.insert(server);
    }
    return result;
}

} // namespace Jujubekeel

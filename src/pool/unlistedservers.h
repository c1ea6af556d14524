#pragma once

#include "core/time.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace Jujubekeel {

/// Servers of one service that have no directory entry here and may hold commits which the listed ones lack. A server whose
/// entry was removed may still run, receive, and count toward the synchronous replicas: it reaches the primary, but not
/// the store. It is covered once the listed servers are known to hold all that it may hold. Part of ServiceRow; written by
/// DirectorySystem, GroupSystem and ResultSystem.
class UnlistedServers final
{
public:
    /// The entry of a server was removed. \a hasSuccessor: another server is listed at its address.
    void removed(const std::string &server, const std::string &address, bool wasDraining, bool hasSuccessor,
                 TimePoint now);
    /// The entry of a server was added.
    void added(const std::string &server, const std::string &address);
    /// A commit was acknowledged, which listed servers have received together with all that came before.
    void commitAcknowledged(TimePoint now);
    /// The GroupRecord names these servers that have no entry here. A server that it no longer names is covered.
    void recorded(const std::set<std::string> &servers, TimePoint now);
    /// The GroupRecord may have lost servers.
    void recordLost();
    /// Forgets servers that have ended, as no record is kept for the service. Commits of before it gets synchronous replicas
    /// have no guarantee, and these servers receive no later ones.
    void forgetEnded(TimePoint now);

    [[nodiscard]] bool empty() const { return this->rows.empty(); }
    /// Servers that are not covered.
    [[nodiscard]] std::set<std::string> holders() const;

private:
    struct Row
    {
        std::string address; ///< empty: not known
        bool wasDraining = false;
        bool isCovered = false;
        bool isRecorded = false; ///< the GroupRecord has named it
        TimePoint removedAt{0};  ///< when its entry was removed, or when this instance heard of it
    };

    [[nodiscard]] static bool hasEnded(const Row &row, TimePoint now);

    std::map<std::string, Row, std::less<>> rows; ///< by server
};

} // namespace Jujubekeel

#pragma once

#include "core/id.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Jujubekeel {

struct World;

/// Best-ranked instances for every backend server and the coordinator of every database, by rendezvous hashing over the
/// live instances. A change of one instance updates only the rows that it enters or leaves, because ranking thousands
/// of instances for thousands of servers again takes longer than a tick. Owned by World; refreshed by the systems that
/// read it, at the start of their ticks.
class CandidateTable final
{
public:
    /// Updates the table from the instances that are live and not leaving. Cheap if nothing has changed.
    void refresh(const World &world);

    /// Candidates for the lock of a backend server, best first; at most MembershipOptions::candidates.
    [[nodiscard]] std::span<const InstanceId> forBackend(BackendId backend) const
    {
        return this->backendRows.at(backend.index).ranked;
    }
    /// The coordinator of a database; an invalid id if no instance is live.
    [[nodiscard]] InstanceId coordinator(DatabaseId database) const;
    /// Backend servers for which this instance is a candidate.
    [[nodiscard]] std::span<const BackendId> ownCandidacies() const { return this->candidacies; }
    /// Increases with each change.
    [[nodiscard]] std::uint64_t version() const { return this->changeCount; }

private:
    struct Row
    {
        std::uint64_t keyHash = 0;
        std::vector<InstanceId> ranked; ///< best first
    };

    /// Computes all rows from the layout and the current instances.
    void build(const World &world);
    void add(const World &world, InstanceId instance);
    void remove(const World &world, InstanceId instance);
    void rank(const World &world, Row &row, std::uint32_t domain, std::size_t limit) const;
    void insert(Row &row, InstanceId instance, std::uint32_t domain, std::size_t limit) const;
    [[nodiscard]] bool isBetter(const Row &row, std::uint32_t domain, InstanceId left, InstanceId right) const;
    void collectCandidacies(const World &world);

    std::vector<bool> present;                  ///< by instance: live and not leaving
    std::vector<std::uint64_t> instanceHashes;  ///< by instance: rendezvousKey of its name
    std::vector<std::uint32_t> instanceDomains; ///< by instance: number of its failure domain
    std::vector<std::uint32_t> backendDomains;  ///< by backend server: number of its failure domain
    std::vector<Row> backendRows;
    std::vector<Row> databaseRows;
    std::vector<BackendId> candidacies; ///< see ownCandidacies()
    std::uint64_t changeCount = 0;
};

} // namespace Jujubekeel

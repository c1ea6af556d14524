#pragma once

#include "virtualfleet/seededrandom.h"
#include "virtualpool/virtualpool.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct OrganisationWorkloadOptions
{
    double rate = 100;               ///< operations per second of all organisations at their usual demand
    std::uint32_t writePercent = 20; ///< the other operations read, half of them at the primary
    std::size_t surging = 0;         ///< organisation that sends a multiple of its usual demand
    double surgeFactor = 1;
    Duration surgeAfter{0};                     ///< from the start of the load
    Duration surgeTime = std::chrono::hours(1); ///< duration of the surge
    std::uint64_t seed = 1;
};

/// One statement of an organisation.
struct OrganisationOperation
{
    std::size_t organisation = 0;
    std::string id; ///< of the statement
    TimePoint startedAt{0};
    TimePoint endedAt{0}; ///< 0: not answered yet
    std::optional<OutcomeCode> error;
};

/// Sends single statements of organisations through all instances, at times that do not depend on the replies. The
/// demand of the organisations follows organisationShares(). Owned by a test or a benchmark; used by one thread.
class OrganisationWorkload final
{
public:
    OrganisationWorkload(VirtualPool &virtualPool, OrganisationWorkloadOptions workloadOptions);

    /// Starts the load; no statement is sent after \a end.
    void start(TimePoint end);

    [[nodiscard]] const std::vector<OrganisationOperation> &operations() const { return this->sent; }
    /// Statements that ran on a connection that was not opened in the name of the caller's organisation.
    [[nodiscard]] std::vector<std::string> findWrongNames(const StatementGroup &group) const;

private:
    using SessionKey = std::tuple<std::size_t, std::size_t, std::string>; ///< instance, organisation, database

    void scheduleNext(std::size_t organisation);
    void send(std::size_t organisation);
    void received(VirtualPool::CallerId session);
    [[nodiscard]] double demand(std::size_t organisation) const;
    [[nodiscard]] std::optional<VirtualPool::CallerId> takeSession(const SessionKey &key);

    VirtualPool &pool;
    OrganisationWorkloadOptions options;
    SeededRandom random;
    std::vector<double> shares;
    TimePoint startedAt{0};
    TimePoint endAt{0};
    std::map<SessionKey, std::vector<VirtualPool::CallerId>> idle;
    std::map<VirtualPool::CallerId, std::pair<SessionKey, std::size_t>> busy; ///< with the place in `sent`
    std::vector<OrganisationOperation> sent;
};

} // namespace Jujubekeel

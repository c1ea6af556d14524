#pragma once

#include "virtualfleet/seededrandom.h"
#include "virtualpool/virtualpool.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct UnevenLoadOptions
{
    double rate = 1000;                ///< operations per second of all failure domains together, on average
    std::uint32_t primaryPercent = 40; ///< of the operations: only primaries can do them; a third of these write
    double swing = 0;                  ///< part by which the demand of a domain rises and falls
    Duration period = std::chrono::seconds(11); ///< of the swing; the domains have evenly distributed phases
    std::uint32_t attempts = 3; ///< tries of an operation that is refused, each at another instance of the domain
    std::uint64_t seed = 1;
};

/// Sends single statements to all groups through the instances of each failure domain, with a demand of its own that
/// swings, at times that do not depend on the replies. Owned by a test or a benchmark; used by one thread.
class UnevenLoad final
{
public:
    struct Operation
    {
        TimePoint sentAt{0};
        TimePoint endedAt{0}; ///< 0: not answered
        std::size_t group = 0;
        bool primaryOnly = false;
        bool write = false;
        std::uint32_t attempts = 0;
        std::optional<OutcomeCode> error;
    };

    UnevenLoad(VirtualPool &virtualPool, UnevenLoadOptions loadOptions);

    /// Starts the load; no operation is started after \a end.
    void start(TimePoint end);
    /// Multiplies the rate from now on.
    void setRateFactor(double factor) { this->rateFactor = factor; }
    /// Callers no longer use, or use again, an instance.
    void setAvoided(std::size_t instance, bool isAvoided)
    {
        if (isAvoided)
            this->avoided.insert(instance);
        else
            this->avoided.erase(instance);
    }
    [[nodiscard]] const std::vector<Operation> &operations() const { return this->all; }
    /// Id of the statements of an operation.
    [[nodiscard]] static std::string idOf(std::size_t operation) { return "o" + std::to_string(operation); }
    /// Operation that has sent the statement \a id; empty if there is none.
    [[nodiscard]] const Operation *find(const std::string &id) const;

private:
    using SessionKey = std::pair<std::size_t, std::string>; ///< instance, database

    struct Running
    {
        SessionKey key;
        std::size_t operation = 0;
        std::size_t domain = 0;
    };

    void scheduleNext(std::size_t domain);
    [[nodiscard]] std::size_t drawInstance(std::size_t domain);
    [[nodiscard]] double demand(std::size_t domain) const;
    void send(std::size_t operation, std::size_t domain);
    [[nodiscard]] std::optional<VirtualPool::CallerId> takeSession(const SessionKey &key);
    void received(VirtualPool::CallerId caller, const CallerReply &reply);

    VirtualPool &pool;
    UnevenLoadOptions options;
    SeededRandom random;
    std::vector<std::vector<std::size_t>> instancesOf; ///< by domain
    std::set<std::size_t> avoided;
    TimePoint startedAt{0};
    TimePoint endAt{0};
    double rateFactor = 1;
    std::map<SessionKey, std::vector<VirtualPool::CallerId>> idle;
    std::map<VirtualPool::CallerId, Running> running;
    std::vector<Operation> all;
};

} // namespace Jujubekeel

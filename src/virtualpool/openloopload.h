#pragma once

#include "virtualfleet/seededrandom.h"
#include "virtualpool/virtualpool.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct OpenLoopOptions
{
    std::uint32_t readsPerSecond = 600; ///< single reads of the `bounded` route
    std::uint32_t writesPerSecond = 60; ///< single writes of the `primary` route
    std::uint64_t seed = 1;
};

/// Sends single statements through all instances in turn at a given rate, whatever becomes of earlier ones, and records
/// how each ended. Owned by a test or a benchmark; used by one thread.
class OpenLoopLoad final
{
public:
    struct Sample
    {
        TimePoint sentAt{0};
        Duration took{0};
        bool write = false;
        bool ended = false;
        std::optional<OutcomeCode> error;
    };

    OpenLoopLoad(VirtualPool &virtualPool, OpenLoopOptions loadOptions);

    /// Starts the load; no statement is sent after \a end.
    void start(TimePoint end);
    /// Multiplies the rates from now on.
    void setRatePercent(std::uint32_t percent) { this->ratePercent = percent; }
    [[nodiscard]] const std::vector<Sample> &samples() const { return this->all; }

private:
    using SessionKey = std::pair<std::size_t, bool>; ///< instance, writes

    void scheduleNext(bool write);
    void send(bool write);
    void received(VirtualPool::CallerId caller, const CallerReply &reply);

    VirtualPool &pool;
    OpenLoopOptions options;
    SeededRandom random;
    TimePoint endAt{0};
    std::uint32_t ratePercent = 100;
    std::size_t nextInstance = 0;
    std::map<SessionKey, std::vector<VirtualPool::CallerId>> idle;
    std::map<VirtualPool::CallerId, std::pair<SessionKey, std::size_t>> running; ///< and the index of its sample
    std::vector<Sample> all;
};

} // namespace Jujubekeel

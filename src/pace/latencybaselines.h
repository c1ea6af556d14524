#pragma once

#include "core/time.h"
#include "pace/serverpaceoptions.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Jujubekeel {

/// Average and best durations of the statements at one server, by kind, so that a change of the mixture of short and long
/// statements does not look like a change of the server. The queries are about the kind that was recorded last. Constant
/// time and memory; further kinds share the last place.
class LatencyBaselines final
{
public:
    explicit LatencyBaselines(const ServerPaceOptions &paceOptions) : options(paceOptions) {}

    void record(Duration kind, Duration took, TimePoint now);
    /// Averages start anew; the best ones are kept.
    void forgetAverages();

    /// Moving average; 0: unknown.
    [[nodiscard]] Duration average() const { return this->kinds[this->last].average; }
    /// Lowest average in the last seconds; 0: unknown.
    [[nodiscard]] Duration best() const;
    /// Whether answers take about as long as the best ones, or too few are known.
    [[nodiscard]] bool isNearBest() const;
    /// Whether answers take much longer than the best ones.
    [[nodiscard]] bool isSlow() const;

private:
    struct Kind
    {
        Duration name{0};
        Duration average{0};
        std::uint32_t samples = 0; ///< of `average`, up to minLatencySamples
        Duration best{0};          ///< lowest average since bestSince; 0: none
        Duration earlierBest{0};   ///< the same of the interval before
        TimePoint bestSince{0};
    };
    static constexpr std::size_t maxKinds = 8;

    [[nodiscard]] std::size_t placeOf(Duration kind);

    ServerPaceOptions options;
    std::array<Kind, maxKinds> kinds;
    std::size_t count = 0;
    std::size_t last = 0;
};

} // namespace Jujubekeel

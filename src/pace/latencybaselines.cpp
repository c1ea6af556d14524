#include "pace/latencybaselines.h"

#include <algorithm>

namespace Jujubekeel {

std::size_t LatencyBaselines::placeOf(Duration kind)
{
    for (std::size_t place = 0; place < this->count; ++place) {
        if (this->kinds[place].name == kind)
            return place;
    }
    if (this->count == maxKinds)
        return maxKinds - 1;
    this->kinds[this->count].name = kind;
    return this->count++;
}

void LatencyBaselines::record(Duration kind, Duration took, TimePoint now)
{
    this->last = this->placeOf(kind);
    Kind &row = this->kinds[this->last];
    row.average = row.samples == 0 ? took : row.average + (took - row.average) / this->options.latencySamples;
    row.samples = std::min(row.samples + 1, this->options.minLatencySamples);
    if (row.samples < this->options.minLatencySamples)
        return;
    if (now - row.bestSince >= this->options.bestRetention) {
        row.earlierBest = row.best;
        row.best = Duration{0};
        row.bestSince = now;
    }
    // 0 stands for unknown.
    const Duration current = std::max(row.average, Duration{1});
    row.best = row.best.count() == 0 ? current : std::min(row.best, current);
}

void LatencyBaselines::forgetAverages()
{
    for (Kind &row : this->kinds)
        row.samples = 0;
}

Duration LatencyBaselines::best() const
{
    const Kind &row = this->kinds[this->last];
    if (row.best.count() == 0 || row.earlierBest.count() == 0)
        return std::max(row.best, row.earlierBest);
    return std::min(row.best, row.earlierBest);
}

bool LatencyBaselines::isNearBest() const
{
    const Kind &row = this->kinds[this->last];
    return row.samples < this->options.minLatencySamples || row.average <= this->best() * this->options.nearBestFactor
           || row.average - this->best() <= this->options.slowMargin;
}

bool LatencyBaselines::isSlow() const
{
    const Kind &row = this->kinds[this->last];
    return row.samples >= this->options.minLatencySamples && row.average > this->best() * this->options.slowFactor
           && row.average - this->best() > this->options.slowMargin;
}

} // namespace Jujubekeel

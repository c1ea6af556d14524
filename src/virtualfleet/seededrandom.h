#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace Jujubekeel {

/// Random numbers that depend only on the seed. The distributions of <random> differ between standard libraries.
/// Owned by the object that draws from it.
class SeededRandom final
{
public:
    explicit SeededRandom(std::uint64_t seed) : engine(seed) {}

    /// Evenly distributed in [0, bound). The bound must not be 0.
    std::uint64_t below(std::uint64_t bound)
    {
        assert(bound > 0);
        return this->engine() % bound;
    }
    /// Returns true with a probability of \a percent.
    bool chance(std::uint32_t percent) { return this->below(100) < percent; }

private:
    std::mt19937_64 engine;
};

} // namespace Jujubekeel

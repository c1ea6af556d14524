#include "net/randomid.h"

#include <cstdint>
#include <random>

namespace Jujubekeel {

namespace {

std::mt19937_64 seededGenerator()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

} // namespace

std::string randomHex(std::size_t digits)
{
    thread_local std::mt19937_64 generator = seededGenerator();
    static constexpr const char *alphabet = "0123456789abcdef";
    std::string text;
    text.reserve(digits);
    std::uint64_t bits = 0;
    for (std::size_t index = 0; index < digits; ++index) {
        if (index % 16 == 0)
            bits = generator();
        text += alphabet[bits & 15U];
        bits >>= 4U;
    }
    return text;
}

} // namespace Jujubekeel

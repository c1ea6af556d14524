#include "observe/traceids.h"

#include "core/statehasher.h"
#include "core/world.h"

#include <array>

namespace Jujubekeel {

namespace {

/// Returns 16 hexadecimal digits.
std::string toHexDigits(std::uint64_t value)
{
    constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    constexpr std::size_t length = 16;
    std::string text(length, '0');
    for (std::size_t index = length; index > 0; --index) {
        text[index - 1] = digits.at(value & 0xfU);
        value >>= 4U;
    }
    return text;
}

std::uint64_t uniqueHash(World &world)
{
    StateHasher hasher;
    hasher.add(world.selfName());
    hasher.add(world.incarnation);
    hasher.add(world.allocateSerial());
    return hasher.value();
}

} // namespace

std::string makeTraceId(World &world)
{
    const std::string firstHalf = toHexDigits(uniqueHash(world));
    return firstHalf + toHexDigits(uniqueHash(world));
}

std::string makeSpanId(World &world)
{
    return toHexDigits(uniqueHash(world));
}

std::string makeUniqueName(World &world, const char *prefix)
{
    return std::string(prefix) + '-' + world.selfName() + '-' + std::to_string(world.incarnation) + '-'
           + std::to_string(world.allocateSerial());
}

} // namespace Jujubekeel

#pragma once

#include <cstdint>
#include <string_view>

namespace Jujubekeel {

struct World;

/// FNV-1a hash over a sequence of values. The same values give the same hash in every run and process.
class StateHasher final
{
public:
    void add(std::uint64_t value);
    void add(std::string_view text);
    [[nodiscard]] std::uint64_t value() const { return this->state; }

private:
    std::uint64_t state = 14695981039346656037ULL; // offset basis of 64-bit FNV-1a
};

/// Hash over the tables of a proxy.
[[nodiscard]] std::uint64_t hashWorld(const World &world);

} // namespace Jujubekeel

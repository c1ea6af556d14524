#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

struct World;

/// Identifiers that are unique over instances and restarts without a random source: a hash over instance, incarnation
/// and a counter.
[[nodiscard]] std::string makeTraceId(World &world); ///< 32 hexadecimal digits
[[nodiscard]] std::string makeSpanId(World &world);  ///< 16 hexadecimal digits
/// Readable name `prefix-instance-incarnation-number`.
[[nodiscard]] std::string makeUniqueName(World &world, const char *prefix);

} // namespace Jujubekeel

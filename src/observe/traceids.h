#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

struct World;

/// Identifiers that are unique across instances and restarts, made without a random source: a hash of the instance's
/// name, its incarnation and a counter.
[[nodiscard]] std::string makeTraceId(World &world); ///< 32 hexadecimal digits
[[nodiscard]] std::string makeSpanId(World &world);  ///< 16 hexadecimal digits
/// Returns the readable unique name `prefix-instance-incarnation-number`.
[[nodiscard]] std::string makeUniqueName(World &world, const char *prefix);

} // namespace Jujubekeel

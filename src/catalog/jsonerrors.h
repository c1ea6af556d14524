#pragma once

namespace Jujubekeel {

/// Error id, in nlohmann::json::other_error, of a value that has the right type but is out of range. The library itself
/// uses 500 and 501.
inline constexpr int valueOutOfRange = 599;

} // namespace Jujubekeel

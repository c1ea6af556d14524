#pragma once

#include <cstddef>
#include <string>

namespace Jujubekeel {

/// Random lower-case hexadecimal digits, for request, trace and span ids. Not for secrets. Any thread.
[[nodiscard]] std::string randomHex(std::size_t digits);

} // namespace Jujubekeel

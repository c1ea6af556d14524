#pragma once

#include <string_view>

namespace Jujubekeel {

/// True if the whole \a text matches \a pattern, in which `*` matches any sequence of characters, including none.
[[nodiscard]] bool matchesPattern(std::string_view pattern, std::string_view text);

} // namespace Jujubekeel

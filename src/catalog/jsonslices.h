#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

// Divide JSON text into its parts without reading the values in them, so that a value that cannot be read (invalid UTF-8, a
// number out of range, very deep nesting) does not make its neighbours unreadable. Only strings and brackets are
// followed; the stack needed does not depend on the text. The parts are views into the text.

/// Values by name of a JSON object; of equal names the last one. Names are compared as written, escapes included. Empty if
/// the text is not an object or has more than 10,000 members.
[[nodiscard]] std::optional<std::map<std::string, std::string_view, std::less<>>>
sliceJsonObject(std::string_view text);

/// Elements of a JSON array; empty if the text is not an array or has more than 200,000 elements.
[[nodiscard]] std::optional<std::vector<std::string_view>> sliceJsonArray(std::string_view text);

} // namespace Jujubekeel

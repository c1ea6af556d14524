#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace Jujubekeel {

/// Parses JSON text from another process. Empty if the text is invalid, nested deeper than 32 levels, or holds more than
/// 200,000 values: handling a value takes stack for each level, so that a short text of brackets could otherwise end the
/// process, and a short text of small values takes far more memory than its bytes.
[[nodiscard]] std::optional<nlohmann::json> parseBoundedJson(std::string_view text);
/// Byte of \a text at which it is nested too deeply, begins one value too many, or else is invalid for parseBoundedJson(). Empty if the text is valid or
/// contains a number that is out of range.
[[nodiscard]] std::optional<std::size_t> jsonFaultOffset(std::string_view text);

} // namespace Jujubekeel

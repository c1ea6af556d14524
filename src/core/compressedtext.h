#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// The text in zlib's format, as Base64 without line breaks.
[[nodiscard]] std::string compressText(std::string_view text);
/// The text of \a size bytes from which compressText() has made \a compressed. Empty if it has another size or is damaged;
/// no more than \a size + 1 bytes are decompressed. The caller limits the size.
[[nodiscard]] std::optional<std::string> decompressText(std::string_view compressed, std::size_t size);

} // namespace Jujubekeel

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Position and cause of an error in CBOR bytes.
struct CborError
{
    std::size_t byte = 0; ///< counted from 0
    std::string text;
};

/// Checks the structure of one CBOR item before a decoder sees it: whole numbers, booleans, null, texts, arrays and
/// maps of definite length, nested at most \a depthLimit deep, without trailing bytes. The JSON library's decoder is
/// recursive, also for texts of indefinite length, so that deeply nested input could exhaust its stack. Returns the
/// first error, or an empty value.
[[nodiscard]] std::optional<CborError> checkCbor(std::string_view bytes, std::size_t depthLimit);

} // namespace Jujubekeel

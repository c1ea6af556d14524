#pragma once

#include <string>
#include <string_view>

// This header is included by peersocket.cpp, which is compiled as C++17.
namespace Jujubekeel {

/// HMAC-SHA256 as 64 hexadecimal digits.
[[nodiscard]] std::string hmacSha256Hex(const std::string &key, const std::string &text);

/// Compares in a time that does not depend on the position of the first difference, to prevent timing attacks.
[[nodiscard]] bool equalSecrets(std::string_view left, std::string_view right);

/// 32 hexadecimal digits from the system's random source.
[[nodiscard]] std::string randomNonce();

} // namespace Jujubekeel

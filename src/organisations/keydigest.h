#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// SHA-256 digest of a caller's key. Keys themselves are dropped where they arrive, so that no log line, message to a
/// server or memory dump of a table can contain one.
class KeyDigest final
{
public:
    static constexpr std::size_t size = 32; ///< bytes

    [[nodiscard]] static KeyDigest ofKey(std::string_view key);
    /// Lower-case hexadecimal digits.
    [[nodiscard]] std::string toHex() const;
    [[nodiscard]] std::string_view toBytes() const
    {
        return {reinterpret_cast<const char *>(this->bytes.data()), this->bytes.size()};
    }
    /// Empty if \a hex is not the result of toHex().
    [[nodiscard]] static std::optional<KeyDigest> fromHex(std::string_view hex);

    auto operator<=>(const KeyDigest &) const = default;

    struct Hash
    {
        std::size_t operator()(const KeyDigest &digest) const;
    };

private:
    std::array<std::uint8_t, size> bytes{};
};

} // namespace Jujubekeel

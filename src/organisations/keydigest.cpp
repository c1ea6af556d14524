#include "organisations/keydigest.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <cstring>

namespace Jujubekeel {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

} // namespace

KeyDigest KeyDigest::ofKey(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    const Poco::DigestEngine::Digest &digest = engine.digest();
    KeyDigest result;
    std::copy_n(digest.begin(), std::min(digest.size(), size), result.bytes.begin());
    return result;
}

std::string KeyDigest::toHex() const
{
    std::string hex;
    hex.reserve(2 * size);
    for (const std::uint8_t byte : this->bytes) {
        hex += hexDigits[byte >> 4U];
        hex += hexDigits[byte & 0xFU];
    }
    return hex;
}

std::optional<KeyDigest> KeyDigest::fromHex(std::string_view hex)
{
    if (hex.size() != 2 * size)
        return std::nullopt;
    KeyDigest result;
    for (std::size_t index = 0; index < hex.size(); ++index) {
        const std::size_t digit = hexDigits.find(hex[index]);
        if (digit == std::string_view::npos)
            return std::nullopt;
        std::uint8_t &byte = result.bytes[index / 2];
        byte = static_cast<std::uint8_t>((byte << 4U) | digit);
    }
    return result;
}

std::size_t KeyDigest::Hash::operator()(const KeyDigest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof hash);
    return hash;
}

} // namespace Jujubekeel

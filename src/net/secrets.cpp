#include "net/secrets.h"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <array>
#include <cstddef>
#include <cstdio>
#include <random>

namespace Jujubekeel {

namespace {

/// Adds the size constants that HMACEngine requires and SHA2Engine does not define.
class Sha256Engine final : public Poco::SHA2Engine
{
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming): names of the library

    Sha256Engine() : SHA2Engine(SHA_256) {}
};

} // namespace

std::string hmacSha256Hex(const std::string &key, const std::string &text)
{
    Poco::HMACEngine<Sha256Engine> engine(key);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index)
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    return difference == 0;
}

std::string randomNonce()
{
    std::random_device device;
    std::string text;
    for (int word = 0; word < 4; ++word) {
        std::array<char, 9> digits{};
        std::snprintf(digits.data(), digits.size(), "%08x", device());
        text += digits.data();
    }
    return text;
}

} // namespace Jujubekeel

#include "session/sessiontokencodec.h"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <array>
#include <cassert>
#include <charconv>

namespace Jujubekeel {

namespace {

/// SHA-256 with the members that Poco::HMACEngine expects of its engine.
class Sha256Engine final : public Poco::SHA2Engine
{
public:
    // NOLINTNEXTLINE(readability-identifier-naming): Poco::HMACEngine expects these names.
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };

    Sha256Engine() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

constexpr char separator = '|';
constexpr std::size_t tokenFields = 5; // session, database, term, position, signature

std::string signature(const std::string &key, std::string_view text)
{
    Poco::HMACEngine<Sha256Engine> engine(key);
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

/// Compares without stopping at the first difference, so that timing reveals nothing about the signature.
bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index)
        difference |= static_cast<unsigned>(left[index] ^ right[index]);
    return difference == 0;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

SessionTokenCodec::SessionTokenCodec(std::span<const std::string> keys) : signingKeys(keys.begin(), keys.end())
{
    assert(!this->signingKeys.empty());
}

std::string SessionTokenCodec::sign(const SessionMark &mark) const
{
    std::string text = mark.session + separator + mark.database + separator + std::to_string(mark.position.term)
                       + separator + std::to_string(mark.position.position);
    const std::string code = signature(this->signingKeys.front(), text);
    return text + separator + code;
}

std::optional<SessionMark> SessionTokenCodec::verify(std::string_view token, FailureReason &reason) const
{
    // Split into fields.
    std::array<std::string_view, tokenFields> fields;
    std::size_t count = 0;
    std::string_view rest = token;
    while (count < tokenFields) {
        const std::size_t end = rest.find(separator);
        fields.at(count++) = rest.substr(0, end);
        if (end == std::string_view::npos) {
            rest = {};
            break;
        }
        rest.remove_prefix(end + 1);
    }
    const auto term = parseNumber(fields[2]);
    const auto position = parseNumber(fields[3]);
    if (count != tokenFields || !rest.empty() || !term || !position) {
        reason.set(ResultCode::BadToken, "the session token is malformed: expected five fields separated by '|'");
        return std::nullopt;
    }

    // Check the signature against each key in use.
    const std::string_view text = token.substr(0, token.size() - fields[4].size() - 1);
    for (const std::string &key : this->signingKeys) {
        if (equalInConstantTime(signature(key, text), fields[4])) {
            return SessionMark{.session = std::string(fields[0]),
                               .database = std::string(fields[1]),
                               .position = {.term = *term, .position = *position}};
        }
    }
    reason.set(ResultCode::BadToken, "the session token is not signed with a key in use");
    return std::nullopt;
}

} // namespace Jujubekeel

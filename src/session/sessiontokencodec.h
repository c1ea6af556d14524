#pragma once

#include "core/failurereason.h"
#include "session/sessionmark.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Signs and verifies session tokens: the mark in plain text with an HMAC-SHA256 signature. The first key signs and
/// every key verifies, so that keys can be rotated while sessions are open. Stateless after construction; owned by
/// RequestSystem.
class SessionTokenCodec final
{
public:
    /// \a keys must not be empty.
    explicit SessionTokenCodec(std::span<const std::string> keys);

    [[nodiscard]] std::string sign(const SessionMark &mark) const;
    /// Empty with ResultCode::BadToken as reason if the token is malformed or not signed with a key in use.
    [[nodiscard]] std::optional<SessionMark> verify(std::string_view token, FailureReason &reason) const;

private:
    std::vector<std::string> signingKeys;
};

} // namespace Jujubekeel

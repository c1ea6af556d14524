#pragma once

#include "pool/poolmessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Decodes a line of the statement protocol that a backend server has received. Returns an empty value if the line is
/// not a command.
[[nodiscard]] std::optional<ServerCommand> decodeCommand(std::string_view line);
/// Encodes a message of a backend server, with the line end.
[[nodiscard]] std::string encodeServerMessage(const ServerMessage &message);

} // namespace Jujubekeel

#pragma once

#include "pool/poolmessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// The server's side of the statement protocol. Empty if the line is not a command.
[[nodiscard]] std::optional<ServerCommand> decodeCommand(std::string_view line);
[[nodiscard]] std::string encodeServerMessage(const ServerMessage &message);

} // namespace Jujubekeel

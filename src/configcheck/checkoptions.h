#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace Jujubekeel {

/// Size of the deployment that a configuration is checked for. Checks that need a missing figure are left out.
struct CheckOptions
{
    std::optional<std::uint32_t> servers;     ///< backend servers of all services
    std::optional<std::uint32_t> slots;       ///< statements that one server runs concurrently
    std::optional<std::uint32_t> connections; ///< that one server accepts
    std::optional<std::uint32_t> members;     ///< instances that hold connections to servers
    /// Mean duration of a statement on a server. 1 ms is below that of any real load, so that a sum of rates that
    /// exceeds the capacity at this duration is too high in any case.
    Duration statementTime = std::chrono::milliseconds(1);
};

} // namespace Jujubekeel

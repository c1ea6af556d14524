#pragma once

#include "catalog/route.h"
#include "session/logposition.h"

#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// What a member has to know of the session whose work another instance relays to it. Sent before the work whenever it
/// differs from what the link's earlier user needed.
struct RelayedRoute
{
    Route route;
    std::optional<LogPosition> mark; ///< newest commit of the session

    /// One line without line ends.
    [[nodiscard]] std::string toText() const;
    [[nodiscard]] static std::optional<RelayedRoute> fromText(std::string_view text);
};

} // namespace Jujubekeel

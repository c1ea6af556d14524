#pragma once

#include "catalog/route.h"
#include "session/logposition.h"

#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Description of a session for the member to which another instance relays its work. Sent over the link before the
/// work if it differs from what was last sent.
struct RelayedRoute
{
    Route route; ///< its version is that of the configuration against which the organisation was checked
    std::optional<LogPosition> mark; ///< log position of the session's newest commit
    std::string organisation;        ///< in whose name the work runs; empty: none

    /// JSON text without line breaks.
    [[nodiscard]] std::string toText() const;
    /// Empty if \a text is invalid.
    [[nodiscard]] static std::optional<RelayedRoute> fromText(std::string_view text);
};

} // namespace Jujubekeel

#pragma once

#include "session/logposition.h"

#include <string>

namespace Jujubekeel {

/// What a session has seen of one database. Travels with the caller as a signed token.
struct SessionMark
{
    std::string session; ///< session id
    std::string database;
    LogPosition position;

    bool operator==(const SessionMark &) const = default;
};

} // namespace Jujubekeel

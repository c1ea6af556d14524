#pragma once

#include "session/logposition.h"

#include <string>

namespace Jujubekeel {

/// Mark of a session: the newest log position of one database that the session has seen. The caller carries it as a
/// signed token from request to request.
struct SessionMark
{
    std::string session; ///< session id
    std::string database;
    LogPosition position;

    bool operator==(const SessionMark &) const = default;
};

} // namespace Jujubekeel

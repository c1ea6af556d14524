#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// Error code of a statement. Busy, Aborted, Lagging, ReadOnly, Misrouted and Overload guarantee that the statement, or
/// its transaction, has changed nothing; the others guarantee nothing.
enum class OutcomeCode : std::uint8_t {
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    Misrouted,
    Overload,
    Failed,
    UnknownName,
    Timeout,
    InDoubt,
    NoDatabase,
    TooLarge,
    Malformed,
    Denied,
};

struct OutcomeError
{
    OutcomeCode code = OutcomeCode::Failed;
    std::string text;
};

} // namespace Jujubekeel

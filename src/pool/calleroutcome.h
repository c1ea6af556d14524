#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// How a statement ended when it has no result. Busy, Aborted, Lagging, ReadOnly, Misrouted and Overload promise that
/// nothing of the attempt is kept; the others promise nothing.
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

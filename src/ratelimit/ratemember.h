#pragma once

#include <string>

namespace Jujubekeel {

/// Member of the fleet that may grant operations.
struct RateMember
{
    std::string name;
    std::string region; ///< empty if it is not known

    bool operator==(const RateMember &) const = default;
};

} // namespace Jujubekeel

#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Jujubekeel {

/// Request of an instance for operations of an organisation, to one of its members.
struct RateRequest
{
    std::uint64_t serial = 0; ///< unique at one RateSpender
    std::string organisation;
    std::size_t place = 0; ///< of the member in RateRanks::askOrder()
    std::uint32_t wanted = 0;
    TimePoint sentAt{0};
};

} // namespace Jujubekeel

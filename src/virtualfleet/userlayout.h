#pragma once

#include "core/fleetlayout.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// The two users described on the design page.
enum class FleetUser : std::uint8_t { Association, Hjolasmidja };

/// Layout, rules and load parameters of one user.
struct UserProfile
{
    FleetLayout layout;
    std::string rules;               ///< text of the rule file in force at the start
    std::string rulesWithoutReadAge; ///< the same lines without read-age rules; the baseline of primary-only reads
    std::uint32_t writePercent = 50;
    std::string noRepeatWrite;    ///< operation that a no-repeat rule covers
    std::string plainWrite;       ///< operation that no rule covers
    std::string agedRead;         ///< operation that a read-age rule covers
    std::string shortAgedRead;    ///< operation with a short accepted age, so that an exceeded age is detected soon
    std::string plainRead;        ///< operation that no rule covers
    Duration acceptedAge{0};      ///< of agedRead
    Duration shortAcceptedAge{0}; ///< of shortAgedRead
};

[[nodiscard]] UserProfile makeUserProfile(FleetUser user);
[[nodiscard]] std::string_view fleetUserName(FleetUser user);

} // namespace Jujubekeel

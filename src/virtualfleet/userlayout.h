#pragma once

#include "core/fleetlayout.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// The two users of the design page.
enum class FleetUser : std::uint8_t { Association, Hjolasmidja };

/// Layout, rules and shape of the load of one user.
struct UserProfile
{
    FleetLayout layout;
    std::string rules;      ///< text of the rule file in force at the start
    std::string shortRules; ///< the same lines without read-age rules; the baseline of primary-only reads
    std::uint32_t writePercent = 50;
    std::string guardedWrite;  ///< operation that a no-repeat rule covers
    std::string plainWrite;    ///< operation without a rule
    std::string agedRead;      ///< operation that a read-age rule covers
    std::string briefAgedRead; ///< operation with a short accepted age, so that an exceeded age shows soon
    std::string plainRead;     ///< operation without a rule
    Duration acceptedAge{0};
    Duration briefAge{0};
};

[[nodiscard]] UserProfile makeUserProfile(FleetUser user);
[[nodiscard]] std::string_view fleetUserName(FleetUser user);

} // namespace Jujubekeel

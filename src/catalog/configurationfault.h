#pragma once

#include "catalog/configurationplace.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// What is done with a part of a configuration that cannot be read as written.
enum class FaultEffect : std::uint8_t {
    Rejected,     ///< the whole configuration is rejected; the one in force stays
    EntryIgnored, ///< the entry is left out, the others are in force
    ValueIgnored, ///< a default is used in place of the value
};

/// A fault that was found while a configuration was read.
struct ConfigurationFault
{
    FaultEffect effect = FaultEffect::Rejected;
    ConfigurationPlace place;
    std::string text; ///< contains nothing from the configuration, so that no key of a caller reaches a log
};

} // namespace Jujubekeel

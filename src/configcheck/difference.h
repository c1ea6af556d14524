#pragma once

#include "catalog/configurationplace.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

enum class DifferenceKind : std::uint8_t {
    Added,
    Removed,
    Changed,
    Raised,  ///< of a limit
    Lowered, ///< of a limit
    KeysAdded,
    KeysWithdrawn,
};

/// One difference of a configuration from the version in force.
struct Difference
{
    DifferenceKind kind = DifferenceKind::Changed;
    ConfigurationPart part = ConfigurationPart::Whole;
    std::string name; ///< database of a route, name of a service or organisation; contains no key
    ConfigurationField field = ConfigurationField::None;
    std::string from;   ///< value in force; empty for entries that are added or removed
    std::string to;     ///< value in the configuration that is checked
    std::string effect; ///< what the change means for callers; may be empty
};

} // namespace Jujubekeel

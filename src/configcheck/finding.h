#pragma once

#include "catalog/configurationplace.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

enum class FindingSeverity : std::uint8_t {
    Note,    ///< worth knowing; nothing is wrong
    Warning, ///< comes into force, but probably not as intended
    Error,   ///< is rejected, left out or never has an effect
};

/// One result of checking a configuration.
struct Finding
{
    FindingSeverity severity = FindingSeverity::Note;
    const char *code = ""; ///< fixed word for programs that read the report
    ConfigurationPlace place;
    std::string text; ///< contains no key
};

} // namespace Jujubekeel

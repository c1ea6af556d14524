#pragma once

#include "core/resultcode.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// One error in the settings. All errors of a load are reported together.
struct SettingsError
{
    ResultCode code = ResultCode::BadSettings;
    std::string file;
    std::uint32_t line = 0; ///< counted from 1; 0: the error concerns the whole file
    std::string key;        ///< path of the key, for example "ownership.ping_timeout_ms"
    std::string text;       ///< what was found and what was expected; never contains a secret key
};

using SettingsErrors = std::vector<SettingsError>;

/// Returns the error as one line of text: file, line, result code, key and text.
[[nodiscard]] std::string describe(const SettingsError &error);

} // namespace Jujubekeel

#pragma once

#include "core/failurereason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Value of the platform's object `rules/<user>`: the rule text and who wrote it. Writer and sequence together identify
/// one write, so that a writer that got no answer can recognize its own write when it reads the object back.
/// A value type; used by RuleDistributionSystem and by the operators' command.
class RulesObject final
{
public:
    std::string writer;         ///< id of the writing process
    std::uint64_t sequence = 0; ///< number of the write within that process
    std::string author;         ///< person who applied the rules
    std::string time;           ///< UTC time of the write, ISO 8601
    std::string text;           ///< the rule text

    /// Returns the object as JSON text.
    [[nodiscard]] std::string encode() const;
    /// Returns an empty value with ResultCode::BadRules as reason if \a value is not valid.
    [[nodiscard]] static std::optional<RulesObject> decode(std::string_view value, FailureReason &reason);

    /// Key of the object for a user of the system.
    [[nodiscard]] static std::string key(std::string_view user);
};

} // namespace Jujubekeel

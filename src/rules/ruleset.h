#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

enum class RuleVerb : std::uint8_t { ReadAge, NoRepeat, Leaving };

/// One line of the rule file.
struct Rule
{
    RuleVerb verb = RuleVerb::ReadAge;
    std::uint32_t line = 0;      ///< counted from 1
    std::string databasePattern; ///< `*` stands for any run of characters
    std::string operationPattern;
    Duration age{0};       ///< ReadAge
    std::string backend;   ///< Leaving: name of the backend server
    std::string requester; ///< comment: up to the first ':' or the whole comment
    std::string text;      ///< the whole line
};

/// Writes a rule as one line that parses to the same rule. The comment is taken from \a rule.text.
[[nodiscard]] std::string printRule(const Rule &rule);

/// Writes an age with the largest unit that holds it without a rest, for example 30s.
[[nodiscard]] std::string printAge(Duration age);

struct RuleError
{
    std::uint32_t line = 0;
    std::string text; ///< what was found and what was expected
};

/// The rules in force, as parsed from one version of the rule text. Immutable once parsed; owned by World, used by the
/// operators' command as well.
class RuleSet final
{
public:
    /// Largest accepted text in bytes. Values of the platform may have 1 MB, and JSON escapes lengthen the text.
    static constexpr std::size_t maxTextBytes = 512UL * 1024UL;

    /// Parses the whole text. Empty lines and lines with only a comment are skipped. On errors returns an empty value and appends one entry for each bad line to \a errors.
    [[nodiscard]] static std::optional<RuleSet> parse(std::string_view text, std::uint64_t version,
                                                      std::vector<RuleError> &errors);

    /// First read-age rule that matches, or nullptr.
    [[nodiscard]] const Rule *readAge(std::string_view database, std::string_view operation) const;
    /// First no-repeat rule that matches, or nullptr.
    [[nodiscard]] const Rule *noRepeat(std::string_view database, std::string_view operation) const;
    /// The rule that says that the backend server is leaving, or nullptr.
    [[nodiscard]] const Rule *leaving(std::string_view backend) const;

    [[nodiscard]] std::uint64_t version() const { return this->setVersion; }
    [[nodiscard]] const std::string &text() const { return this->setText; }
    [[nodiscard]] std::span<const Rule> rules() const { return this->ruleRows; }

private:
    std::uint64_t setVersion = 0;
    std::string setText;
    std::vector<Rule> ruleRows;
};

} // namespace Jujubekeel

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

/// Kind of a rule: the first word of its line.
enum class RuleVerb : std::uint8_t { ReadAge, NoRepeat, Leaving };

/// One line of the rule file.
struct Rule
{
    RuleVerb verb = RuleVerb::ReadAge;
    std::uint32_t line = 0;      ///< counted from 1
    std::string databasePattern; ///< `*` matches any sequence of characters
    std::string operationPattern;
    Duration age{0};       ///< ReadAge: highest permitted age of the data that a read returns
    std::string backend;   ///< Leaving: name of the backend server
    std::string requester; ///< the comment up to the first ':', or the whole comment
    std::string text;      ///< the line without surrounding blanks
};

/// Returns a rule as one line that parses to the same rule. The comment is taken from \a rule.text.
[[nodiscard]] std::string formatRule(const Rule &rule);

/// Returns an age in the largest unit that divides it, for example 30s.
[[nodiscard]] std::string formatAge(Duration age);

/// An error in one line of a rule text.
struct RuleError
{
    std::uint32_t line = 0; ///< counted from 1
    std::string text;       ///< what was found and what was expected
};

/// The rules parsed from one version of the rule text. Immutable once parsed. World owns the set in force; the
/// operators' command parses sets to check them.
class RuleSet final
{
public:
    /// Largest accepted text in bytes. The platform limits values to 1 MB, and JSON escaping lengthens the text.
    static constexpr std::size_t maxTextBytes = 512UL * 1024UL;

    /// Parses the whole text. Empty lines and lines with only a comment are skipped. If any line is not valid,
    /// returns an empty value and appends one entry for each such line to \a errors.
    [[nodiscard]] static std::optional<RuleSet> parse(std::string_view text, std::uint64_t version,
                                                      std::vector<RuleError> &errors);

    /// First read-age rule that matches, or nullptr.
    [[nodiscard]] const Rule *findReadAgeRule(std::string_view database, std::string_view operation) const;
    /// First no-repeat rule that matches, or nullptr.
    [[nodiscard]] const Rule *findNoRepeatRule(std::string_view database, std::string_view operation) const;
    /// The rule that marks the backend server as leaving, or nullptr.
    [[nodiscard]] const Rule *findLeavingRule(std::string_view backend) const;

    [[nodiscard]] std::uint64_t version() const { return this->rulesVersion; }
    [[nodiscard]] const std::string &text() const { return this->rulesText; }
    [[nodiscard]] std::span<const Rule> rules() const { return this->ruleRows; }

private:
    std::uint64_t rulesVersion = 0;
    std::string rulesText;
    std::vector<Rule> ruleRows;
};

} // namespace Jujubekeel

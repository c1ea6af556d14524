#include "rules/ruleset.h"

#include "rules/rulepattern.h"

#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <map>
#include <tuple>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr std::string_view blanks = " \t";
constexpr std::string_view verbs = "read-age, no-repeat or leaving";
constexpr std::size_t maxQuotedBytes = 60; // longer input is truncated in error messages

struct AgeUnit
{
    std::string_view suffix;
    Duration length;
};

// In descending order, so that formatAge() finds the largest unit that divides an age.
constexpr std::array ageUnits{
    AgeUnit{"h", std::chrono::hours(1)},
    AgeUnit{"m", std::chrono::minutes(1)},
    AgeUnit{"s", std::chrono::seconds(1)},
    AgeUnit{"ms", std::chrono::milliseconds(1)},
};

// A limit above a week permits practically any replica, so it is more likely a mistyped unit.
constexpr Duration maxAge = std::chrono::hours(168);

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::vector<std::string_view> splitWords(std::string_view text)
{
    std::vector<std::string_view> words;
    std::size_t begin = text.find_first_not_of(blanks);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(blanks, begin), text.size());
        words.push_back(text.substr(begin, end - begin));
        begin = text.find_first_not_of(blanks, end);
    }
    return words;
}

bool isUtf8(std::string_view text)
{
    std::size_t index = 0;
    while (index < text.size()) {
        const auto *bytes = reinterpret_cast<const unsigned char *>(text.data() + index);
        const unsigned char lead = *bytes;
        const std::size_t length = lead < 0x80 ? 1 : (lead >= 0xF0 ? 4 : (lead >= 0xE0 ? 3 : 2));
        if (length > text.size() - index)
            return false;
        if (length > 1 && !Poco::UTF8Encoding::isLegal(bytes, static_cast<int>(length)))
            return false;
        index += length;
    }
    return true;
}

bool hasControlCharacters(std::string_view text)
{
    return std::ranges::any_of(text, [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7F; });
}

std::string quoted(std::string_view text)
{
    if (text.size() <= maxQuotedBytes)
        return '"' + std::string(text) + '"';
    // Do not truncate within a multi-byte character.
    std::size_t end = maxQuotedBytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
        end -= 1;
    return '"' + std::string(text.substr(0, end)) + "...\"";
}

std::optional<Duration> parseAge(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || count <= 0)
        return std::nullopt;
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    const auto *unit = std::ranges::find(ageUnits, suffix, &AgeUnit::suffix);
    if (unit == ageUnits.end() || count > maxAge / unit->length)
        return std::nullopt;
    return count * unit->length;
}

/// Parses one line that is neither empty nor only a comment. Returns an error text if the line is not valid.
std::optional<std::string> parseLine(std::string_view line, Rule &rule)
{
    // Separate the comment, which must name the requester.
    const std::size_t hash = line.find('#');
    if (hash == std::string_view::npos)
        return "the comment is missing; expected \"# requester: reason\" at the end of the line";
    const std::string_view comment = trimmed(line.substr(hash + 1));
    const std::string_view requester = trimmed(comment.substr(0, comment.find(':')));
    if (requester.empty())
        return "the comment names no requester; expected \"# requester: reason\"";
    rule.requester = requester;
    rule.text = trimmed(line);

    // Check the words against the form of the verb.
    const std::vector<std::string_view> words = splitWords(line.substr(0, hash));
    assert(!words.empty());
    const auto foundWords = [&] { return ", found " + std::to_string(words.size() - 1) + " words after the verb"; };
    if (words[0] == "read-age") {
        rule.verb = RuleVerb::ReadAge;
        if (words.size() != 4)
            return "expected \"read-age DATABASE OPERATION AGE\"" + foundWords();
        const auto age = parseAge(words[3]);
        if (!age) {
            return "age " + quoted(words[3])
                   + " is not valid; expected a whole number above 0 with ms, s, m or h, for example 30s, at most 168h";
        }
        rule.age = *age;
    } else if (words[0] == "no-repeat") {
        rule.verb = RuleVerb::NoRepeat;
        if (words.size() != 3)
            return "expected \"no-repeat DATABASE OPERATION\"" + foundWords();
    } else if (words[0] == "leaving") {
        rule.verb = RuleVerb::Leaving;
        if (words.size() != 3 || words[1] != "backend")
            return "expected \"leaving backend NAME\"" + foundWords();
        if (words[2].find('*') != std::string_view::npos)
            return "backend server " + quoted(words[2]) + " has a \"*\"; expected the name of one backend server";
        rule.backend = words[2];
        return std::nullopt;
    } else {
        return "verb " + quoted(words[0]) + " is unknown; expected " + std::string(verbs);
    }
    rule.databasePattern = words[1];
    rule.operationPattern = words[2];
    return std::nullopt;
}

} // namespace

std::string formatAge(Duration age)
{
    for (const AgeUnit &unit : ageUnits) {
        if (age % unit.length == Duration{0})
            return std::to_string(age / unit.length) + std::string(unit.suffix);
    }
    // Ages of rules are whole milliseconds.
    return std::to_string(age / ageUnits.back().length) + std::string(ageUnits.back().suffix);
}

std::string formatRule(const Rule &rule)
{
    const std::size_t hash = rule.text.find('#');
    const std::string comment = hash == std::string::npos
                                    ? "# " + rule.requester
                                    : "# " + std::string(trimmed(std::string_view(rule.text).substr(hash + 1)));
    switch (rule.verb) {
    case RuleVerb::ReadAge:
        return "read-age " + rule.databasePattern + " " + rule.operationPattern + " " + formatAge(rule.age) + " "
               + comment;
    case RuleVerb::NoRepeat:
        return "no-repeat " + rule.databasePattern + " " + rule.operationPattern + " " + comment;
    case RuleVerb::Leaving:
        return "leaving backend " + rule.backend + " " + comment;
    }
    return {};
}

std::optional<RuleSet> RuleSet::parse(std::string_view text, std::uint64_t version, std::vector<RuleError> &errors)
{
    if (text.size() > maxTextBytes) {
        errors.push_back({.line = 1,
                          .text = "the text has " + std::to_string(text.size()) + " bytes; expected at most "
                                  + std::to_string(maxTextBytes)});
        return std::nullopt;
    }

    RuleSet set;
    set.rulesVersion = version;
    set.rulesText = text;
    bool ok = true;
    using RuleIdentity = std::tuple<RuleVerb, std::string, std::string, std::string>;
    std::map<RuleIdentity, std::uint32_t> firstLines;
    const auto fail = [&](std::uint32_t line, std::string reason) {
        errors.push_back({.line = line, .text = std::move(reason)});
        ok = false;
    };

    std::uint32_t number = 0;
    for (std::string_view rest = text; !rest.empty();) {
        // Take the next line.
        const std::size_t end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        number += 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const std::string_view content = trimmed(line);

        // The text is sent as JSON, which must be UTF-8.
        if (!isUtf8(line) || hasControlCharacters(line)) {
            fail(number, "the line has bytes that are not printable text; expected UTF-8 without control characters");
            continue;
        }
        if (content.empty() || content.starts_with('#'))
            continue;

        Rule rule;
        rule.line = number;
        if (auto reason = parseLine(line, rule)) {
            fail(number, std::move(*reason));
            continue;
        }
        const auto [first, isNew] = firstLines.try_emplace(
            RuleIdentity{rule.verb, rule.databasePattern, rule.operationPattern, rule.backend}, number);
        if (!isNew) {
            fail(number, "the rule repeats line " + std::to_string(first->second)
                             + ", which takes precedence; expected one rule for the same verb and patterns");
            continue;
        }
        set.ruleRows.push_back(std::move(rule));
    }
    if (!ok)
        return std::nullopt;
    return set;
}

const Rule *RuleSet::findReadAgeRule(std::string_view database, std::string_view operation) const
{
    const auto found = std::ranges::find_if(this->ruleRows, [&](const Rule &rule) {
        return rule.verb == RuleVerb::ReadAge && matchesPattern(rule.databasePattern, database)
               && matchesPattern(rule.operationPattern, operation);
    });
    return found == this->ruleRows.end() ? nullptr : &*found;
}

const Rule *RuleSet::findNoRepeatRule(std::string_view database, std::string_view operation) const
{
    const auto found = std::ranges::find_if(this->ruleRows, [&](const Rule &rule) {
        return rule.verb == RuleVerb::NoRepeat && matchesPattern(rule.databasePattern, database)
               && matchesPattern(rule.operationPattern, operation);
    });
    return found == this->ruleRows.end() ? nullptr : &*found;
}

const Rule *RuleSet::findLeavingRule(std::string_view backend) const
{
    const auto found = std::ranges::find_if(
        this->ruleRows, [&](const Rule &rule) { return rule.verb == RuleVerb::Leaving && rule.backend == backend; });
    return found == this->ruleRows.end() ? nullptr : &*found;
}

} // namespace Jujubekeel

#include "rules/ruleset.h"
#include "rules/rulecheck.h"
#include "rules/rulepattern.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr std::string_view exampleText = "read-age   stall-records-*  lookup.*       30s   # Anjali Mohammed, San "
                                         "Fernando: lists may be half a minute old\n"
                                         "no-repeat  stall-records-*  filing.*             # Keith Joseph: ministry "
                                         "flags doubled filings\n"
                                         "leaving    backend sr1-b                         # Anjali Mohammed: rack "
                                         "change on Friday\n";

RuleSet parsed(std::string_view text)
{
    std::vector<RuleError> errors;
    auto set = RuleSet::parse(text, 7, errors);
    EXPECT_TRUE(errors.empty()) << (errors.empty() ? "" : errors.front().text);
    return set.value_or(RuleSet{});
}

std::vector<RuleError> errorsOf(std::string_view text)
{
    std::vector<RuleError> errors;
    EXPECT_FALSE(RuleSet::parse(text, 1, errors).has_value()) << text;
    return errors;
}

/// Runs a property with a fixed seed, so that a failure can be repeated.
template <typename Property>
void checkProperty(const std::string &description, Property &&property)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 500;
    const rc::detail::TestMetadata metadata{.id = description, .description = description};
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << description << ": " << result;
}

// Guards against a parser that rejects the form in the operators' documentation.
TEST(RuleSet, ParsesTheDocumentedForm)
{
    const RuleSet set = parsed(exampleText);
    ASSERT_EQ(set.rules().size(), 3U);
    EXPECT_EQ(set.version(), 7U);
    EXPECT_EQ(set.text(), exampleText);
    EXPECT_EQ(set.rules()[0].age, std::chrono::seconds(30));
    EXPECT_EQ(set.rules()[0].requester, "Anjali Mohammed, San Fernando");
    EXPECT_EQ(set.rules()[1].operationPattern, "filing.*");
    EXPECT_EQ(set.rules()[2].line, 3U);
    EXPECT_EQ(set.rules()[2].backend, "sr1-b");
}

// Guards against decisions that name a later rule than the one that took effect.
TEST(RuleSet, FirstMatchingRuleWins)
{
    const RuleSet set = parsed("read-age db-* lookup.price 1s # A: exact\nread-age * lookup.* 2h # B: rest\n");
    EXPECT_EQ(set.findReadAgeRule("db-1", "lookup.price")->line, 1U);
    EXPECT_EQ(set.findReadAgeRule("db-1", "lookup.stock")->line, 2U);
    EXPECT_EQ(set.findReadAgeRule("db-1", "filing.create"), nullptr);
    EXPECT_EQ(set.findNoRepeatRule("db-1", "lookup.price"), nullptr);
    EXPECT_EQ(set.findLeavingRule("db-1"), nullptr);
}

// Guards against ages that are read with the wrong unit or accepted without one.
TEST(RuleSet, AgesNeedANumberAndAUnit)
{
    const std::vector<std::pair<std::string, Duration>> ages{{"500ms", std::chrono::milliseconds(500)},
                                                             {"30s", std::chrono::seconds(30)},
                                                             {"10m", std::chrono::minutes(10)},
                                                             {"2h", std::chrono::hours(2)}};
    for (const auto &[text, age] : ages)
        EXPECT_EQ(parsed("read-age * * " + text + " # A").rules()[0].age, age) << text;
    for (const char *text :
         {"30", "s", "0s", "-1s", "1.5s", "1d", "30 s", "1sm", "169h", "99999999999999999999s", "9223372036854775807h"})
        EXPECT_EQ(errorsOf(std::string("read-age * * ") + text + " # A").size(), 1U) << text;
}

// Guards against rules without a person to whom operators can address questions.
TEST(RuleSet, RequesterIsRequired)
{
    for (const char *text : {"no-repeat * *", "no-repeat * * #", "no-repeat * * #  ", "no-repeat * * # : because"})
        EXPECT_NE(errorsOf(text).at(0).text.find("requester"), std::string::npos) << text;
}

// Guards against operators having to correct a file in several rounds because only the first bad line is reported.
TEST(RuleSet, ReportsEveryBadLineWithItsNumber)
{
    const auto errors = errorsOf("# comment\n\nread-once * * # A\nno-repeat * * 5s # A\nno-repeat a b # A\n"
                                 "leaving sr1-b # A\nleaving backend sr* # A\nno-repeat a b # B\nread-age * * # C\n"
                                 "no-repeat a\x01 b # A\nno-repeat a\xff b # A");
    std::vector<std::uint32_t> lines;
    for (const RuleError &error : errors) {
        lines.push_back(error.line);
        EXPECT_NE(error.text.find("expected"), std::string::npos) << error.text;
    }
    EXPECT_EQ(lines, (std::vector<std::uint32_t>{3, 4, 6, 7, 8, 9, 10, 11}));
}

// Guards against rejecting a file because of the line ends of another operating system.
TEST(RuleSet, AcceptsCarriageReturnsAndAMissingLastNewline)
{
    EXPECT_EQ(parsed("no-repeat a b # A\r\n\r\nno-repeat c d # B").rules().size(), 2U);
    EXPECT_TRUE(parsed("").rules().empty());
}

// Guards against accepting a text that is too large for the platform to store.
TEST(RuleSet, RejectsATextThatIsTooLarge)
{
    EXPECT_EQ(errorsOf(std::string(RuleSet::maxTextBytes + 1, '#')).size(), 1U);
}

// Guards against wrong matches when the match of an earlier star has to be extended for a later part to fit.
TEST(RulePattern, StarMatchesAnySequence)
{
    EXPECT_TRUE(matchesPattern("*", ""));
    EXPECT_TRUE(matchesPattern("a*c*e", "abcbce"));
    EXPECT_TRUE(matchesPattern("*ab", "aab"));
    EXPECT_TRUE(matchesPattern("**", "x"));
    EXPECT_FALSE(matchesPattern("a*c", "abd"));
    EXPECT_FALSE(matchesPattern("a", "ab"));
    EXPECT_FALSE(matchesPattern("", "a"));
}

// Guards against mistyped names, which leave a rule without effect.
TEST(RuleCheck, ReportsNamesThatAreNotInTheSettings)
{
    FleetLayout layout;
    layout.databases.emplace_back().name = "stall-records-1";
    layout.backends.emplace_back().name = "sr1-a";
    const auto errors = checkRules(parsed("leaving backend sr1-a # A\nleaving backend sr9-a # A\n"
                                          "no-repeat stall-records-* filing.* # A\nno-repeat stal-* filing.* # A\n"),
                                   layout);
    ASSERT_EQ(errors.size(), 2U);
    EXPECT_EQ(errors[0].line, 2U);
    EXPECT_EQ(errors[1].line, 4U);
}

rc::Gen<std::string> randomWord(const std::string &characters)
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(characters)));
}

// Guards against a printed rule set that means something else than the one in force.
TEST(RuleSet, PrintedRulesParseToTheSameSet)
{
    checkProperty("printing and parsing gives the same set", [] {
        // Generate lines with distinct patterns, so that none is a duplicate.
        const auto count = *rc::gen::inRange<std::size_t>(0, 12);
        std::ostringstream text;
        for (std::size_t index = 0; index < count; ++index) {
            const std::string suffix = std::to_string(index);
            const std::string database = *randomWord("ab-*.") + suffix;
            const std::string operation = *randomWord("xy.*/");
            const std::string comment = *randomWord("AB \t,:#") + "R" + *randomWord("ab :#");
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                text << "read-age\t" << database << "  " << operation << " " << *rc::gen::inRange(1, 100000)
                     << *rc::gen::element<std::string>("ms", "s") << " #R" << comment << "\n";
                break;
            case 1:
                text << "  no-repeat " << database << " " << operation << "#R " << comment << "\n";
                break;
            default:
                text << "leaving backend s" << suffix << " #  R" << comment << "\r\n";
                break;
            }
        }
        std::vector<RuleError> errors;
        const auto first = RuleSet::parse(text.str(), 1, errors);
        RC_ASSERT(first.has_value());
        std::string printed;
        for (const Rule &rule : first->rules())
            printed += formatRule(rule) + "\n";
        const auto second = RuleSet::parse(printed, 1, errors);
        RC_ASSERT(second.has_value());
        RC_ASSERT(first->rules().size() == count);
        RC_ASSERT(second->rules().size() == count);
        for (std::size_t index = 0; index < count; ++index) {
            const Rule &left = first->rules()[index];
            const Rule &right = second->rules()[index];
            RC_ASSERT(left.verb == right.verb);
            RC_ASSERT(left.databasePattern == right.databasePattern);
            RC_ASSERT(left.operationPattern == right.operationPattern);
            RC_ASSERT(left.age == right.age);
            RC_ASSERT(left.backend == right.backend);
            RC_ASSERT(left.requester == right.requester);
            RC_ASSERT(formatRule(left) == formatRule(right));
        }
    });
}

// Guards against a damaged rule text that crashes every proxy of a fleet.
TEST(RuleSet, RandomTextNeverCrashesTheParser)
{
    checkProperty("random bytes", [] {
        const auto text = *rc::gen::arbitrary<std::string>();
        std::vector<RuleError> errors;
        const auto set = RuleSet::parse(text, 1, errors);
        RC_ASSERT(set.has_value() == errors.empty());
    });
    checkProperty("random words of the language", [] {
        const auto words = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
            "read-age", "no-repeat", "leaving", "backend", " ", "\t", "#", "\n", "*", "30s", "ms", ":", "\xC3", "\xA9",
            "\xF0", "\r", std::string(1, '\0'), "99999999999h"));
        std::string text;
        for (const std::string &word : words)
            text += word + (word.size() > 1 ? " " : "");
        std::vector<RuleError> errors;
        const auto set = RuleSet::parse(text, 1, errors);
        RC_ASSERT(set.has_value() == errors.empty());
        if (set) {
            RC_ASSERT(set->findReadAgeRule(text, text) == nullptr || !set->rules().empty());
        }
    });
}

} // namespace

} // namespace Jujubekeel

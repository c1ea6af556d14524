#include "configcheck/checkedtext.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

/// Part of each key, to be looked for in texts that must not contain one.
const std::string keyMark = "k3ysecret";

/// Runs a property with a fixed seed, so that a failure can be repeated.
template <typename Property>
void checkProperty(Property &&property)
{
    rc::detail::TestParams params;
    params.seed = 20261206;
    params.maxSuccess = 3000;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
}

std::string anyKey()
{
    return keyMark + *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

Json oddValue()
{
    return *rc::gen::elementOf(std::vector<Json>{nullptr, true, -1, 0, 0.01, 1e300, "", "x", "two words", "\x1b[2J",
                                                 Json::array(), Json::object(), std::string(200, 'x'),
                                                 Json::array({7})});
}

/// A configuration in which any value may be odd, and any name may contain one of its keys.
Json anyConfiguration()
{
    std::vector<std::string> keys;
    Json root{{"Version", *rc::gen::inRange(0, 4)}, {"Routes", Json::array()}, {"Services", Json::array()}};
    root["Tenants"] = Json::array();
    const auto anyNumber = [] { return *rc::gen::elementOf(std::vector<double>{0, 0.1, 1, 30, 5000}); };
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        Json listed = Json::array();
        for (int number = *rc::gen::inRange(0, 4); number > 0; --number) {
            keys.push_back(!keys.empty() && *rc::gen::arbitrary<bool>() ? *rc::gen::elementOf(keys) : anyKey());
            listed.push_back(keys.back());
        }
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            listed = Json::array({listed});
            break;
        case 1:
            listed = Json::object({{"keys", listed}});
            break;
        case 2:
            if (!listed.empty())
                listed = Json::object({{listed.front().get<std::string>(), listed}});
            break;
        default:
            break;
        }
        root["Tenants"].push_back(
            {{"Name", "o"}, {"ApiKeys", listed}, {"RatePerS", anyNumber()}, {"Burst", anyNumber()}});
    }
    const auto anyName = [&]() -> std::string {
        if (keys.empty() || *rc::gen::arbitrary<bool>())
            return *rc::gen::elementOf(std::vector<std::string>{"a", "b", "", "records", "two words"});
        const std::string key = *rc::gen::elementOf(keys);
        return *rc::gen::elementOf(std::vector<std::string>{key, "x" + key, key + "\x01", std::string(90, 'x') + key});
    };
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        root["Routes"].push_back(
            {{"Name", anyName()}, {"Host", anyName()}, {"Service", anyName()}, {"Kind", anyName()}});
        root["Services"].push_back({{"Name", anyName()}, {"MaxConns", *rc::gen::inRange(0, 60)}});
    }
    for (Json &organisation : root["Tenants"])
        organisation["Name"] = anyName();
    // One value of another type, but not a list of keys: what is not listed is not known to be a key.
    Json &part = root[*rc::gen::elementOf(std::vector<std::string>{"Routes", "Services", "Tenants"})];
    if (!part.empty() && *rc::gen::arbitrary<bool>()) {
        Json &entry = part[*rc::gen::inRange<std::size_t>(0, part.size())];
        const std::vector<std::string> names{"Name", "Host", "Service", "RatePerS", "Burst", "Priority", "TimeoutMs"};
        entry[*rc::gen::elementOf(names)] = oddValue();
    }
    if (*rc::gen::inRange(0, 8) == 0)
        root["Tenants"] = {{"a", root["Tenants"]}};
    return root;
}

/// Text of a configuration, in which some numbers may be out of range, so that what surrounds them cannot be parsed.
std::string anyText()
{
    std::string text = anyConfiguration().dump();
    const std::string number = "5000.0";
    for (std::size_t at = text.find(number); at != std::string::npos; at = text.find(number, at + 1))
        text.replace(at, number.size(), *rc::gen::arbitrary<bool>() ? "1e9999" : number);
    return text;
}

void expectNoKey(const CheckedText &checked)
{
    for (const std::string *output : {&checked.output, &checked.json})
        RC_ASSERT(output->find(keyMark) == std::string::npos);
}

// Guards against an operator's terminal, ticket or log containing a key: no output does, whatever is wrong with the file.
TEST(KeySecrecy, NoOutputContainsAKey)
{
    checkProperty([] {
        const std::string text = anyText();
        const std::string inForce = anyText();
        expectNoKey(CheckedText(text, inForce, {.servers = 3, .slots = 2, .connections = 8, .members = 9}));
    });
}

// The same for text that is damaged at any byte.
TEST(KeySecrecy, NoOutputOfDamagedTextContainsAKey)
{
    checkProperty([] {
        std::string text = R"({"Version":7,"Routes":[{"Name":"r","Host":"db","Service":"s","Kind":"primary"}],)"
                           R"("Services":[{"Name":"s"}],"Tenants":[{"Name":"a","ApiKeys":[")"
                           + anyKey().substr(0, keyMark.size() + 1) + R"("],"RatePerS":4},{"Name":"b","ApiKeys":[")"
                           + keyMark + R"("]}]})";
        const std::string inForce = text;
        for (int change = *rc::gen::inRange(1, 4); change > 0; --change) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                text.erase(at, *rc::gen::inRange<std::size_t>(1, 30));
                break;
            case 1:
                text.insert(at, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
                break;
            default:
                text[at] = *rc::gen::arbitrary<char>();
                break;
            }
            if (text.empty())
                break;
        }
        expectNoKey(CheckedText(text, inForce));
        expectNoKey(CheckedText(inForce, text));
    });
}

} // namespace

} // namespace Jujubekeel

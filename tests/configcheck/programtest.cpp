#include "support/programrun.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

const std::string keyMark = "k3ysecret";
const std::string head = R"({"Version":8,"Routes":[{"Name":"r","Host":"db","Service":"s"}],"Services":[{"Name":"s"}])";
const std::string valid = head + R"(,"Tenants":[{"Name":"guild","ApiKeys":[")" + keyMark + R"("],"RatePerS":30}]})";

/// Runs jujubekeel-configcheck on files of its own folder.
class ConfigcheckProgram : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *info = testing::UnitTest::GetInstance()->current_test_info();
        this->directory = std::filesystem::path(JUJUBEKEEL_BINARY_DIR) / "configchecktest" / info->name();
        std::filesystem::remove_all(this->directory);
        std::filesystem::create_directories(this->directory);
    }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->directory / name, std::ios::binary) << text;
    }

    [[nodiscard]] ProgramResult run(const std::vector<std::string> &arguments) const
    {
        ProgramResult result = runProgram("jujubekeel-configcheck", arguments, this->directory.string());
        EXPECT_EQ(result.output.find(keyMark), std::string::npos);
        EXPECT_EQ(result.errors.find(keyMark), std::string::npos);
        return result;
    }

    [[nodiscard]] ProgramResult runOn(const std::string &text) const
    {
        this->write("main.json", text);
        return this->run({"main.json"});
    }

    std::filesystem::path directory;
};

// Guards against scripts that send a configuration with errors because of a wrong exit status.
TEST_F(ConfigcheckProgram, ExitStatusNamesTheWorstFinding)
{
    EXPECT_EQ(this->runOn(valid).status, 0);
    EXPECT_EQ(this->runOn(head + R"(,"Tenants":[{"Name":"guild"}]})").status, 1);
    EXPECT_EQ(this->runOn(head + R"(,"Tenants":7})").status, 2);
    EXPECT_EQ(this->runOn("").status, 2);
    EXPECT_EQ(this->run({"missing.json"}).status, 3);
    EXPECT_EQ(this->run({"."}).status, 3);
}

// Guards against a wrong command line being taken for a checked configuration.
TEST_F(ConfigcheckProgram, WrongCommandLineIsNoResult)
{
    this->write("main.json", valid);
    this->write("cut.json", valid.substr(0, 40));
    const std::vector<std::vector<std::string>> wrong{{},
                                                      {"main.json", "--servers=0"},
                                                      {"main.json", "--slots=x"},
                                                      {"main.json", "--members=-1"},
                                                      {"--other"},
                                                      {"main.json", "--format=yaml"},
                                                      {"main.json", "--in-force=cut.json"},
                                                      {"main.json", "main.json"}};
    for (const auto &arguments : wrong) {
        const ProgramResult result = this->run(arguments);
        EXPECT_EQ(result.status, 3) << (arguments.empty() ? "" : arguments.back());
        EXPECT_EQ(result.output, "");
        EXPECT_NE(result.errors, "");
    }
    EXPECT_EQ(this->run({"--help"}).status, 0);
    EXPECT_EQ(this->run({"--version"}).status, 0);
}

// Guards against a change of the documented structure, which would break the programs that read it.
TEST_F(ConfigcheckProgram, JsonHasTheDocumentedStructure)
{
    this->write("main.json", valid);
    this->write("old.json", head + R"(,"Tenants":[{"Name":"guild","ApiKeys":["k1"],"RatePerS":40}]})");
    const ProgramResult result = this->run({"main.json", "--in-force", "old.json", "--format", "json"});
    EXPECT_EQ(result.status, 2);
    EXPECT_EQ(nlohmann::json::parse(result.output), nlohmann::json::parse(R"({
        "file": "main.json", "version": 8, "versionInForce": 8, "errors": 1, "warnings": 0, "notes": 0,
        "findings": [{"severity": "error", "code": "version-not-higher", "path": "Version", "line": 1,
                      "text": "version 8 is not above 8, which is in force: instances ignore the configuration"}],
        "differences": [
            {"change": "lowered", "entry": "organisation", "name": "guild", "field": "RatePerS", "from": "40",
             "to": "30", "effect": "applies within 5 s"},
            {"change": "keys-added", "entry": "organisation", "name": "guild", "field": "ApiKeys", "to": "1"},
            {"change": "keys-withdrawn", "entry": "organisation", "name": "guild", "field": "ApiKeys", "from": "1",
             "effect": "sessions of these keys end"}],
        "omittedDifferences": 0})"));
    const auto rejected = nlohmann::json::parse(this->run({"old.json", "--format=json"}).output);
    EXPECT_TRUE(rejected.at("versionInForce").is_null());
}

// Guards against a file that ends the program, fills its output, or is accepted although instances reject it.
TEST_F(ConfigcheckProgram, HostileFiles)
{
    const auto organisation = [](const std::string &fields) {
        return head + R"(,"Tenants":[{"Name":"x",)" + fields + "}]}";
    };
    const auto keys = [](int count) {
        std::string list;
        for (int index = 0; index < count; ++index)
            list += (index == 0 ? "\"" : ",\"") + keyMark + std::to_string(index) + '"';
        return "\"ApiKeys\":[" + list + "]";
    };
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    const std::string longText(std::size_t{1024} * 1024, 'x');
    std::string faulty;
    for (int index = 0; index < 50000; ++index)
        faulty += index == 0 ? "7" : ",7";
    struct Case
    {
        const char *description;
        std::string text;
        int status;
    };
    const std::vector<Case> cases{
        {"10,000 keys", organisation(keys(10000)), 0},
        {"100,000 keys", organisation(keys(100000)), 2},
        {"deep nesting", nested(1000000), 2},
        {"deep nesting in a part", R"({"Version":8,"Services":[],"Routes":)" + nested(1000000) + "}", 2},
        {"deep nesting in an entry", organisation("\"Extra\":" + nested(100000)), 2},
        {"invalid UTF-8 in a key", organisation("\"ApiKeys\":[\"" + keyMark + "\xff\"]"), 2},
        {"invalid UTF-8 in a route",
         R"({"Version":8,"Services":[],"Routes":[{"Name":")"
         "\xfe"
         R"("}]})",
         2},
        {"long name",
         R"({"Version":8,"Services":[],"Routes":[{"Name":"r","Service":"s","Host":")" + longText + R"("}]})", 2},
        {"long key", organisation("\"ApiKeys\":[\"" + keyMark + longText + "\"]"), 2},
        {"many faulty entries", head + ",\"Tenants\":[" + faulty + "]}", 2},
        {"wrong types", R"({"Version":"8","Routes":{"a":7},"Services":"s","Tenants":{},"Limits":[]})", 2},
        {"no JSON", std::string(1000, '\0'), 2},
    };
    for (const Case &hostile : cases) {
        const ProgramResult result = this->runOn(hostile.text);
        EXPECT_EQ(result.status, hostile.status) << hostile.description << result.output.substr(0, 500);
        EXPECT_LT(result.output.size(), std::size_t{2} * 1024 * 1024) << hostile.description;
    }
    // Larger than what a store can send; not read to its end.
    this->write("large.json", std::string(std::size_t{17} * 1024 * 1024, ' '));
    EXPECT_EQ(this->run({"large.json"}).status, 3);
}

} // namespace

} // namespace Jujubekeel

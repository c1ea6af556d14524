#include "ctl/ctlprogram.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

/// Logs of an instance that relays a request and of the member that executes it; the second with the line prefixes of a
/// log collector.
constexpr const char *relayLog =
    R"({"time":"10:00:01","level":"info","instance":"front-3","event":"configuration-in-force","version":"7"}
not a log line
{"time":"10:00:05","level":"info","instance":"front-3","event":"statement-failed","request":"r1","service":"records","route":"filing","routeVersion":"7","code":"busy","server":"front-1"}
)";
constexpr const char *memberLog =
    R"(  4.1 front-1 {"time":"10:00:02","level":"warning","instance":"front-1","event":"primary-unreachable","service":"records","primary":"i-1"}
  4.2 front-1 {"time":"10:00:02","level":"warning","instance":"front-1","event":"primary-unreachable","service":"other","primary":"i-9"}
  4.3 front-1 {"time":"10:00:03","level":"warning","instance":"front-1","event":"replacement-seen","service":"records","epoch":"2"}
  4.4 front-1 {"time":"10:00:04","level":"info","instance":"front-1","event":"statement-failed","request":"r2","service":"records","code":"busy"}
  4.5 front-1 {"time":"10:00:05","level":"info","instance":"front-1","event":"statement-failed","request":"r1","service":"records","code":"busy","reason":"no connection became free in time"}
  4.6 front-1 {"time":"10:00:06","level":"info","instance":"front-1","event":"replacement-finished","service":"records"}
)";

/// Runs `jujubekeel-ctl explain` on the two logs above.
class ExplainLogTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *info = testing::UnitTest::GetInstance()->current_test_info();
        this->directory = std::filesystem::path(JUJUBEKEEL_BINARY_DIR) / "explainlogtest" / info->name();
        std::filesystem::create_directories(this->directory);
        std::ofstream(this->directory / "relay.log") << relayLog;
        std::ofstream(this->directory / "member.log") << memberLog;
    }

    [[nodiscard]] CommandResult run(const std::vector<std::string> &arguments) const
    {
        return runCtl(arguments, this->directory.string());
    }
    [[nodiscard]] std::string log(const char *name) const { return "--log=" + (this->directory / name).string(); }

    std::filesystem::path directory;
};

// Guards against an explanation that omits a hop, includes a line of another request, or lists events that were logged
// after the decision.
TEST_F(ExplainLogTest, ListsDecisionsAndEarlierEvents)
{
    const CommandResult result =
        this->run({"explain", "r1", this->log("relay.log"), this->log("member.log"), "--json"});
    ASSERT_EQ(result.status, 0) << result.errors;
    const auto found = nlohmann::json::parse(result.output);
    ASSERT_EQ(found.at("decisions").size(), 2U);
    EXPECT_EQ(found.at("decisions").at(0).at("instance"), "front-3");
    EXPECT_EQ(found.at("decisions").at(1).at("reason"), "no connection became free in time");
    std::vector<std::string> earlierEvents;
    for (const auto &line : found.at("beliefs"))
        earlierEvents.push_back(line.at("event"));
    EXPECT_EQ(earlierEvents,
              (std::vector<std::string>{"configuration-in-force", "primary-unreachable", "replacement-seen"}));
    EXPECT_EQ(found.at("unreadable_lines"), 1);
}

// Guards against an empty explanation with exit status 0.
TEST_F(ExplainLogTest, UnknownRequestsAndMissingFilesAreErrors)
{
    const CommandResult unknown = this->run({"explain", "r9", this->log("member.log")});
    EXPECT_EQ(unknown.status, 1);
    EXPECT_EQ(unknown.output, "");
    const CommandResult missing = this->run({"explain", "r1", this->log("missing.log")});
    EXPECT_EQ(missing.status, 2);
    EXPECT_EQ(missing.output, "");
}

} // namespace

} // namespace Jujubekeel

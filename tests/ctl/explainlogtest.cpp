#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

/// Logs of an instance that relays and of the member that had the work; the second as a collector writes it.
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

    /// Runs the command; returns its exit status.
    int run(const std::vector<std::string> &arguments, std::string &output) const
    {
        Poco::Pipe out;
        Poco::Pipe errors;
        const auto process = Poco::Process::launch(std::string(JUJUBEKEEL_BINARY_DIR) + "/bin/jujubekeel-ctl",
                                                   arguments, nullptr, &out, &errors);
        Poco::PipeInputStream stream(out);
        output.assign(std::istreambuf_iterator<char>(stream), {});
        return process.wait();
    }
    [[nodiscard]] std::string log(const char *name) const { return "--log=" + (this->directory / name).string(); }

    std::filesystem::path directory;
};

// Guards against an explanation that leaves out a hop, takes another request's line, or names what was learned later.
TEST_F(ExplainLogTest, NamesDecisionsAndWhatWasKnownBefore)
{
    std::string output;
    ASSERT_EQ(this->run({"explain", "r1", this->log("relay.log"), this->log("member.log"), "--json"}, output), 0);
    const auto found = nlohmann::json::parse(output);
    ASSERT_EQ(found.at("decisions").size(), 2U);
    EXPECT_EQ(found.at("decisions").at(0).at("instance"), "front-3");
    EXPECT_EQ(found.at("decisions").at(1).at("reason"), "no connection became free in time");
    std::vector<std::string> beliefs;
    for (const auto &line : found.at("beliefs"))
        beliefs.push_back(line.at("event"));
    EXPECT_EQ(beliefs, (std::vector<std::string>{"configuration-in-force", "primary-unreachable", "replacement-seen"}));
    EXPECT_EQ(found.at("unreadable_lines"), 1);
}

// Guards against an empty explanation that looks like a result.
TEST_F(ExplainLogTest, UnknownRequestsAndMissingFilesAreErrors)
{
    std::string output;
    EXPECT_EQ(this->run({"explain", "r9", this->log("member.log")}, output), 1);
    EXPECT_EQ(this->run({"explain", "r1", this->log("missing.log")}, output), 2);
    EXPECT_EQ(output, "");
}

} // namespace

} // namespace Jujubekeel

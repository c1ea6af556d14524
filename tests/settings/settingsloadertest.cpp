#include "settings/settingsloader.h"

#include "rules/rulecheck.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

const std::filesystem::path examples = std::filesystem::path(JUJUBEKEEL_SOURCE_DIR) / "examples";

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string describeAll(std::span<const SettingsError> errors)
{
    std::string text;
    for (const SettingsError &error : errors)
        text += describe(error) + "\n";
    return text;
}

/// Creates a directory with key files and valid settings, in which a test replaces text.
class SettingsLoaderTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *info = testing::UnitTest::GetInstance()->current_test_info();
        this->directory = std::filesystem::path(JUJUBEKEEL_BINARY_DIR) / "settingstest" / info->name();
        std::filesystem::remove_all(this->directory);
        std::filesystem::create_directories(this->directory);
        std::filesystem::copy(examples / "minimal", this->directory, std::filesystem::copy_options::recursive);
    }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->directory / name) << text;
    }

    /// Replaces the first occurrence of \a from in a file.
    void replace(const std::string &name, const std::string &from, const std::string &to) const
    {
        std::string text = readFile(this->directory / name);
        const std::size_t place = text.find(from);
        ASSERT_NE(place, std::string::npos) << from;
        this->write(name, text.replace(place, from.size(), to));
    }

    void append(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->directory / name, std::ios::app) << text;
    }

    std::optional<ProxySettings> load(SettingsPurpose purpose = SettingsPurpose::Daemon,
                                      const std::string &name = "proxy-1.yaml")
    {
        SettingsLoader loader(purpose);
        auto settings = loader.load(this->directory / name);
        this->errors.assign(loader.errors().begin(), loader.errors().end());
        return settings;
    }

    /// True if there is an error for the key whose text contains \a part.
    [[nodiscard]] bool hasError(const std::string &key, const std::string &part) const
    {
        return std::ranges::any_of(this->errors, [&](const SettingsError &error) {
            return error.code == ResultCode::BadSettings && error.key == key
                   && error.text.find(part) != std::string::npos;
        });
    }

    [[nodiscard]] std::uint32_t lineOf(const std::string &name, const std::string &part) const
    {
        std::istringstream text(readFile(this->directory / name));
        std::uint32_t number = 0;
        for (std::string line; std::getline(text, line);) {
            number += 1;
            if (line.find(part) != std::string::npos)
                return number;
        }
        return 0;
    }

    std::filesystem::path directory;
    SettingsErrors errors;
};

// Guards against example settings that no longer load.
TEST(Examples, EverySettingsFileLoads)
{
    std::size_t loaded = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(examples)) {
        if (entry.path().extension() != ".yaml")
            continue;
        const bool shared = entry.path().filename() == "fleet.yaml";
        SettingsLoader loader(shared ? SettingsPurpose::Operators : SettingsPurpose::Daemon);
        const auto settings = loader.load(entry.path());
        ASSERT_TRUE(settings.has_value()) << describeAll(loader.errors());
        EXPECT_EQ(settings->self.isValid(), !shared);
        if (!shared) {
            EXPECT_EQ(settings->layout.at(settings->self).name, entry.path().stem());
        }
        loaded += 1;
    }
    EXPECT_EQ(loaded, 17U);
}

// Guards against example rules that do not match the example settings in the same directory.
TEST(Examples, EveryRuleFileMatchesItsSettings)
{
    for (const char *user : {"association", "hjolasmidja", "minimal"}) {
        SettingsLoader loader(SettingsPurpose::Layout);
        const auto settings = loader.load(examples / user / "fleet.yaml");
        ASSERT_TRUE(settings.has_value()) << describeAll(loader.errors());
        std::vector<RuleError> errors;
        const auto rules = RuleSet::parse(readFile(examples / user / "rules.txt"), 1, errors);
        ASSERT_TRUE(rules.has_value()) << user;
        EXPECT_FALSE(rules->rules().empty());
        EXPECT_TRUE(checkRules(*rules, settings->layout).empty()) << user;
    }
}

// Guards against examples whose sizes differ from those in the documentation.
TEST(Examples, HaveTheDocumentedSizes)
{
    struct Expected
    {
        std::string user;
        std::string server;
        std::uint32_t slots;
        std::uint32_t connections;
    };
    for (const Expected &expected :
         {Expected{"association", "sr1-b", 3, 20}, Expected{"hjolasmidja", "pg1-b", 2, 30}}) {
        SettingsLoader loader(SettingsPurpose::Layout);
        const auto settings = loader.load(examples / expected.user / "fleet.yaml");
        ASSERT_TRUE(settings.has_value()) << describeAll(loader.errors());
        const FleetLayout &layout = settings->layout;
        EXPECT_EQ(layout.user, expected.user);
        EXPECT_EQ(layout.instances.size(), 6U);
        EXPECT_EQ(layout.databases.size(), 3U);
        EXPECT_EQ(layout.backends.size(), 9U);
        const BackendSettings &backend = layout.at(layout.findBackend(expected.server));
        EXPECT_EQ(backend.slots, expected.slots);
        EXPECT_EQ(backend.connectionLimit, expected.connections);
        EXPECT_EQ(backend.database.index, 0U);
    }
}

// Guards against values in one of the two files that the loader ignores.
TEST_F(SettingsLoaderTest, ReadsValuesOfBothFiles)
{
    this->append("fleet.yaml", "ownership: { ping_interval_ms: 100 }\n");
    this->append("proxy-1.yaml", "limits: { caller_threads: 3, max_connections: 7 }\nauthority:\n  # all defaults\n");
    const auto settings = this->load();
    ASSERT_TRUE(settings.has_value()) << describeAll(this->errors);
    EXPECT_EQ(settings->self.index, 0U);
    EXPECT_EQ(settings->platformAddress, "127.0.0.1:7100");
    EXPECT_EQ(settings->options.ownership.pingInterval, std::chrono::milliseconds(100));
    EXPECT_EQ(settings->options.ownership.pingTimeout, OwnershipOptions{}.pingTimeout);
    EXPECT_EQ(settings->limits.callerThreads, 3U);
    EXPECT_EQ(settings->limits.maxConnections, 7U);
    EXPECT_EQ(settings->options.session.tokenKeys.size(), 1U);
    ASSERT_EQ(settings->layout.databases.size(), 1U);
    EXPECT_EQ(settings->layout.databases[0].backends.size(), 3U);
}

// Guards against operators having to correct a file in several rounds because only the first error is reported, and
// against errors without file, line, key and expected value.
TEST_F(SettingsLoaderTest, ReportsAllErrorsTogetherWithTheirPlace)
{
    this->replace("fleet.yaml", "user: example", "user: [example]\nusers: x");
    this->replace("fleet.yaml", "127.0.0.1:7203", "orders.example:7203");
    this->append("fleet.yaml", "admission:\n  queue_limit: many\n  retry_percent: 101\n  queue_limt: 5\n");
    this->replace("proxy-1.yaml", "instance: proxy-1", "instance: proxy-9");
    EXPECT_FALSE(this->load().has_value());
    EXPECT_EQ(this->errors.size(), 7U) << describeAll(this->errors);
    EXPECT_TRUE(this->hasError("user", "expected a string"));
    EXPECT_TRUE(this->hasError("users", "unknown"));
    EXPECT_TRUE(this->hasError("databases[0].servers[2].address", "without name resolution"));
    EXPECT_TRUE(this->hasError("admission.queue_limit", "expected a whole number from 1 to"));
    EXPECT_TRUE(this->hasError("admission.retry_percent", "out of range"));
    EXPECT_TRUE(this->hasError("admission.queue_limt", "unknown; expected one of"));
    EXPECT_TRUE(this->hasError("instance", "expected one of proxy-1, proxy-2"));
    for (const SettingsError &error : this->errors) {
        const std::string name = std::filesystem::path(error.file).filename();
        EXPECT_EQ(name, error.key == "instance" ? "proxy-1.yaml" : "fleet.yaml");
        const std::string word = error.key.substr(error.key.rfind('.') + 1);
        if (word != "address") {
            EXPECT_EQ(error.line, this->lineOf(name, word + ":")) << describe(error);
        } else {
            EXPECT_EQ(error.line, this->lineOf(name, "orders.example"));
        }
    }
}

// Guards against contradictory times and limits, which would have an effect only under load or in a failure.
TEST_F(SettingsLoaderTest, ReportsContradictions)
{
    this->append("fleet.yaml", "ownership: { ping_interval_ms: 700, ping_timeout_ms: 500, lock_timeout_ms: 400,\n"
                               "             retry_delay_ms: 3000, control_reserve: 3 }\n"
                               "authority: { lease_duration_ms: 1000, cut_off_after_ms: 500 }\n"
                               "admission: { caller_queue_limit: 300, default_timeout_ms: 70000 }\n"
                               "membership: { peer_timeout_ms: 250 }\n"
                               "server_defaults: { slots: 4, connection_limit: 6 }\n"
                               "limits: { caller_threads: 20, max_connections: 10, tick_interval_ms: 400 }\n");
    EXPECT_FALSE(this->load().has_value());
    EXPECT_TRUE(this->hasError("ownership.ping_timeout_ms", "ping_timeout_ms of at least ping_interval_ms"));
    EXPECT_TRUE(this->hasError("ownership.lock_timeout_ms", "lock_timeout_ms of at least ping_timeout_ms"));
    EXPECT_TRUE(this->hasError("ownership.retry_delay_ms", "max_retry_delay_ms of at least retry_delay_ms"));
    EXPECT_TRUE(this->hasError("ownership.ping_interval_ms", "suspect_after_ms above ping_interval_ms"));
    EXPECT_TRUE(this->hasError("authority.lease_duration_ms", "lease_duration_ms above lease_renewal_ms"));
    EXPECT_TRUE(this->hasError("authority.cut_off_after_ms", "cut_off_after_ms of at least suspect_after_ms"));
    EXPECT_TRUE(this->hasError("admission.caller_queue_limit", "queue_limit of at least caller_queue_limit"));
    EXPECT_TRUE(this->hasError("admission.default_timeout_ms", "max_timeout_ms of at least default_timeout_ms"));
    EXPECT_TRUE(this->hasError("membership.peer_timeout_ms", "peer_timeout_ms above heartbeat_interval_ms"));
    EXPECT_TRUE(this->hasError("databases[0].servers[0].connection_limit", "slots and control_reserve together"));
    EXPECT_TRUE(this->hasError("limits.max_connections", "max_connections of at least caller_threads"));
    EXPECT_TRUE(this->hasError("limits.tick_interval_ms", "heartbeat_interval_ms of at least tick_interval_ms"));
    EXPECT_EQ(this->errors.size(), 14U) << describeAll(
        this->errors); // three servers have the same error from the defaults
}

// Guards against databases without enough backend servers to acknowledge writes or to fail over.
TEST_F(SettingsLoaderTest, RejectsDatabasesWithFewerThanTwoServers)
{
    this->append("fleet.yaml", "  - name: empty\n    servers: []\n  - name: missing\n  - name: single\n    servers:\n"
                               "      - { name: single-a, failure_domain: zone-a, address: \"127.0.0.1:7301\" }\n");
    EXPECT_FALSE(this->load().has_value());
    EXPECT_EQ(this->errors.size(), 3U) << describeAll(this->errors);
    EXPECT_TRUE(this->hasError("databases[1].servers", "the list is empty"));
    EXPECT_TRUE(this->hasError("databases[2].servers", "the key is missing"));
    EXPECT_TRUE(this->hasError("databases[3].servers", "one backend server"));
}

// Guards against two instances or backend servers with the same name or address, and against a key that is set twice.
TEST_F(SettingsLoaderTest, RejectsDuplicateNamesAddressesAndKeys)
{
    this->replace("fleet.yaml", "name: proxy-2", "name: proxy-1");
    this->replace("fleet.yaml", "127.0.0.1:7023", "127.0.0.1:7011");
    this->replace("fleet.yaml", "name: orders-b", "name: orders-a");
    this->append("fleet.yaml", "user: again\n");
    EXPECT_FALSE(this->load().has_value());
    EXPECT_EQ(this->errors.size(), 4U) << describeAll(this->errors);
    EXPECT_TRUE(this->hasError("instances[1].name", "already used"));
    EXPECT_TRUE(this->hasError("instances[1].operator_address", "already used"));
    EXPECT_TRUE(this->hasError("databases[0].servers[1].name", "already used"));
    EXPECT_TRUE(this->hasError("user", "already set in line"));
}

// Guards against a value that depends on which of the two files takes precedence.
TEST_F(SettingsLoaderTest, RejectsAKeyThatBothFilesSet)
{
    this->append("proxy-1.yaml", "user: other\n");
    EXPECT_FALSE(this->load().has_value());
    EXPECT_TRUE(this->hasError("user", "also set in")) << describeAll(this->errors);
}

// Guards against addresses that need name resolution or that no other host can connect to.
TEST_F(SettingsLoaderTest, AcceptsOnlyAddressesWithPort)
{
    for (const std::string address : {"127.0.0.1", "localhost:1", "127.0.0.1:0", "127.0.0.1:65536", "0.0.0.0:7100",
                                      "127.0.0.1:", ":7100", "[127.0.0.1]:7100", "::1:7100", "127.0.0.1:7100x"}) {
        this->SetUp();
        this->replace("fleet.yaml", "127.0.0.1:7100", "\"" + address + "\"");
        EXPECT_FALSE(this->load().has_value()) << address;
        EXPECT_TRUE(this->hasError("platform.address", "expected ip:port")) << address;
    }
    this->SetUp();
    this->replace("fleet.yaml", "127.0.0.1:7100", "\"[::1]:7100\"");
    EXPECT_TRUE(this->load().has_value()) << describeAll(this->errors);
}

// Guards against numbers that YAML reads in another base or as a string.
TEST_F(SettingsLoaderTest, AcceptsOnlyPlainDecimalNumbers)
{
    for (const std::string value :
         {"0x10", "-5", "1e3", "010", "\"64\"", "64ms", "1.5", "", "[64]", "99999999999999999999999"}) {
        this->SetUp();
        this->append("fleet.yaml", "admission:\n  caller_queue_limit: " + value + "\n");
        EXPECT_FALSE(this->load().has_value()) << value;
        EXPECT_TRUE(this->hasError("admission.caller_queue_limit", "expected a whole number")) << value;
    }
}

// Guards against keys that are weak, that cannot be replaced without downtime, or that appear in messages.
TEST_F(SettingsLoaderTest, ReadsOneOrTwoKeysFromAFile)
{
    const std::string first(32, 'a');
    const std::string second(32, 'b');
    this->write("keys/peer.keys", "# old and new\r\n" + first + "\r\n\n" + second + "\n");
    auto settings = this->load();
    ASSERT_TRUE(settings.has_value()) << describeAll(this->errors);
    EXPECT_EQ(settings->peerKeys, (std::vector<std::string>{first, second}));

    const std::string twice = std::string(first).append("\n").append(first);
    const std::string three = std::string(first).append("\n").append(second).append("\n").append(32, 'c');
    const std::string withBlank = std::string(40, 'a').append(" b");
    for (const std::string &content : {std::string(), three, twice, std::string(31, 'a'), withBlank}) {
        this->write("keys/peer.keys", content);
        EXPECT_FALSE(this->load().has_value()) << content;
        EXPECT_TRUE(this->hasError("keys.peer_file", "expected") || this->hasError("peer_file", "expected"));
        for (const SettingsError &error : this->errors)
            EXPECT_EQ(describe(error).find("aaaa"), std::string::npos) << describe(error);
    }

    std::filesystem::remove(this->directory / "keys/peer.keys");
    EXPECT_FALSE(this->load().has_value());
    EXPECT_TRUE(this->hasError("keys.peer_file", "not a readable file"));
}

// Guards against one key that gives its holder two roles.
TEST_F(SettingsLoaderTest, RejectsAKeyWithTwoUses)
{
    this->write("keys/operator.keys", readFile(this->directory / "keys/peer.keys"));
    EXPECT_FALSE(this->load().has_value());
    EXPECT_TRUE(this->hasError("keys.operator_file", "expected different keys")) << describeAll(this->errors);
}

// Guards against operators' machines that need the secret keys of the daemons.
TEST_F(SettingsLoaderTest, OperatorsNeedOnlyTheirOwnKeys)
{
    std::filesystem::remove(this->directory / "keys/peer.keys");
    std::filesystem::remove(this->directory / "keys/session.keys");
    EXPECT_TRUE(this->load(SettingsPurpose::Operators, "fleet.yaml").has_value()) << describeAll(this->errors);
    EXPECT_FALSE(this->load(SettingsPurpose::Daemon, "fleet.yaml").has_value());
    EXPECT_TRUE(this->hasError("instance", "the key is missing"));
    std::filesystem::remove(this->directory / "keys/operator.keys");
    EXPECT_FALSE(this->load(SettingsPurpose::Operators, "fleet.yaml").has_value());
    EXPECT_TRUE(this->load(SettingsPurpose::Layout, "fleet.yaml").has_value()) << describeAll(this->errors);
}

// Guards against exceptions of the YAML library that terminate the process without a message.
TEST_F(SettingsLoaderTest, DamagedFilesAreReported)
{
    for (const std::string text : {"", "- a\n- b\n", "a: [", "\t", "just text", "a: 1\n---\nb: 2\n", "{[a]: b}",
                                   "fleet: missing.yaml\n", "fleet: .\n", "databases: { a: b }\n", "? [x]\n: y\n"}) {
        this->write("proxy-1.yaml", text);
        EXPECT_FALSE(this->load().has_value()) << text;
        EXPECT_FALSE(this->errors.empty()) << text;
    }
    EXPECT_FALSE(this->load(SettingsPurpose::Daemon, "absent.yaml").has_value());
    ASSERT_EQ(this->errors.size(), 1U);
    EXPECT_NE(describe(this->errors[0]).find("absent.yaml: 600 bad-settings: cannot be read"), std::string::npos);
}

} // namespace

} // namespace Jujubekeel

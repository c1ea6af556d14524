#include "settings/settingsloader.h"

#include "settings/keyfile.h"
#include "settings/settingssection.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <tuple>
#include <utility>

namespace Jujubekeel {

/// The settings file to load and the shared file that it names, if any. Either may set a top-level key, but not both.
struct SettingsFiles
{
    std::filesystem::path mainPath;
    std::filesystem::path sharedPath;
    SettingsSection main;
    std::optional<SettingsSection> shared;

    /// Returns the top level of the file that sets the key. If neither does, that of the shared file, or of the main
    /// file if there is no shared one. Reports a key that both files set.
    SettingsSection &rootOf(std::string_view key)
    {
        if (!this->shared)
            return this->main;
        if (this->main.has(key) && this->shared->has(key)) {
            this->main.report(key, "the key is also set in " + this->shared->file() + " in line "
                                       + std::to_string(this->shared->lineOf(key)) + "; expected it in one file");
        }
        // The key is known in the other file too, so that one set in both files is not reported as unknown as well.
        SettingsSection &other = this->main.has(key) ? *this->shared : this->main;
        other.addKnownKey(key);
        return this->main.has(key) ? this->main : *this->shared;
    }

    [[nodiscard]] const std::filesystem::path &pathOf(const SettingsSection &section) const
    {
        return &section == &this->main ? this->mainPath : this->sharedPath;
    }
};

namespace {

constexpr std::uint32_t dayMs = 24U * 60U * 60U * 1000U;
constexpr std::size_t maxNameBytes = 64;

/// Loads one file. Returns an empty value and reports an error if the file cannot be read or is not valid YAML.
std::optional<YAML::Node> loadFile(const std::filesystem::path &path, SettingsErrors &errors)
{
    // For a directory the YAML library throws exceptions that are not YAML::Exception.
    std::error_code failure;
    if (!std::filesystem::is_regular_file(path, failure)) {
        errors.push_back({.file = path.string(), .text = "cannot be read; expected a YAML file"});
        return std::nullopt;
    }
    try {
        std::vector<YAML::Node> documents = YAML::LoadAllFromFile(path.string());
        if (documents.size() != 1) {
            errors.push_back({.file = path.string(),
                              .text = "holds " + std::to_string(documents.size())
                                      + " YAML documents; expected one mapping of keys to values"});
            return std::nullopt;
        }
        return documents.front();
    } catch (const YAML::BadFile &) {
        errors.push_back({.file = path.string(), .text = "cannot be read; expected a YAML file"});
    } catch (const YAML::Exception &exception) {
        const std::uint32_t line = exception.mark.is_null() ? 0 : static_cast<std::uint32_t>(exception.mark.line + 1);
        errors.push_back({.file = path.string(), .line = line, .text = "is not valid YAML: " + exception.msg});
    }
    return std::nullopt;
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
               || c == '-';
    });
}

/// True for "ip:port" and "[ip]:port", unless the address is a wildcard, which other hosts cannot connect to.
bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view port = text.substr(colon + 1);
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed)
        host = host.substr(1, host.size() - 2);

    unsigned portNumber = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), portNumber);
    if (error != std::errc{} || end != port.data() + port.size() || portNumber == 0 || portNumber > 65535)
        return false;
    Poco::Net::IPAddress address;
    if (!Poco::Net::IPAddress::tryParse(std::string(host), address) || address.isWildcard())
        return false;
    return bracketed == (address.family() == Poco::Net::IPAddress::IPv6);
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// A time and the key that sets it, for checks that compare two settings.
struct TimeSetting
{
    SettingsSection &section;
    std::string_view key;
    Duration value;
};

/// Reports an error if \a first is smaller than \a second, or equal with \a strictly. The error is reported at the
/// first key if it is set or if neither is, otherwise at the second.
void requireAtLeast(const TimeSetting &first, const TimeSetting &second, bool strictly = false)
{
    if (strictly ? first.value > second.value : first.value >= second.value)
        return;
    const bool firstIsSet = first.section.has(first.key) || !second.section.has(second.key);
    const TimeSetting &reported = firstIsSet ? first : second;
    reported.section.report(reported.key, std::string(first.key) + " is " + milliseconds(first.value) + " and "
                                              + std::string(second.key) + " is " + milliseconds(second.value)
                                              + "; expected " + std::string(first.key)
                                              + (strictly ? " above " : " of at least ") + std::string(second.key));
}

/// A count and the key that sets it, for checks that compare two settings.
struct CountSetting
{
    SettingsSection &section;
    std::string_view key;
    std::uint64_t value;
};

void requireAtLeast(const CountSetting &first, const CountSetting &second)
{
    if (first.value >= second.value)
        return;
    const bool firstIsSet = first.section.has(first.key) || !second.section.has(second.key);
    const CountSetting &reported = firstIsSet ? first : second;
    reported.section.report(reported.key, std::string(first.key) + " is " + std::to_string(first.value) + " and "
                                              + std::string(second.key) + " is " + std::to_string(second.value)
                                              + "; expected " + std::string(first.key) + " of at least "
                                              + std::string(second.key));
}

constexpr std::array policies{
    std::pair{std::string_view("group-confirmation"), AuthorityPolicy::GroupConfirmation},
    std::pair{std::string_view("platform-lease"), AuthorityPolicy::PlatformLease},
    std::pair{std::string_view("lease-and-confirmation"), AuthorityPolicy::LeaseAndConfirmation},
};

} // namespace

std::string SettingsLoader::readName(SettingsSection &section, std::string_view key)
{
    const auto text = section.text(key, true);
    if (!text)
        return {};
    if (!isName(*text)) {
        section.report(key, "\"" + *text + "\" is not a valid name; expected 1 to " + std::to_string(maxNameBytes)
                                + " letters, digits, '.', '_' or '-'");
        return {};
    }
    return *text;
}

std::string SettingsLoader::readAddress(SettingsSection &section, std::string_view key)
{
    const auto text = section.text(key, true);
    if (!text)
        return {};
    if (!isAddress(*text)) {
        section.report(key, "\"" + *text
                                + "\" is not a valid address; expected ip:port, for example 10.0.0.7:7001, "
                                  "without name resolution and not a wildcard address");
        return {};
    }
    this->requireUnique(this->addresses, section, key, *text);
    return *text;
}

void SettingsLoader::requireUnique(std::map<std::string, FirstUse> &uses, SettingsSection &section,
                                   std::string_view key, const std::string &value)
{
    if (value.empty())
        return;
    const std::uint32_t line = section.lineOf(key);
    const auto [first, isNew] = uses.try_emplace(value, FirstUse{.file = section.file(), .line = line});
    if (!isNew) {
        section.report(key, "\"" + value + "\" is already used in " + first->second.file + " in line "
                                + std::to_string(first->second.line) + "; expected a value that is used once");
    }
}

void SettingsLoader::readOwnership(SettingsFiles &files, ProxySettings &settings)
{
    OwnershipOptions &options = settings.options.ownership;
    SettingsSection section = files.rootOf("ownership").section("ownership");
    section.read("ping_interval_ms", options.pingInterval, 10, 60000);
    section.read("ping_timeout_ms", options.pingTimeout, 10, 60000);
    section.read("lock_timeout_ms", options.lockTimeout, 100, 600000);
    section.read("candidate_delay_ms", options.candidateDelay, 10, 60000);
    section.read("handover_after_ms", options.handoverAfter, 100, 600000);
    section.read("preempt_after_ms", options.preemptAfter, 100, 600000);
    section.read("retry_delay_ms", options.retryDelay, 10, 60000);
    section.read("max_retry_delay_ms", options.maxRetryDelay, 10, 600000);
    section.read("control_reserve", options.controlReserve, 1, 16);
    section.read("idle_probe_ms", options.idleProbe, 100, 600000);
    section.reportUnknownKeys();

    requireAtLeast(TimeSetting{section, "ping_timeout_ms", options.pingTimeout},
                   TimeSetting{section, "ping_interval_ms", options.pingInterval});
    // Otherwise a backend server closes control connections before the ping timeout of their owner expires.
    requireAtLeast(TimeSetting{section, "lock_timeout_ms", options.lockTimeout},
                   TimeSetting{section, "ping_timeout_ms", options.pingTimeout});
    requireAtLeast(TimeSetting{section, "max_retry_delay_ms", options.maxRetryDelay},
                   TimeSetting{section, "retry_delay_ms", options.retryDelay});
}

void SettingsLoader::readAuthority(SettingsFiles &files, ProxySettings &settings)
{
    AuthorityOptions &options = settings.options.authority;
    SettingsSection section = files.rootOf("authority").section("authority");
    if (const auto name = section.text("policy", false)) {
        const auto *policy = std::ranges::find(policies, *name, &std::pair<std::string_view, AuthorityPolicy>::first);
        if (policy == policies.end()) {
            section.report("policy", "\"" + *name
                                         + "\" is unknown; expected group-confirmation, platform-lease or "
                                           "lease-and-confirmation");
        } else {
            options.policy = policy->second;
        }
    }
    section.read("suspect_after_ms", options.suspectAfter, 50, 600000);
    section.read("replication_silence_ms", options.replicationSilence, 50, 600000);
    section.read("cut_off_after_ms", options.cutOffAfter, 50, 600000);
    section.read("claim_timeout_ms", options.claimTimeout, 10, 60000);
    section.read("step_timeout_ms", options.stepTimeout, 10, 60000);
    section.read("promotion_hold_off_ms", options.promotionHoldOff, 100, 600000);
    section.read("retry_delay_ms", options.retryDelay, 10, 60000);
    section.read("max_retry_delay_ms", options.maxRetryDelay, 10, 600000);
    section.read("barrier_wait_ms", options.barrierWait, 10, 60000);
    section.read("lease_duration_ms", options.leaseDuration, 100, 600000);
    section.read("lease_renewal_ms", options.leaseRenewal, 10, 600000);
    section.read("promotions_shard_size", options.promotionsShardSize, 1, 4096);
    section.reportUnknownKeys();

    // A lease that lasts no longer than its renewal interval expires before each renewal.
    requireAtLeast(TimeSetting{section, "lease_duration_ms", options.leaseDuration},
                   TimeSetting{section, "lease_renewal_ms", options.leaseRenewal}, true);
    requireAtLeast(TimeSetting{section, "cut_off_after_ms", options.cutOffAfter},
                   TimeSetting{section, "suspect_after_ms", options.suspectAfter});
    requireAtLeast(TimeSetting{section, "max_retry_delay_ms", options.maxRetryDelay},
                   TimeSetting{section, "retry_delay_ms", options.retryDelay});
    // Pings report the status of a primary, so a limit shorter than their interval would make every healthy primary
    // suspect.
    SettingsSection ownership = files.rootOf("ownership").section("ownership");
    requireAtLeast(TimeSetting{section, "suspect_after_ms", options.suspectAfter},
                   TimeSetting{ownership, "ping_interval_ms", settings.options.ownership.pingInterval}, true);
}

void SettingsLoader::readAdmission(SettingsFiles &files, ProxySettings &settings)
{
    AdmissionOptions &options = settings.options.admission;
    SettingsSection section = files.rootOf("admission").section("admission");
    section.read("queue_limit", options.queueLimit, 1, 100000);
    section.read("caller_queue_limit", options.callerQueueLimit, 1, 100000);
    section.read("retry_percent", options.retryPercent, 0, 100);
    section.read("retry_floor_per_s", options.retryFloor, 0, 100000);
    section.read("default_timeout_ms", options.defaultTimeout, 10, dayMs);
    section.read("max_timeout_ms", options.maxTimeout, 10, dayMs);
    section.read("retry_pause_ms", options.retryDelay, 1, 60000);
    section.read("max_retry_pause_ms", options.maxRetryDelay, 1, 60000);
    section.read("read_attempt_timeout_ms", options.readAttemptTimeout, 10, dayMs);
    section.read("statement_timeout_ms", options.statementTimeout, 10, dayMs);
    section.read("hop_allowance_ms", options.hopAllowance, 1, 60000);
    section.read("transaction_idle_ms", options.transactionIdle, 100, dayMs);
    section.reportUnknownKeys();

    requireAtLeast(CountSetting{section, "queue_limit", options.queueLimit},
                   CountSetting{section, "caller_queue_limit", options.callerQueueLimit});
    requireAtLeast(TimeSetting{section, "max_timeout_ms", options.maxTimeout},
                   TimeSetting{section, "default_timeout_ms", options.defaultTimeout});
    requireAtLeast(TimeSetting{section, "max_retry_pause_ms", options.maxRetryDelay},
                   TimeSetting{section, "retry_pause_ms", options.retryDelay});
    // Otherwise no time is left for a request with the default timeout after the hop to the owner.
    requireAtLeast(TimeSetting{section, "default_timeout_ms", options.defaultTimeout},
                   TimeSetting{section, "hop_allowance_ms", options.hopAllowance}, true);
}

void SettingsLoader::readMembershipAndRules(SettingsFiles &files, ProxySettings &settings)
{
    MembershipOptions &membership = settings.options.membership;
    SettingsSection section = files.rootOf("membership").section("membership");
    section.read("heartbeat_interval_ms", membership.heartbeatInterval, 10, 60000);
    section.read("peer_timeout_ms", membership.peerTimeout, 50, 600000);
    section.read("interest_time_ms", membership.interestTime, 100, dayMs);
    section.read("full_mesh_limit", membership.fullMeshLimit, 1, 10000);
    section.read("ring_fanout", membership.ringFanout, 1, 100);
    section.read("large_fleet_interval_ms", membership.largeFleetInterval, 10, 60000);
    section.read("candidates", membership.candidates, 1, 1000);
    section.read("list_interval_ms", membership.listInterval, 100, 600000);
    section.reportUnknownKeys();
    requireAtLeast(TimeSetting{section, "peer_timeout_ms", membership.peerTimeout},
                   TimeSetting{section, "heartbeat_interval_ms", membership.heartbeatInterval}, true);

    RuleOptions &rules = settings.options.rules;
    SettingsSection ruleSection = files.rootOf("rules").section("rules");
    ruleSection.read("watchers_per_domain", rules.watchersPerDomain, 1, 100);
    ruleSection.read("watch_wait_ms", rules.watchWait, 100, 600000);
    ruleSection.read("retry_delay_ms", rules.retryDelay, 10, 60000);
    ruleSection.read("call_timeout_ms", rules.callTimeout, 10, 60000);
    ruleSection.read("overdue_after_ms", rules.overdueAfter, 10, 60000);
    ruleSection.reportUnknownKeys();
}

void SettingsLoader::readDrainAndTrace(SettingsFiles &files, ProxySettings &settings)
{
    DrainOptions &drain = settings.options.drain;
    SettingsSection section = files.rootOf("drain").section("drain");
    section.read("stop_grace_ms", drain.stopGrace, 0, dayMs);
    section.read("leaving_grace_ms", drain.leavingGrace, 0, 600000);
    section.read("stop_transaction_idle_ms", drain.stopTransactionIdle, 0, 600000);
    section.read("planned_change_wait_ms", drain.plannedChangeWait, 100, 600000);
    section.reportUnknownKeys();

    TraceOptions &trace = settings.options.trace;
    SettingsSection traceSection = files.rootOf("trace").section("trace");
    traceSection.read("sample_percent", trace.samplePercent, 0, 100);
    traceSection.read("slow_ms", trace.slow, 1, dayMs);
    traceSection.reportUnknownKeys();
}

void SettingsLoader::readLimits(SettingsFiles &files, ProxySettings &settings)
{
    ProcessLimits &limits = settings.limits;
    SettingsSection section = files.rootOf("limits").section("limits");
    section.read("caller_threads", limits.callerThreads, 1, 1024);
    section.read("operator_threads", limits.operatorThreads, 1, 64);
    section.read("backend_threads", limits.backendThreads, 1, 4096);
    section.read("max_connections", limits.maxConnections, 1, 1000000);
    section.read("max_request_bytes", limits.maxRequestBytes, 1024, 64U * 1024U * 1024U);
    section.read("idle_timeout_ms", limits.idleTimeout, 100, dayMs);
    section.read("connect_timeout_ms", limits.connectTimeout, 10, 60000);
    section.read("explain_limit", limits.explainLimit, 1, 10000000);
    section.read("span_limit", limits.spanLimit, 1, 10000000);
    section.read("tick_interval_ms", settings.options.tickInterval, 1, 1000);
    section.reportUnknownKeys();

    requireAtLeast(CountSetting{section, "max_connections", limits.maxConnections},
                   CountSetting{section, "caller_threads", limits.callerThreads});
    // Pings and heartbeats are sent at ticks, so their intervals cannot be shorter than that of the ticks.
    SettingsSection ownership = files.rootOf("ownership").section("ownership");
    SettingsSection membership = files.rootOf("membership").section("membership");
    const TimeSetting tick{section, "tick_interval_ms", settings.options.tickInterval};
    requireAtLeast(TimeSetting{ownership, "ping_interval_ms", settings.options.ownership.pingInterval}, tick);
    requireAtLeast(TimeSetting{membership, "heartbeat_interval_ms", settings.options.membership.heartbeatInterval},
                   tick);
}

void SettingsLoader::readPlatform(SettingsFiles &files, ProxySettings &settings)
{
    settings.layout.user = this->readName(files.rootOf("user"), "user");
    SettingsSection &root = files.rootOf("platform");
    if (!root.has("platform")) {
        root.report("platform", "the key is missing; expected a mapping with the key address");
        return;
    }
    SettingsSection section = root.section("platform");
    settings.platformAddress = this->readAddress(section, "address");
    section.reportUnknownKeys();
}

void SettingsLoader::readInstances(SettingsFiles &files, ProxySettings &settings)
{
    for (SettingsSection &section : files.rootOf("instances").list("instances", "at least one instance")) {
        InstanceSettings instance;
        instance.name = this->readName(section, "name");
        this->requireUnique(this->instanceNames, section, "name", instance.name);
        instance.failureDomain = this->readName(section, "failure_domain");
        instance.callerAddress = this->readAddress(section, "caller_address");
        instance.peerAddress = this->readAddress(section, "peer_address");
        instance.operatorAddress = this->readAddress(section, "operator_address");
        section.reportUnknownKeys();
        settings.layout.instances.push_back(std::move(instance));
    }
}

void SettingsLoader::readDatabases(SettingsFiles &files, ProxySettings &settings)
{
    BackendSettings defaults;
    SettingsSection defaultSection = files.rootOf("server_defaults").section("server_defaults");
    defaultSection.read("slots", defaults.slots, 1, 10000);
    defaultSection.read("connection_limit", defaults.connectionLimit, 1, 100000);
    defaultSection.reportUnknownKeys();

    for (SettingsSection &section : files.rootOf("databases").list("databases", "at least one database")) {
        DatabaseSettings &database = settings.layout.databases.emplace_back();
        database.name = this->readName(section, "name");
        this->requireUnique(this->databaseNames, section, "name", database.name);
        std::vector<SettingsSection> servers = section.list("servers", "at least two backend servers");
        for (SettingsSection &server : servers)
            this->readServer(server, defaults, settings);
        // A write is acknowledged when a second server has it, so a single server can neither acknowledge writes nor be
        // replaced after a failure.
        if (servers.size() == 1) {
            section.report("servers", "the database has one backend server; expected at least two, because a write is "
                                      "acknowledged when a second server has it");
        }
        section.reportUnknownKeys();
    }
}

void SettingsLoader::readServer(SettingsSection &section, const BackendSettings &defaults, ProxySettings &settings)
{
    const auto index = static_cast<std::uint32_t>(settings.layout.backends.size());
    BackendSettings &backend = settings.layout.backends.emplace_back(defaults);
    backend.database = DatabaseId{.index = static_cast<std::uint32_t>(settings.layout.databases.size() - 1)};
    backend.name = this->readName(section, "name");
    this->requireUnique(this->backendNames, section, "name", backend.name);
    backend.failureDomain = this->readName(section, "failure_domain");
    backend.address = this->readAddress(section, "address");
    section.read("slots", backend.slots, 1, 10000);
    section.read("connection_limit", backend.connectionLimit, 1, 100000);
    section.reportUnknownKeys();
    settings.layout.databases.back().backends.push_back(BackendId{.index = index});

    // Each slot needs a connection in addition to those reserved for control.
    const std::uint32_t reserve = settings.options.ownership.controlReserve;
    if (backend.connectionLimit < backend.slots + reserve) {
        const bool limitIsSet = section.has("connection_limit") || !section.has("slots");
        section.report(limitIsSet ? "connection_limit" : "slots",
                       "connection_limit is " + std::to_string(backend.connectionLimit) + ", slots is "
                           + std::to_string(backend.slots) + " and ownership.control_reserve is "
                           + std::to_string(reserve)
                           + "; expected connection_limit of at least slots and control_reserve together");
    }
}

std::vector<std::string> SettingsLoader::readKeyList(SettingsSection &section, std::string_view key,
                                                     const std::filesystem::path &settingsFile, bool required)
{
    const auto name = section.text(key, required);
    if (!name || !required)
        return {};
    const std::filesystem::path path = settingsFile.parent_path() / *name;
    std::vector<KeyFileError> errors;
    std::vector<std::string> keys = readKeyFile(path, errors);
    for (KeyFileError &error : errors) {
        // An error of the whole file is reported at the settings line that names the file.
        if (error.line == 0)
            section.report(key, path.string() + " " + error.text);
        else
            this->foundErrors.push_back(
                {.file = path.string(), .line = error.line, .key = std::string(key), .text = std::move(error.text)});
    }
    return keys;
}

void SettingsLoader::readKeys(SettingsFiles &files, ProxySettings &settings)
{
    const bool isDaemon = this->settingsPurpose == SettingsPurpose::Daemon;
    const bool isOperator = this->settingsPurpose == SettingsPurpose::Operators;
    SettingsSection &root = files.rootOf("keys");
    SettingsSection section = root.section("keys");
    const std::filesystem::path &path = files.pathOf(root);
    std::vector<std::string> &sessionKeys = settings.options.session.tokenKeys;
    sessionKeys = this->readKeyList(section, "session_file", path, isDaemon);
    settings.peerKeys = this->readKeyList(section, "peer_file", path, isDaemon);
    settings.operatorKeys = this->readKeyList(section, "operator_file", path, isDaemon || isOperator);
    section.reportUnknownKeys();

    // A key with two uses would let its holder act in both roles.
    const auto overlaps = [](const std::vector<std::string> &left, const std::vector<std::string> &right) {
        return std::ranges::find_first_of(left, right) != left.end();
    };
    if (overlaps(settings.peerKeys, sessionKeys))
        section.report("peer_file", "holds a key of session_file as well; expected different keys");
    if (overlaps(settings.operatorKeys, sessionKeys) || overlaps(settings.operatorKeys, settings.peerKeys))
        section.report("operator_file", "holds a key of another file as well; expected different keys");
}

void SettingsLoader::readSelf(SettingsFiles &files, ProxySettings &settings)
{
    const auto name = files.main.text("instance", this->settingsPurpose == SettingsPurpose::Daemon);
    if (!name)
        return;
    settings.self = settings.layout.findInstance(*name);
    if (settings.self.isValid())
        return;
    std::string names;
    for (const InstanceSettings &instance : settings.layout.instances)
        names += (names.empty() ? "" : ", ") + instance.name;
    files.main.report("instance", "\"" + *name + "\" is not in the list of instances; expected one of " + names);
}

std::optional<ProxySettings> SettingsLoader::load(const std::filesystem::path &file)
{
    this->foundErrors.clear();
    this->addresses.clear();
    this->instanceNames.clear();
    this->databaseNames.clear();
    this->backendNames.clear();

    // Open the file and the shared file that it names.
    const auto mainNode = loadFile(file, this->foundErrors);
    if (!mainNode)
        return std::nullopt;
    SettingsFiles files{.mainPath = file,
                        .sharedPath = {},
                        .main = SettingsSection(*mainNode, file.string(), {}, this->foundErrors),
                        .shared = std::nullopt};
    if (const auto fleet = files.main.text("fleet", false)) {
        files.sharedPath = file.parent_path() / *fleet;
        const auto sharedNode = loadFile(files.sharedPath, this->foundErrors);
        if (!sharedNode) {
            files.main.report("fleet", files.sharedPath.string() + " cannot be used; expected a settings file");
            return std::nullopt;
        }
        files.shared.emplace(*sharedNode, files.sharedPath.string(), "", this->foundErrors);
    }

    // Read the options first: the checks of backend servers need them.
    ProxySettings settings;
    this->readOwnership(files, settings);
    this->readAuthority(files, settings);
    this->readAdmission(files, settings);
    this->readMembershipAndRules(files, settings);
    this->readDrainAndTrace(files, settings);
    this->readLimits(files, settings);
    this->readPlatform(files, settings);
    this->readInstances(files, settings);
    this->readDatabases(files, settings);
    this->readKeys(files, settings);
    this->readSelf(files, settings);
    files.main.reportUnknownKeys();
    if (files.shared)
        files.shared->reportUnknownKeys();

    if (this->foundErrors.empty())
        return settings;
    this->sortErrors();
    return std::nullopt;
}

void SettingsLoader::sortErrors()
{
    const auto order = [](const SettingsError &error) {
        return std::tie(error.file, error.line, error.key, error.text);
    };
    std::ranges::sort(this->foundErrors, {}, order);
    // A section that several checks read reports its own errors each time: remove the duplicates.
    const auto same = [&](const SettingsError &left, const SettingsError &right) {
        return order(left) == order(right);
    };
    this->foundErrors.erase(std::unique(this->foundErrors.begin(), this->foundErrors.end(), same),
                            this->foundErrors.end());
}

} // namespace Jujubekeel

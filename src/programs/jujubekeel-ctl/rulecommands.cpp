#include "programs/jujubekeel-ctl/rulecommands.h"

#include "rules/rulecheck.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>

namespace Jujubekeel {

namespace {

/// Pause between two status polls of the instances.
constexpr Duration pollInterval = std::chrono::milliseconds(300);

std::string utcNow()
{
    return Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
}

/// Names a version of the rule set with author and time, if these are known.
std::string versionText(std::uint64_t version, const RulesObject &object)
{
    std::string text = "version ";
    text += std::to_string(version);
    if (!object.writer.empty())
        text.append(" by ").append(object.author).append(" at ").append(object.time);
    return text;
}

nlohmann::ordered_json differencesToJson(const std::vector<LineDifference> &differences)
{
    auto json = nlohmann::ordered_json::array();
    for (const LineDifference &difference : differences) {
        json.push_back({{"side", difference.side == LineSide::OldOnly ? "theirs" : "yours"},
                        {"line", difference.line},
                        {"text", difference.text}});
    }
    return json;
}

const char *outcomeName(RulesObjectUpdateOutcome outcome)
{
    switch (outcome) {
    case RulesObjectUpdateOutcome::InProgress:
        return "under-way";
    case RulesObjectUpdateOutcome::Applied:
        return "applied";
    case RulesObjectUpdateOutcome::Unchanged:
        return "unchanged";
    case RulesObjectUpdateOutcome::Conflict:
        return "conflict";
    case RulesObjectUpdateOutcome::ConflictUnknown:
        return "conflict-unknown";
    case RulesObjectUpdateOutcome::NotApplied:
        return "not-applied";
    case RulesObjectUpdateOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::uint64_t unsignedField(const nlohmann::ordered_json &json, const char *field)
{
    return json.is_object() && json.contains(field) && json.at(field).is_number_unsigned()
               ? json.at(field).get<std::uint64_t>()
               : 0;
}

bool booleanField(const nlohmann::ordered_json &json, const char *field)
{
    return json.contains(field) && json.at(field).is_boolean() && json.at(field).get<bool>();
}

} // namespace

RuleCommands::RuleCommands(const ProxySettings &proxySettings, const CommandOutput &commandOutput)
    : settings(proxySettings), output(commandOutput), client(proxySettings)
{
}

std::optional<RuleSet> RuleCommands::readRules(const std::string &ruleFile) const
{
    std::ifstream stream(ruleFile, std::ios::binary);
    std::string text;
    // A directory can be opened, but peek() fails on it; stream iterators would throw an exception.
    if (!stream || (stream.peek(), stream.bad())) {
        this->output.writeError(
            {.code = ResultCode::BadRules, .text = "the file cannot be read; expected a rule file", .file = ruleFile});
        return std::nullopt;
    }
    stream.clear();
    text.assign(std::istreambuf_iterator<char>(stream), {});

    std::vector<RuleError> errors;
    auto rules = RuleSet::parse(text, 0, errors);
    if (rules)
        errors = checkRules(*rules, this->settings.layout);
    for (const RuleError &error : errors) {
        this->output.writeError(
            {.code = ResultCode::BadRules, .text = error.text, .file = ruleFile, .line = error.line});
    }
    return errors.empty() ? std::move(rules) : std::nullopt;
}

int RuleCommands::check(const std::string &ruleFile) const
{
    const auto rules = this->readRules(ruleFile);
    if (!rules)
        return exitUsage;
    if (this->output.isJson()) {
        auto list = nlohmann::ordered_json::array();
        for (const Rule &rule : rules->rules())
            list.push_back({{"line", rule.line}, {"rule", formatRule(rule)}, {"requester", rule.requester}});
        this->output.writeJson({{"valid", true}, {"rules", list}});
    } else {
        this->output.writeLine(ruleFile + ": " + std::to_string(rules->rules().size()) + " rules, no errors");
    }
    return exitOk;
}

int RuleCommands::apply(const ApplyOptions &options) const
{
    const auto rules = this->readRules(options.ruleFile);
    if (!rules)
        return exitUsage;

    // Each run uses a unique writer id: after a lost answer, the write of another run must not look like its own.
    RulesObjectUpdate update({.user = this->settings.layout.user,
                              .object = {.writer = Poco::UUIDGenerator::defaultGenerator().createRandom().toString(),
                                         .sequence = 1,
                                         .author = options.author,
                                         .time = utcNow(),
                                         .text = rules->text()},
                              .baseVersion = options.baseVersion});
    std::string lastError;
    for (std::optional<RulesObjectUpdateCall> next = update.start(); next;) {
        std::this_thread::sleep_for(next->pause);
        next = update.handle(this->client.callPlatform(next->call, lastError));
    }
    return this->reportUpdate(update.result(), options, lastError);
}

int RuleCommands::reportUpdate(const RulesObjectUpdateResult &result, const ApplyOptions &options,
                               const std::string &lastError) const
{
    nlohmann::ordered_json json;
    json["outcome"] = outcomeName(result.outcome);
    json["version"] = result.version;
    json["replaced_version"] = result.replacedVersion;
    json["answer_was_lost"] = result.answerWasLost;
    if (!result.otherObject.writer.empty())
        json["other"] = {{"author", result.otherObject.author}, {"time", result.otherObject.time}};
    json["differences"] = differencesToJson(result.differences);
    const auto writeDifferences = [&] {
        for (const LineDifference &difference : result.differences) {
            this->output.writeLine((difference.side == LineSide::OldOnly ? "- " : "+ ")
                                   + std::to_string(difference.line) + ": " + difference.text);
        }
    };

    int status = exitOk;
    switch (result.outcome) {
    case RulesObjectUpdateOutcome::Applied:
    case RulesObjectUpdateOutcome::Unchanged:
        if (!this->output.isJson()) {
            if (result.outcome == RulesObjectUpdateOutcome::Unchanged)
                this->output.writeLine("unchanged: " + versionText(result.version, result.otherObject)
                                       + " has the same text");
            else if (result.replacedVersion == 0)
                this->output.writeLine("applied as version " + std::to_string(result.version));
            else
                this->output.writeLine("applied as version " + std::to_string(result.version) + ", replacing "
                                       + versionText(result.replacedVersion, result.otherObject));
            writeDifferences();
        }
        if (options.wait)
            status = this->reportWait(result.version, options, json);
        break;
    case RulesObjectUpdateOutcome::Conflict:
    case RulesObjectUpdateOutcome::ConflictUnknown: {
        std::string text = "not applied: " + versionText(result.version, result.otherObject) + " won";
        if (result.version == 0)
            text = "not applied: the platform has no rule set, but a base version was given";
        if (result.outcome == RulesObjectUpdateOutcome::ConflictUnknown)
            text = versionText(result.version, result.otherObject)
                   + " is in force; an answer was lost, so your edit may have been in force before it";
        text += "; the lines that differ are on standard output ('-' theirs, '+' yours)";
        this->output.writeError({.code = result.code, .text = text});
        if (!this->output.isJson())
            writeDifferences();
        status = exitFailed;
        break;
    }
    case RulesObjectUpdateOutcome::NotApplied:
    case RulesObjectUpdateOutcome::Unknown:
    case RulesObjectUpdateOutcome::InProgress:
        this->output.writeError(
            {.code = ResultCode::PlatformUnavailable,
             .text = (result.outcome == RulesObjectUpdateOutcome::NotApplied
                          ? "not applied: the platform did not answer ("
                          : "outcome unknown: the platform did not answer after the write was sent (")
                     + lastError
                     + (result.outcome == RulesObjectUpdateOutcome::NotApplied
                            ? "); nothing was written"
                            : "); applying the same file again is safe")});
        status = exitFailed;
        break;
    }
    if (this->output.isJson())
        this->output.writeJson(json);
    return status;
}

std::vector<RuleCommands::InstanceRules> RuleCommands::instanceRules() const
{
    const std::vector<InstanceResponse> responses = this->client.callAllInstances("/v1/status");
    std::vector<InstanceRules> rows;
    for (std::size_t index = 0; index < responses.size(); ++index) {
        const InstanceSettings &instance = this->settings.layout.instances[index];
        InstanceRules row{.instance = instance.name, .failureDomain = instance.failureDomain, .state = "not live"};
        if (responses[index].code == ResultCode::Ok) {
            row.state = "answers";
            row.live = true;
            row.version = unsignedField(responses[index].json, "rules_version");
        } else {
            // An instance that this command cannot reach may still serve callers; its peers then report it as live and
            // its version.
            for (const InstanceResponse &other : responses) {
                if (other.code != ResultCode::Ok || !other.json.contains("peers") || !other.json.at("peers").is_array())
                    continue;
                for (const auto &peer : other.json.at("peers")) {
                    if (!peer.is_object() || cellText(peer, "name") != instance.name || !booleanField(peer, "live"))
                        continue;
                    row.live = true;
                    row.state = "live, not reached";
                    row.version = std::max(row.version, unsignedField(peer, "rules_version"));
                }
            }
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::optional<std::vector<RuleCommands::InstanceRules>> RuleCommands::waitForVersion(std::uint64_t version,
                                                                                     Duration limit) const
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (true) {
        std::vector<InstanceRules> rows = this->instanceRules();
        const bool answered = std::ranges::any_of(rows, &InstanceRules::live);
        const bool reached =
            std::ranges::all_of(rows, [&](const InstanceRules &row) { return !row.live || row.version >= version; });
        if (answered && reached)
            return rows;
        if (std::chrono::steady_clock::now() + pollInterval > deadline) {
            std::string missing;
            for (const InstanceRules &row : rows) {
                if (row.live && row.version < version)
                    missing += (missing.empty() ? "" : ", ") + row.instance + " (" + std::to_string(row.version) + ")";
            }
            this->output.writeError(
                {.code = ResultCode::InstanceUnreachable,
                 .text = answered ? "version " + std::to_string(version) + " is not yet in force on " + missing
                                  : "no instance answered, so it is not known where version " + std::to_string(version)
                                        + " is in force"});
            return std::nullopt;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

int RuleCommands::reportWait(std::uint64_t version, const ApplyOptions &options, nlohmann::ordered_json &json) const
{
    const auto rows = this->waitForVersion(version, options.waitLimit);
    json["in_force_everywhere"] = rows.has_value();
    if (!rows)
        return exitFailed;
    const auto live = std::ranges::count(*rows, true, &InstanceRules::live);
    json["live_instances"] = live;
    if (!this->output.isJson()) {
        this->output.writeLine("in force on all " + std::to_string(live) + " live instances");
        for (const InstanceRules &row : *rows) {
            if (!row.live)
                this->output.writeLine("  " + row.instance + " is not live");
        }
    }
    return exitOk;
}

int RuleCommands::rules() const
{
    const std::string key = RulesObject::key(this->settings.layout.user);
    std::string error;
    const PlatformAnswer stored = this->client.callPlatform({.call = 1, .key = key}, error);
    std::vector<InstanceRules> rows = this->instanceRules();

    RulesObject object;
    std::uint64_t version = 0;
    if (stored.code == PlatformStatusCode::Ok) {
        version = stored.version;
        FailureReason reason;
        const auto decoded = RulesObject::decode(stored.value, reason);
        if (!decoded) {
            this->output.writeError({.code = reason.code(), .text = reason.text(), .key = key});
            return exitFailed;
        }
        object = *decoded;
    } else if (stored.code == PlatformStatusCode::NotFound) {
        this->output.writeError({.code = ResultCode::NotFound,
                                 .text = "no rule set has been applied for user " + this->settings.layout.user});
        return exitFailed;
    } else {
        // During an outage of the platform, instances continue with the last version that they have read; the newest of
        // these is shown.
        const std::string unavailable = "the platform did not answer (" + error + ")";
        const std::vector<InstanceResponse> responses = this->client.callAllInstances("/v1/rules");
        for (const InstanceResponse &response : responses) {
            const std::uint64_t instanceVersion =
                response.code == ResultCode::Ok ? unsignedField(response.json, "version") : 0;
            if (instanceVersion > version && response.json.contains("text") && response.json.at("text").is_string()) {
                version = instanceVersion;
                object.text = response.json.at("text").get<std::string>();
            }
        }
        if (version == 0) {
            this->output.writeError({.code = ResultCode::PlatformUnavailable,
                                     .text = unavailable + ", and no instance returned a rule set"});
            return exitFailed;
        }
        this->output.writeWarning(unavailable + "; showing the newest version that an instance has");
    }

    if (this->output.isJson()) {
        auto instances = nlohmann::ordered_json::array();
        for (const InstanceRules &row : rows) {
            instances.push_back({{"name", row.instance},
                                 {"failure_domain", row.failureDomain},
                                 {"state", row.state},
                                 {"live", row.live},
                                 {"version", row.version}});
        }
        this->output.writeJson({{"version", version},
                                {"author", object.author},
                                {"time", object.time},
                                {"text", object.text},
                                {"instances", instances}});
        return exitOk;
    }
    this->output.writeLine(versionText(version, object));
    std::size_t begin = 0;
    while (begin < object.text.size()) {
        const std::size_t end = std::min(object.text.find('\n', begin), object.text.size());
        this->output.writeLine("  " + object.text.substr(begin, end - begin));
        begin = end + 1;
    }
    this->output.writeLine("");
    std::vector<std::vector<std::string>> table;
    table.reserve(rows.size());
    for (const InstanceRules &row : rows) {
        table.push_back({row.instance, row.failureDomain, row.version == 0 ? "-" : std::to_string(row.version),
                         row.live && row.version < version ? row.state + ", behind" : row.state});
    }
    this->output.writeTable({"INSTANCE", "FAILURE DOMAIN", "VERSION", "STATE"}, table);
    return exitOk;
}

} // namespace Jujubekeel

#include "programs/jujubekeel-ctl/commandoutput.h"
#include "programs/jujubekeel-ctl/fleetcommands.h"
#include "programs/jujubekeel-ctl/logcommands.h"
#include "programs/jujubekeel-ctl/rulecommands.h"
#include "settings/settingsloader.h"

#include <docopt/docopt.h>

#include <Poco/Environment.h>
#include <Poco/Exception.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace Jujubekeel;

constexpr const char *usage = R"(Operators' command of jujubekeel.

Usage:
  jujubekeel-ctl check RULEFILE --settings=FILE [--json]
  jujubekeel-ctl apply RULEFILE --settings=FILE [--author=NAME] [--base=VERSION] [--wait] [--wait-limit=SECONDS] [--json]
  jujubekeel-ctl rules --settings=FILE [--json]
  jujubekeel-ctl status --settings=FILE [--json]
  jujubekeel-ctl explain REQUESTID --settings=FILE [--json]
  jujubekeel-ctl explain REQUESTID --log=FILE... [--json]
  jujubekeel-ctl explain (read | write) DATABASE OPERATION --settings=FILE [--json]
  jujubekeel-ctl trace TRACEID --settings=FILE [--json]
  jujubekeel-ctl drain INSTANCE --settings=FILE [--json]
  jujubekeel-ctl --help
  jujubekeel-ctl --version

Commands:
  check    Checks a rule file against the settings.
  apply    Checks a rule file and makes it the rule set in force.
  rules    Shows the rule set in force and the version on each instance.
  status   Shows instances, databases and backend servers with owner, role, positions and age.
  explain  Shows how a request was routed and why, with the rule line and its requester; with read or write what each
           instance would decide now for such a request; with --log from log lines alone.
  trace    Shows the hops of a request on all instances and the time spent in each.
  drain    Starts a planned stop of an instance: it finishes its requests in flight.

Options:
  --settings=FILE       Settings of the fleet (YAML); the file of one instance is accepted as well.
  --author=NAME         Who applies the rules (without this option: the user who is logged in).
  --base=VERSION        Version that the file was edited from, as shown by rules (0: none). With another version in
                        force nothing is written; without this option the version in force is replaced.
  --wait                Waits until every live instance reports the version.
  --wait-limit=SECONDS  Longest wait, 1 to 3600 [default: 30].
  --log=FILE            Log of an instance, JSON lines; - is standard input. May be given for several instances.
  --json                Writes JSON instead of tables; errors are JSON objects as well, one per line.
  -h --help             Shows this text.
  --version             Shows the version.

Errors go to standard error with their result code (docs/errors.md).
Exit status: 0 ok, 1 the operation failed, 2 usage or bad input.
)";

constexpr std::size_t maxAuthorBytes = 200;

using Arguments = std::map<std::string, docopt::value>;

CommandError usageError(const std::string &text)
{
    return {.code = ResultCode::UsageError, .text = text};
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Reads the options of apply. Empty if one is not valid; the error is written to the output.
std::optional<ApplyOptions> readApplyOptions(const Arguments &arguments, const CommandOutput &output)
{
    ApplyOptions options;
    options.ruleFile = arguments.at("RULEFILE").asString();
    options.wait = arguments.at("--wait").asBool();

    const docopt::value &author = arguments.at("--author");
    options.author = author ? author.asString() : Poco::Environment::get("USER", "unknown");
    // The author is stored as JSON and must be valid UTF-8. The rule parser checks that for comments.
    std::vector<RuleError> errors;
    const bool isOneLine = options.author.find_first_of("\r\n") == std::string::npos;
    if (options.author.empty() || options.author.size() > maxAuthorBytes || !isOneLine
        || !RuleSet::parse("# " + options.author, 0, errors)) {
        output.writeError(usageError("--author is not valid; expected a name of 1 to " + std::to_string(maxAuthorBytes)
                                     + " bytes in UTF-8 without control characters"));
        return std::nullopt;
    }
    if (const auto &base = arguments.at("--base")) {
        options.baseVersion = parseNumber(base.asString());
        if (!options.baseVersion) {
            output.writeError(usageError("--base is \"" + base.asString() + "\"; expected a version, for example 7"));
            return std::nullopt;
        }
    }
    constexpr std::uint64_t maxWaitSeconds = 3600;
    const std::string &limit = arguments.at("--wait-limit").asString();
    const auto seconds = parseNumber(limit);
    if (!seconds || *seconds == 0 || *seconds > maxWaitSeconds) {
        output.writeError(usageError("--wait-limit is \"" + limit + "\"; expected seconds from 1 to 3600"));
        return std::nullopt;
    }
    options.waitLimit = std::chrono::seconds(*seconds);
    return options;
}

/// Part of the settings that a command requires. Only commands that call instances require keys.
SettingsPurpose purposeOf(const Arguments &arguments)
{
    const bool onlyPlatform = arguments.at("apply").asBool() && !arguments.at("--wait").asBool();
    return arguments.at("check").asBool() || onlyPlatform ? SettingsPurpose::Layout : SettingsPurpose::Operators;
}

int run(const Arguments &arguments, const CommandOutput &output)
{
    if (const auto &logs = arguments.at("--log"); logs && !logs.asStringList().empty())
        return explainFromLogs(arguments.at("REQUESTID").asString(), logs.asStringList(), output);

    std::optional<ApplyOptions> applyOptions;
    if (arguments.at("apply").asBool()) {
        applyOptions = readApplyOptions(arguments, output);
        if (!applyOptions)
            return exitUsage;
    }

    SettingsLoader loader(purposeOf(arguments));
    const auto settings = loader.load(arguments.at("--settings").asString());
    if (!settings) {
        for (const SettingsError &error : loader.errors()) {
            output.writeError(
                {.code = error.code, .text = error.text, .file = error.file, .line = error.line, .key = error.key});
        }
        return exitUsage;
    }

    const RuleCommands ruleCommands(*settings, output);
    const FleetCommands fleetCommands(*settings, output);
    if (arguments.at("check").asBool())
        return ruleCommands.check(arguments.at("RULEFILE").asString());
    if (applyOptions)
        return ruleCommands.apply(*applyOptions);
    if (arguments.at("rules").asBool())
        return ruleCommands.rules();
    if (arguments.at("status").asBool())
        return fleetCommands.status();
    if (arguments.at("read").asBool() || arguments.at("write").asBool()) {
        return fleetCommands.preview(arguments.at("DATABASE").asString(),
                                     arguments.at("read").asBool() ? "read" : "write",
                                     arguments.at("OPERATION").asString());
    }
    if (arguments.at("explain").asBool())
        return fleetCommands.explain(arguments.at("REQUESTID").asString());
    if (arguments.at("trace").asBool())
        return fleetCommands.trace(arguments.at("TRACEID").asString());
    return fleetCommands.drain(arguments.at("INSTANCE").asString());
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    // Writing to a closed connection must fail that call and not end the process.
    std::signal(SIGPIPE, SIG_IGN);

    const std::vector<std::string> words(argumentValues + 1, argumentValues + argumentCount);
    const CommandOutput output(std::ranges::find(words, "--json") != words.end());
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(usage, words, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return exitOk;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "jujubekeel-ctl " JUJUBEKEEL_VERSION "\n";
        return exitOk;
    } catch (const std::exception &) {
        output.writeError(usageError("the command line is not valid; see jujubekeel-ctl --help"));
        return exitUsage;
    }

    try {
        return run(arguments, output);
    } catch (const Poco::Exception &exception) {
        output.writeError({.text = exception.displayText()});
    } catch (const std::exception &exception) {
        output.writeError({.text = exception.what()});
    }
    return exitFailed;
}

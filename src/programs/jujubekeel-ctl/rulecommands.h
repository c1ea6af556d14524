#pragma once

#include "core/time.h"
#include "programs/jujubekeel-ctl/commandoutput.h"
#include "programs/jujubekeel-ctl/fleetclient.h"
#include "rules/ruleset.h"
#include "rules/rulesobjectupdate.h"
#include "settings/proxysettings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Arguments of the command apply.
struct ApplyOptions
{
    std::string ruleFile;
    std::string author;
    std::optional<std::uint64_t> baseVersion; ///< version that must be in force (0: none); empty: any
    bool wait = false;                        ///< until all live instances have the new version
    Duration waitLimit = std::chrono::seconds(30);
};

/// The commands check, apply and rules; each returns the exit status. Owned by run() in main.cpp; one thread.
class RuleCommands final
{
public:
    RuleCommands(const ProxySettings &settings, const CommandOutput &output);

    [[nodiscard]] int check(const std::string &ruleFile) const;
    [[nodiscard]] int apply(const ApplyOptions &options) const;
    [[nodiscard]] int rules() const;

private:
    /// Rule set version of one instance, as reported by itself or by its peers.
    struct InstanceRules
    {
        std::string instance;
        std::string failureDomain;
        std::string state;         ///< "answers", "live, not reached" or "not live"
        std::uint64_t version = 0; ///< 0: none or not known
        bool live = false;
    };

    /// Reads and checks a rule file. Empty if it is not valid; the errors are written to the output.
    [[nodiscard]] std::optional<RuleSet> readRules(const std::string &ruleFile) const;
    [[nodiscard]] std::vector<InstanceRules> instanceRules() const;
    /// Polls the instances until all live ones have at least \a version. Empty at the limit; the error is written.
    [[nodiscard]] std::optional<std::vector<InstanceRules>> waitForVersion(std::uint64_t version, Duration limit) const;
    /// Writes the outcome of apply; waits for the instances if requested. Returns the exit status.
    [[nodiscard]] int reportUpdate(const RulesObjectUpdateResult &result, const ApplyOptions &options,
                                   const std::string &lastError) const;
    /// Waits for the instances and adds the outcome to \a json. Returns the exit status.
    [[nodiscard]] int reportWait(std::uint64_t version, const ApplyOptions &options,
                                 nlohmann::ordered_json &json) const;

    const ProxySettings &settings;
    const CommandOutput &output;
    FleetClient client;
};

} // namespace Jujubekeel

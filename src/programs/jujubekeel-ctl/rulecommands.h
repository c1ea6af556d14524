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

struct ApplyOptions
{
    std::string ruleFile;
    std::string author;
    std::optional<std::uint64_t> baseVersion;
    bool wait = false;
    Duration waitLimit = std::chrono::seconds(30);
};

/// The commands check, apply and rules. Each returns the exit status. Owned by main; one thread.
class RuleCommands final
{
public:
    RuleCommands(const ProxySettings &settings, const CommandOutput &output);

    [[nodiscard]] int check(const std::string &ruleFile) const;
    [[nodiscard]] int apply(const ApplyOptions &options) const;
    [[nodiscard]] int rules() const;

private:
    /// What is known about the rules of one instance.
    struct InstanceRules
    {
        std::string instance;
        std::string failureDomain;
        std::string state; ///< "answers", "live, not reached" or "not live"
        std::uint64_t version = 0;
        bool live = false;
    };

    /// The valid text of a rule file. Empty if there is a fault, which is reported.
    [[nodiscard]] std::optional<RuleSet> readRules(const std::string &ruleFile) const;
    [[nodiscard]] std::vector<InstanceRules> instanceRules() const;
    [[nodiscard]] std::optional<std::vector<InstanceRules>> waitForVersion(std::uint64_t version, Duration limit) const;
    [[nodiscard]] int reportUpdate(const RulesObjectUpdateResult &result, const ApplyOptions &options,
                                   const std::string &lastError) const;
    [[nodiscard]] int reportWait(std::uint64_t version, const ApplyOptions &options,
                                 nlohmann::ordered_json &json) const;

    const ProxySettings &settings;
    const CommandOutput &output;
    FleetClient client;
};

} // namespace Jujubekeel

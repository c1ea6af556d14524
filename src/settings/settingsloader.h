#pragma once

#include "settings/proxysettings.h"
#include "settings/settingserror.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

class SettingsSection;
struct SettingsFiles;

/// What the settings are loaded for, which decides what must be present.
enum class SettingsPurpose : std::uint8_t {
    Daemon,    ///< instance and all keys
    Operators, ///< operators' keys; the other key files need not exist on an operator's machine
    Layout,    ///< no keys, for checks of rule files
};

/// Reads the settings of one daemon or one command from YAML files and finds all their faults in one run. Owned by a
/// program's start; used by one thread, once for each load.
class SettingsLoader final
{
public:
    explicit SettingsLoader(SettingsPurpose purpose) : settingsPurpose(purpose) {}

    /// Reads \a file and the shared file that it names with `fleet`. Empty if there is any fault; see errors().
    [[nodiscard]] std::optional<ProxySettings> load(const std::filesystem::path &file);

    /// All faults of the last load, by file and line.
    [[nodiscard]] std::span<const SettingsError> errors() const { return this->found; }

private:
    void readOwnership(SettingsFiles &files, ProxySettings &settings);
    void readAuthority(SettingsFiles &files, ProxySettings &settings);
    void readAdmission(SettingsFiles &files, ProxySettings &settings);
    void readMembershipAndRules(SettingsFiles &files, ProxySettings &settings);
    void readDrainAndTrace(SettingsFiles &files, ProxySettings &settings);
    void readLimits(SettingsFiles &files, ProxySettings &settings);
    void readPlatform(SettingsFiles &files, ProxySettings &settings);
    void readInstances(SettingsFiles &files, ProxySettings &settings);
    void readDatabases(SettingsFiles &files, ProxySettings &settings);
    void readServer(SettingsSection &section, const BackendSettings &defaults, ProxySettings &settings);
    void readKeys(SettingsFiles &files, ProxySettings &settings);
    void readSelf(SettingsFiles &files, ProxySettings &settings);
    void sortErrors();

    /// The keys of the file that \a key names; empty if there is a fault, which is reported.
    [[nodiscard]] std::vector<std::string> readKeyList(SettingsSection &section, std::string_view key,
                                                       const std::filesystem::path &settingsFile, bool wanted);
    /// A name or address; empty if there is a fault, which is reported.
    [[nodiscard]] std::string readName(SettingsSection &section, std::string_view key);
    [[nodiscard]] std::string readAddress(SettingsSection &section, std::string_view key);

    /// Where a name or address was first used, to report the second use.
    struct FirstUse
    {
        std::string file;
        std::uint32_t line = 0;
    };
    void requireUnique(std::map<std::string, FirstUse> &uses, SettingsSection &section, std::string_view key,
                       const std::string &value);

    SettingsPurpose settingsPurpose;
    SettingsErrors found;
    std::map<std::string, FirstUse> addresses;
    std::map<std::string, FirstUse> instanceNames;
    std::map<std::string, FirstUse> databaseNames;
    std::map<std::string, FirstUse> backendNames;
};

} // namespace Jujubekeel

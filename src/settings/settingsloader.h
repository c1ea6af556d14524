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

/// What the settings are loaded for; determines which keys and files must be present.
enum class SettingsPurpose : std::uint8_t {
    Daemon,    ///< a proxy: needs the instance name and all key files
    Operators, ///< commands that call instances: need the operators' keys only, other key files may be missing
    Layout,    ///< commands that call no instance, such as checks of rule files: need no key files
};

/// Reads the settings of one daemon or one command from YAML files and reports all their errors together. Created by
/// programs when they start; used by one thread.
class SettingsLoader final
{
public:
    explicit SettingsLoader(SettingsPurpose purpose) : settingsPurpose(purpose) {}

    /// Reads \a file and the shared file that it names with `fleet`. Returns an empty value if there is any error; see
    /// errors().
    [[nodiscard]] std::optional<ProxySettings> load(const std::filesystem::path &file);

    /// All errors of the last load, sorted by file and line.
    [[nodiscard]] std::span<const SettingsError> errors() const { return this->foundErrors; }

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

    /// Returns the keys of the key file that the setting \a key names. An error is reported and gives an empty list.
    [[nodiscard]] std::vector<std::string> readKeyList(SettingsSection &section, std::string_view key,
                                                       const std::filesystem::path &settingsFile, bool required);
    /// Returns a name or address. An error is reported and gives an empty text.
    [[nodiscard]] std::string readName(SettingsSection &section, std::string_view key);
    [[nodiscard]] std::string readAddress(SettingsSection &section, std::string_view key);

    /// Place where a name or address is used first, named in the error about a second use.
    struct FirstUse
    {
        std::string file;
        std::uint32_t line = 0;
    };
    void requireUnique(std::map<std::string, FirstUse> &uses, SettingsSection &section, std::string_view key,
                       const std::string &value);

    SettingsPurpose settingsPurpose;
    SettingsErrors foundErrors;
    std::map<std::string, FirstUse> addresses;
    std::map<std::string, FirstUse> instanceNames;
    std::map<std::string, FirstUse> databaseNames;
    std::map<std::string, FirstUse> backendNames;
};

} // namespace Jujubekeel

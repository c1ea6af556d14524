#pragma once

#include "core/time.h"
#include "settings/settingserror.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// One mapping of a settings file. Reads typed values, records which keys are read, and reports all others as unknown.
/// Owned by SettingsLoader during one load; errors are appended to the list given at construction.
class SettingsSection final
{
public:
    /// \a node must be a mapping or null; anything else is reported. \a path is empty for the top level of a file.
    SettingsSection(const YAML::Node &node, std::string file, std::string path, SettingsErrors &errors);
    /// An empty section, for one that the file does not have.
    SettingsSection(std::string file, std::string path, SettingsErrors &errors);

    /// Adds a key that is read from another file to the known keys.
    void addKnownKey(std::string_view key) { this->knownKeys.emplace(key); }
    [[nodiscard]] bool has(std::string_view key) const { return this->entries.contains(key); }
    /// Line of the key, or of the section if the key is absent.
    [[nodiscard]] std::uint32_t lineOf(std::string_view key) const;
    [[nodiscard]] const std::string &file() const { return this->fileName; }

    /// Returns a string value, or an empty value if the key is absent or of another type. Another type is reported,
    /// absence only if \a required.
    [[nodiscard]] std::optional<std::string> text(std::string_view key, bool required);
    /// Sets \a value if the key is present and a whole number from \a lowest to \a highest.
    void read(std::string_view key, std::uint32_t &value, std::uint32_t lowest, std::uint32_t highest);
    /// The same for a time. The key must end in `_ms`; value and bounds are in milliseconds.
    void read(std::string_view key, Duration &value, std::uint32_t lowestMs, std::uint32_t highestMs);
    /// The section under the key, an empty one if absent.
    [[nodiscard]] SettingsSection section(std::string_view key);
    /// The sections of the list under the key. An absent or empty list is reported if \a expected is not empty.
    [[nodiscard]] std::vector<SettingsSection> list(std::string_view key, std::string_view expected);

    /// Reports an error at a key of this section.
    void report(std::string_view key, std::string text);
    /// Reports every key that is not known. Called after all keys are read.
    void reportUnknownKeys();

private:
    struct Entry
    {
        YAML::Node value;
        std::uint32_t line = 0;
    };

    [[nodiscard]] const Entry *find(std::string_view key);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    [[nodiscard]] std::optional<std::uint32_t> number(std::string_view key, std::uint32_t lowest,
                                                      std::uint32_t highest);

    std::string fileName;
    std::string path; ///< empty at the top level of a file
    SettingsErrors &errors;
    std::uint32_t line = 0; ///< 0: not known
    bool readable = true;   ///< false if the node is not a mapping, which is already reported
    std::map<std::string, Entry, std::less<>> entries;
    std::set<std::string, std::less<>> knownKeys;
};

} // namespace Jujubekeel

#include "settings/settingssection.h"

#include <cassert>
#include <charconv>
#include <utility>

namespace Jujubekeel {

namespace {

std::uint32_t lineOfNode(const YAML::Node &node)
{
    const YAML::Mark mark = node.Mark();
    return mark.is_null() ? 0 : static_cast<std::uint32_t>(mark.line + 1);
}

/// Returns what a node holds, for error messages.
std::string describeNode(const YAML::Node &node)
{
    switch (node.Type()) {
    case YAML::NodeType::Scalar:
        return "\"" + node.Scalar() + "\"";
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a mapping";
    default:
        return "nothing";
    }
}

} // namespace

SettingsSection::SettingsSection(std::string file, std::string sectionPath, SettingsErrors &errorList)
    : fileName(std::move(file)), path(std::move(sectionPath)), errors(errorList)
{
}

SettingsSection::SettingsSection(const YAML::Node &node, std::string file, std::string sectionPath,
                                 SettingsErrors &errorList)
    : SettingsSection(std::move(file), std::move(sectionPath), errorList)
{
    this->line = lineOfNode(node);
    // A section whose keys are all commented out is null: all defaults apply.
    if (node.IsNull())
        return;
    if (!node.IsMap()) {
        this->readable = false;
        this->errors.push_back({.file = this->fileName,
                                .line = this->line,
                                .key = this->path,
                                .text = "found " + describeNode(node) + "; expected a mapping of keys to values"});
        return;
    }
    for (const auto &pair : node) {
        if (!pair.first.IsScalar()) {
            this->errors.push_back({.file = this->fileName,
                                    .line = lineOfNode(pair.first),
                                    .key = this->path,
                                    .text = "found " + describeNode(pair.first) + " as a key; expected a string"});
            continue;
        }
        const std::uint32_t keyLine = lineOfNode(pair.first);
        const auto [entry, isNew] = this->entries.try_emplace(pair.first.Scalar(), Entry{pair.second, keyLine});
        if (!isNew) {
            this->errors.push_back({.file = this->fileName,
                                    .line = keyLine,
                                    .key = this->pathOf(entry->first),
                                    .text = "the key is already set in line " + std::to_string(entry->second.line)
                                            + "; expected it once"});
        }
    }
}

std::uint32_t SettingsSection::lineOf(std::string_view key) const
{
    const auto entry = this->entries.find(key);
    return entry == this->entries.end() ? this->line : entry->second.line;
}

std::string SettingsSection::pathOf(std::string_view key) const
{
    if (this->path.empty())
        return std::string(key);
    return key.empty() ? this->path : this->path + "." + std::string(key);
}

void SettingsSection::report(std::string_view key, std::string text)
{
    this->errors.push_back(
        {.file = this->fileName, .line = this->lineOf(key), .key = this->pathOf(key), .text = std::move(text)});
}

const SettingsSection::Entry *SettingsSection::find(std::string_view key)
{
    this->knownKeys.emplace(key);
    const auto entry = this->entries.find(key);
    return entry == this->entries.end() ? nullptr : &entry->second;
}

std::optional<std::string> SettingsSection::text(std::string_view key, bool required)
{
    const Entry *entry = this->find(key);
    if (!entry) {
        if (required && this->readable)
            this->report(key, "the key is missing; expected a string");
        return std::nullopt;
    }
    if (!entry->value.IsScalar() || entry->value.Scalar().empty()) {
        this->report(key, "found " + describeNode(entry->value) + "; expected a string");
        return std::nullopt;
    }
    return entry->value.Scalar();
}

std::optional<std::uint32_t> SettingsSection::number(std::string_view key, std::uint32_t lowest, std::uint32_t highest)
{
    const Entry *entry = this->find(key);
    if (!entry)
        return std::nullopt;

    // Only plain decimal digits are accepted; YAML's octal and hexadecimal forms and quoted numbers are errors.
    const std::string expected =
        "; expected a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    const bool isPlain = entry->value.IsScalar() && entry->value.Tag() != "!";
    const std::string digits = isPlain ? entry->value.Scalar() : std::string{};
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool allDigits = !digits.empty() && digits.find_first_not_of("0123456789") == std::string::npos
                           && (digits.size() == 1 || digits.front() != '0');
    if (!allDigits || end != digits.data() + digits.size()) {
        this->report(key, "found " + describeNode(entry->value) + expected);
        return std::nullopt;
    }
    if (error != std::errc{} || value < lowest || value > highest) {
        this->report(key, digits + " is out of range" + expected);
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(value);
}

void SettingsSection::read(std::string_view key, std::uint32_t &value, std::uint32_t lowest, std::uint32_t highest)
{
    if (const auto found = this->number(key, lowest, highest))
        value = *found;
}

void SettingsSection::read(std::string_view key, Duration &value, std::uint32_t lowestMs, std::uint32_t highestMs)
{
    assert(key.ends_with("_ms"));
    if (const auto found = this->number(key, lowestMs, highestMs))
        value = std::chrono::milliseconds(*found);
}

SettingsSection SettingsSection::section(std::string_view key)
{
    const Entry *entry = this->find(key);
    if (!entry)
        return {this->fileName, this->pathOf(key), this->errors};
    return {entry->value, this->fileName, this->pathOf(key), this->errors};
}

std::vector<SettingsSection> SettingsSection::list(std::string_view key, std::string_view expected)
{
    std::vector<SettingsSection> sections;
    const Entry *entry = this->find(key);
    if (!entry) {
        if (!expected.empty() && this->readable)
            this->report(key, "the key is missing; expected " + std::string(expected));
        return sections;
    }
    if (!entry->value.IsSequence()) {
        this->report(key, "found " + describeNode(entry->value) + "; expected a list");
        return sections;
    }
    if (entry->value.size() == 0 && !expected.empty())
        this->report(key, "the list is empty; expected " + std::string(expected));
    for (std::size_t index = 0; index < entry->value.size(); ++index) {
        sections.emplace_back(entry->value[index], this->fileName,
                              this->pathOf(key) + "[" + std::to_string(index) + "]", this->errors);
    }
    return sections;
}

void SettingsSection::reportUnknownKeys()
{
    std::string expected;
    for (const std::string &key : this->knownKeys)
        expected += (expected.empty() ? "" : ", ") + key;
    for (const auto &[key, entry] : this->entries) {
        if (!this->knownKeys.contains(key))
            this->report(key, "the key is unknown; expected one of " + expected);
    }
}

} // namespace Jujubekeel

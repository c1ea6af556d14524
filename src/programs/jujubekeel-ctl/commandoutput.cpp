#include "programs/jujubekeel-ctl/commandoutput.h"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Jujubekeel {

namespace {

std::string dump(const nlohmann::ordered_json &value)
{
    return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/// Number of code points of a UTF-8 text, used as its width in a column.
std::size_t characterCount(const std::string &text)
{
    return static_cast<std::size_t>(std::ranges::count_if(text, [](unsigned char c) { return (c & 0xC0U) != 0x80U; }));
}

/// Replaces control characters by spaces. Responses of other processes must not send escape sequences to the terminal.
std::string printable(std::string text)
{
    std::ranges::replace_if(
        text, [](unsigned char c) { return c < 0x20 || c == 0x7F; }, ' ');
    return text;
}

} // namespace

void CommandOutput::writeJson(const nlohmann::ordered_json &value) const
{
    std::cout << dump(value) << '\n';
}

void CommandOutput::writeLine(const std::string &line) const
{
    std::cout << printable(line) << '\n';
}

void CommandOutput::writeTable(const std::vector<std::string> &headings,
                               const std::vector<std::vector<std::string>> &rows) const
{
    std::vector<std::size_t> widths;
    widths.reserve(headings.size());
    for (const std::string &heading : headings)
        widths.push_back(characterCount(heading));
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column)
            widths[column] = std::max(widths[column], characterCount(row[column]));
    }
    const auto writeRow = [&](const std::vector<std::string> &row) {
        std::string line;
        for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size())
                line.append(widths[column] - characterCount(row[column]) + 2, ' ');
        }
        this->writeLine(line);
    };
    writeRow(headings);
    for (const auto &row : rows)
        writeRow(row);
}

void CommandOutput::writeError(const CommandError &error) const
{
    const ResultCodeInfo &info = resultCodeInfo(error.code);
    if (this->json) {
        nlohmann::ordered_json object;
        object["code"] = static_cast<std::uint16_t>(error.code);
        object["name"] = info.name;
        object["text"] = error.text;
        if (!error.file.empty()) {
            object["file"] = error.file;
            object["line"] = error.line;
        }
        if (!error.key.empty())
            object["key"] = error.key;
        std::cerr << dump(object) << '\n';
        return;
    }
    std::string line = error.file.empty() ? "jujubekeel-ctl" : error.file;
    line += ":";
    if (error.line != 0)
        line += std::to_string(error.line) + ":";
    line += " " + std::to_string(static_cast<std::uint16_t>(error.code)) + " ";
    line += info.name;
    line += ": ";
    if (!error.key.empty())
        line += error.key + ": ";
    std::cerr << printable(line + error.text) << '\n';
}

void CommandOutput::writeWarning(const std::string &text) const
{
    if (this->json)
        std::cerr << dump({{"warning", text}}) << '\n';
    else
        std::cerr << printable("jujubekeel-ctl: warning: " + text) << '\n';
}

std::string cellText(const nlohmann::ordered_json &object, const char *field)
{
    if (!object.is_object() || !object.contains(field) || object.at(field).is_null())
        return "-";
    const nlohmann::ordered_json &value = object.at(field);
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    const std::string text = value.is_string() ? value.get<std::string>() : dump(value);
    return text.empty() ? "-" : text;
}

std::string durationText(double milliseconds)
{
    std::ostringstream text;
    text << std::fixed;
    if (milliseconds < 1000.0)
        text << std::setprecision(1) << milliseconds << " ms";
    else
        text << std::setprecision(1) << milliseconds / 1000.0 << " s";
    return text.str();
}

} // namespace Jujubekeel

#pragma once

#include "core/resultcode.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Jujubekeel {

constexpr int exitOk = 0;
constexpr int exitFailed = 1; ///< the operation failed
constexpr int exitUsage = 2;  ///< usage or bad input

/// An error of a command, written as a line of text or as a JSON object.
struct CommandError
{
    ResultCode code = ResultCode::InternalError;
    std::string text;
    std::string file;       ///< empty: the error concerns no file
    std::uint32_t line = 0; ///< 0: the whole file
    std::string key;        ///< key of the settings or of the platform object; empty: none
};

/// Writes results to standard output and errors to standard error, as text or as JSON. Owned by main; one thread.
class CommandOutput final
{
public:
    explicit CommandOutput(bool useJson) : json(useJson) {}

    [[nodiscard]] bool isJson() const { return this->json; }

    void writeJson(const nlohmann::ordered_json &value) const;
    void writeLine(const std::string &line) const;
    /// Writes rows below their headings, in columns as wide as their longest cell.
    void writeTable(const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows) const;

    void writeError(const CommandError &error) const;
    /// Writes a notice that does not affect the exit status.
    void writeWarning(const std::string &text) const;

private:
    bool json = false;
};

/// Text of a field of a JSON object for a table cell; "-" for a field that is missing, null or empty.
[[nodiscard]] std::string cellText(const nlohmann::ordered_json &object, const char *field);

/// Milliseconds with a unit that suits their size, for example 1.3 ms or 2.5 s.
[[nodiscard]] std::string durationText(double milliseconds);

} // namespace Jujubekeel

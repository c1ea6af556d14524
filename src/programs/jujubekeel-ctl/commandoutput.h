#pragma once

#include "core/resultcode.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Jujubekeel {

constexpr int exitOk = 0;
constexpr int exitFailed = 1; ///< the operation failed
constexpr int exitUsage = 2;  ///< usage or bad input

/// One error line for people and one object for programs.
struct CommandError
{
    ResultCode code = ResultCode::InternalError;
    std::string text;
    std::string file;       ///< empty: the error concerns no file
    std::uint32_t line = 0; ///< 0: the whole file
    std::string key;
};

/// Writes results to standard output and errors to standard error, as JSON or for people. Owned by main; one thread.
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
    /// A notice that does not decide the result.
    void writeWarning(const std::string &text) const;

private:
    bool json = false;
};

/// Text of a JSON scalar for a table; "-" for null and for a missing field.
[[nodiscard]] std::string cellText(const nlohmann::ordered_json &object, const char *field);

/// Milliseconds with a unit that suits their size, for example 1.3 ms or 2.5 s.
[[nodiscard]] std::string durationText(double milliseconds);

} // namespace Jujubekeel

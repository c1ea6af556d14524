#pragma once

#include "core/failurereason.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Options of a program, read by docopt. Owned by main.
class CommandLine final
{
public:
    /// Prints help or version and ends the process with 0 if they are asked for; ends it with 2 on a usage error.
    CommandLine(const std::string &usage, const std::string &version, int argumentCount, char **arguments);

    /// True if the command or switch was given.
    [[nodiscard]] bool isGiven(const std::string &name) const;
    /// Empty if the option was not given and has no default.
    [[nodiscard]] std::string text(const std::string &name) const;
    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const;
    /// Ends the process with 2 if the value is not a whole number from \a lowest to \a highest.
    [[nodiscard]] std::uint32_t number(const std::string &name, std::uint32_t lowest, std::uint32_t highest) const;
    /// An option in milliseconds, at most one hour.
    [[nodiscard]] Duration milliseconds(const std::string &name) const;

    /// Prints an error and ends the process with 2.
    [[noreturn]] static void fail(const std::string &text);

private:
    std::map<std::string, std::vector<std::string>> values;
};

/// Splits at commas; empty parts are left out.
[[nodiscard]] std::vector<std::string> splitList(const std::string &text);

} // namespace Jujubekeel

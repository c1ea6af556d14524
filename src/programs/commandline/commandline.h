#pragma once

#include "core/failurereason.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Command line of a program, parsed with docopt. Owned by main; one thread.
class CommandLine final
{
public:
    static constexpr int usageError = 2; ///< usual exit status after a wrong command line

    /// Prints help or version and exits with status 0 if one is requested; exits with \a errorExitStatus on a usage error.
    CommandLine(const std::string &usage, const std::string &version, int argumentCount, char **arguments,
                int errorExitStatus = usageError);

    /// True if the command or switch was given.
    [[nodiscard]] bool isGiven(const std::string &name) const;
    /// First value of an option or argument. Empty if it was not given and has no default.
    [[nodiscard]] std::string text(const std::string &name) const;
    /// All values of a repeatable option or argument.
    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const;
    /// Exits with the status of usage errors if the value is not a whole number from \a lowest to \a highest.
    [[nodiscard]] std::uint32_t number(const std::string &name, std::uint32_t lowest, std::uint32_t highest) const;
    /// Value of an option in milliseconds; exits with the status of usage errors if it is more than one hour.
    [[nodiscard]] Duration milliseconds(const std::string &name) const;

    /// Prints an error and exits.
    [[noreturn]] static void fail(const std::string &text, int exitStatus = usageError);

private:
    int errorStatus;
    std::map<std::string, std::vector<std::string>> values;
};

/// Splits at commas; empty parts are left out.
[[nodiscard]] std::vector<std::string> splitList(const std::string &text);

} // namespace Jujubekeel

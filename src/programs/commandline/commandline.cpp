#include "programs/commandline/commandline.h"

#include <docopt/docopt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace Jujubekeel {

CommandLine::CommandLine(const std::string &usage, const std::string &version, int argumentCount, char **arguments,
                         int errorExitStatus)
    : errorStatus(errorExitStatus)
{
    try {
        const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
        for (const auto &[name, value] : docopt::docopt_parse(usage, words, true, true)) {
            if (value.isString())
                this->values[name] = {value.asString()};
            else if (value.isStringList())
                this->values[name] = value.asStringList();
            else if (value.isBool() && value.asBool())
                this->values[name] = {"true"};
        }
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        std::exit(0);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << version << '\n';
        std::exit(0);
    } catch (const docopt::DocoptArgumentError &error) {
        fail(error.what(), this->errorStatus);
    }
}

bool CommandLine::isGiven(const std::string &name) const
{
    return this->values.contains(name);
}

std::string CommandLine::text(const std::string &name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() || found->second.empty() ? std::string{} : found->second.front();
}

std::vector<std::string> CommandLine::texts(const std::string &name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? std::vector<std::string>{} : found->second;
}

std::uint32_t CommandLine::number(const std::string &name, std::uint32_t lowest, std::uint32_t highest) const
{
    const std::string value = this->text(name);
    std::uint32_t result = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc{} || end != value.data() + value.size() || result < lowest || result > highest) {
        fail(name + " is \"" + value + "\"; expected a whole number from " + std::to_string(lowest) + " to "
                 + std::to_string(highest),
             this->errorStatus);
    }
    return result;
}

Duration CommandLine::milliseconds(const std::string &name) const
{
    constexpr std::uint32_t maxMilliseconds = 3'600'000;
    return std::chrono::milliseconds(this->number(name, 0, maxMilliseconds));
}

void CommandLine::fail(const std::string &text, int exitStatus)
{
    std::cerr << text << "\nsee --help\n";
    std::exit(exitStatus);
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        if (end > start)
            parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

} // namespace Jujubekeel

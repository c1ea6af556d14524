#include "configcheck/configurationcheck.h"
#include "configurationlocator.h"
#include "configurationnames.h"
#include "configurationreader.h"
#include "programs/commandline/commandline.h"
#include "programs/jujubekeel-configcheck/reportwriter.h"

#include <exception>
#include <fstream>
#include <iostream>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace {

using namespace Jujubekeel;

constexpr int exitOk = 0;
constexpr int exitWarnings = 1;
constexpr int exitErrors = 2;
constexpr int exitUnusable = 3; ///< a file cannot be read, or the command line is wrong

/// A response of the store has at most 4 MiB (src/net/httpclient.cpp), so that no larger configuration can come into
/// force. Formatted files may be larger than what is stored.
constexpr std::size_t maxFileBytes = std::size_t{16} * 1024 * 1024;

constexpr const char *usage = R"(Checks a configuration before it is sent to the platform.

Usage:
  jujubekeel-configcheck FILE [--in-force=FILE] [--servers=N] [--slots=N] [--connections=N] [--members=N]
                         [--statement-ms=MS] [--format=FORMAT]
  jujubekeel-configcheck (--help | --version)

FILE contains the configuration as the platform stores it, the value of config/main.

Options:
  --in-force=FILE    the version in force; shows the differences from it
  --servers=N        backend servers of all services
  --slots=N          statements that one server runs concurrently
  --connections=N    connections that one server accepts
  --members=N        instances that hold connections to servers
  --statement-ms=MS  mean duration of a statement on a server, in ms; rates are compared with it [default: 1]
  --format=FORMAT    text or json [default: text]
  -h --help          show this text
  --version          show the version

Exit status: 0 nothing above a note, 1 warnings, 2 errors, 3 a file cannot be read or the command line is wrong.
)";

std::optional<std::uint32_t> optionalNumber(const CommandLine &line, const std::string &name)
{
    return line.isGiven(name) ? std::optional(line.number(name, 1, std::numeric_limits<std::uint32_t>::max()))
                              : std::nullopt;
}

CheckOptions readOptions(const CommandLine &line)
{
    constexpr std::uint32_t maxStatementMs = 3'600'000;
    return {.servers = optionalNumber(line, "--servers"),
            .slots = optionalNumber(line, "--slots"),
            .connections = optionalNumber(line, "--connections"),
            .members = optionalNumber(line, "--members"),
            .statementTime = std::chrono::milliseconds(line.number("--statement-ms", 1, maxStatementMs))};
}

[[noreturn]] void failOnFile(const std::string &name, const std::string &reason)
{
    std::cerr << "jujubekeel-configcheck: " << name << ": " << reason << '\n';
    std::exit(exitUnusable);
}

/// Exits if the file cannot be read.
std::string readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        failOnFile(name, "the file cannot be opened");
    std::string text;
    std::string block(std::size_t{64} * 1024, '\0');
    while (file) {
        file.read(block.data(), static_cast<std::streamsize>(block.size()));
        text.append(block, 0, static_cast<std::size_t>(file.gcount()));
        if (text.size() > maxFileBytes)
            failOnFile(name, "the file has more than " + std::to_string(maxFileBytes) + " bytes");
    }
    if (file.bad())
        failOnFile(name, "the file cannot be read");
    return text;
}

int run(const CommandLine &line)
{
    const bool isJson = line.text("--format") == "json";
    if (!isJson && line.text("--format") != "text")
        CommandLine::fail("--format is not text or json", exitUnusable);
    const CheckOptions options = readOptions(line);

    NameMask mask;
    const ConfigurationReaderOptions readerOptions{.keyFound = [&mask](std::string_view key) { mask.addKey(key); }};
    const std::string file = line.text("FILE");
    const std::string text = readFile(file);
    const ConfigurationReading reading = readConfiguration(text, readerOptions);

    std::shared_ptr<const RouteTable> inForce;
    if (const std::string inForceFile = line.text("--in-force"); !inForceFile.empty()) {
        const ConfigurationReading readingInForce = readConfiguration(readFile(inForceFile), readerOptions);
        inForce = toRouteTable(readingInForce);
        if (!inForce)
            failOnFile(inForceFile, "cannot be in force, since instances reject it; check it by itself");
    }

    const ConfigurationReport report = ConfigurationCheck(options, mask).check(reading, inForce.get());
    const ConfigurationLocator locator(text);
    const ReportWriter writer(file, locator);
    std::cout << (isJson ? writer.toJson(report) : writer.toText(report)) << std::flush;
    if (!std::cout)
        failOnFile("standard output", "the report cannot be written");
    if (report.count(FindingSeverity::Error) > 0)
        return exitErrors;
    return report.count(FindingSeverity::Warning) > 0 ? exitWarnings : exitOk;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        return run(
            CommandLine(usage, "jujubekeel-configcheck " JUJUBEKEEL_VERSION, argumentCount, arguments, exitUnusable));
    } catch (const std::exception &error) {
        std::cerr << "jujubekeel-configcheck: " << error.what() << '\n';
        return exitUnusable;
    }
}

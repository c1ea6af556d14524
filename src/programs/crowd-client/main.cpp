#include "net/streamconnection.h"
#include "programs/commandline/commandline.h"
#include "programs/crowd-client/crowd.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

using namespace Jujubekeel;

constexpr const char *usage =
    R"(Clients that exceed the limits of jujubekeel-entry, for tests: a number of equal connections to a loopback address.

Usage:
  crowd-client --address=ADDRESS [options]
  crowd-client (--help | --version)

Options:
  --address=ADDRESS  loopback IP address and port
  --connections=N    connections, at most 400 [default: 1]
  --start=TEXT       sent first, followed by a line end; empty: nothing [default: ]
  --value-bytes=N    then the statement `SET v` with a value of this size; 0: none [default: 0]
  --message=TEXT     then messages that start with this text; empty: none [default: ]
  --fill-bytes=N     and continue with this many bytes [default: 0]
  --messages=N       number of these messages [default: 1]
  --unterminated     the messages have no line ends
  --piece-bytes=N    bytes of one write; 0: everything at once [default: 0]
  --interval-ms=N    pause between two writes, and between two reads [default: 10]
  --read-bytes=N     bytes read in each interval; 0: everything at once [default: 0]
  --no-reading       nothing that arrives is read
  --limit-ms=N       the program ends after this time, at most 60000 [default: 5000]
  -h --help          show this text
  --version          show the version

Prints one JSON line with totals at the end.
)";

constexpr std::uint32_t maxConnections = 400;
constexpr std::uint32_t maxBytes = 8 * 1024 * 1024;
constexpr std::uint32_t maxMessages = 10'000;
constexpr std::uint32_t maxLimitMs = 60'000;
constexpr std::size_t maxPayload = std::size_t{64} * 1024 * 1024;

std::string payloadOf(const CommandLine &options)
{
    std::string payload;
    if (const std::string start = options.text("--start"); !start.empty())
        payload += start + "\r\n";
    if (const std::uint32_t bytes = options.number("--value-bytes", 0, maxBytes); bytes > 0)
        payload += "QUERY s SET v " + std::string(bytes, 'x') + "\r\n";
    const std::string message = options.text("--message")
                                + std::string(options.number("--fill-bytes", 0, maxBytes), 'x')
                                + (options.isGiven("--unterminated") ? "" : "\r\n");
    const std::uint32_t count = options.text("--message").empty() ? 0 : options.number("--messages", 1, maxMessages);
    if (payload.size() + message.size() * count > maxPayload)
        CommandLine::fail("each connection may send 64 MiB at most");
    for (std::uint32_t index = 0; index < count; ++index)
        payload += message;
    return payload;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const CommandLine options(usage, "crowd-client 0.1.0", argumentCount, arguments);
    const auto address = parseEndpoint(options.text("--address"));
    if (!address || !address->address().is_loopback())
        CommandLine::fail("--address is not a loopback address of the form ip:port");
    std::signal(SIGPIPE, SIG_IGN);
    try {
        Crowd crowd({.address = *address,
                     .connections = options.number("--connections", 1, maxConnections),
                     .payload = payloadOf(options),
                     .pieceBytes = options.number("--piece-bytes", 0, maxBytes),
                     .interval = options.milliseconds("--interval-ms"),
                     .reads = !options.isGiven("--no-reading"),
                     .readBytes = options.number("--read-bytes", 0, maxBytes),
                     .limit = std::chrono::milliseconds(options.number("--limit-ms", 1, maxLimitMs))});
        const CrowdTotals totals = crowd.run();
        std::cout << R"({"connected": )" << totals.connected << R"(, "ended": )" << totals.ended
                  << R"(, "sent_bytes": )" << totals.sentBytes << R"(, "received_bytes": )" << totals.receivedBytes
                  << "}\n";
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "crowd-client: " << error.what() << '\n';
        return 1;
    }
}

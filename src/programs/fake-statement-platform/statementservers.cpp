#include "programs/fake-statement-platform/statementservers.h"

#include "net/boottime.h"
#include "net/streamconnection.h"
#include "programs/fake-shared/jsonlog.h"
#include "programs/fake-statement-platform/servercodec.h"

#include <utility>

namespace Jujubekeel {

namespace {

/// Interval at which due events of the group are run: the resolution of execution and replication times.
constexpr Duration tickInterval = std::chrono::milliseconds(1);

} // namespace

StatementServers::StatementServers(StatementGroupOptions options, const std::vector<std::string> &addresses)
    : loop(1), timer(this->loop), events(bootTime()),
      statementGroup(std::move(options), this->events,
                     StatementGroup::Callbacks{
                         .deliver = [this](std::uint64_t connection,
                                           const ServerMessage &message) { this->deliver(connection, message); },
                         .dropped = [this](std::uint64_t connection) { this->abortConnection(connection); }})
{
    for (const std::string &address : addresses) {
        const asio::ip::tcp::endpoint endpoint = toEndpoint(address);
        asio::ip::tcp::acceptor &acceptor = this->acceptors.emplace_back(this->loop, endpoint);
        this->boundAddresses.push_back(endpoint.address().to_string() + ":"
                                       + std::to_string(acceptor.local_endpoint().port()));
    }
}

void StatementServers::run()
{
    for (std::size_t server = 0; server < this->acceptors.size(); ++server)
        this->accept(server);
    this->tick();
    this->loop.run();
}

void StatementServers::tick()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->events.runUntil(bootTime());
    }
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const asio::error_code &) { this->tick(); });
}

void StatementServers::accept(std::size_t server)
{
    this->acceptors[server].async_accept([this, server](const asio::error_code &failure, asio::ip::tcp::socket socket) {
        if (failure)
            return;
        const std::scoped_lock lock(this->mutex);
        const std::uint64_t connection = this->nextConnection++;
        // A stopped server keeps its listener open and closes each new connection immediately.
        if (this->statementGroup.connect(server, connection)) {
            auto stream = std::make_shared<StreamConnection>(std::move(socket), StreamConnectionOptions{});
            this->clients[connection].stream = stream;
            stream->start({.data = [this, connection](std::string_view bytes) { this->read(connection, bytes); },
                           .closed =
                               [this, connection](StreamCloseReason) {
                                   const std::scoped_lock closeLock(this->mutex);
                                   this->statementGroup.disconnect(connection);
                                   this->clients.erase(connection);
                               }});
        }
        this->accept(server);
    });
}

void StatementServers::read(std::uint64_t connection, std::string_view bytes)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->clients.find(connection);
    if (found == this->clients.end())
        return;
    found->second.lines.append(bytes);
    std::vector<ServerCommand> commands;
    while (const auto line = found->second.lines.next()) {
        if (auto command = decodeCommand(*line))
            commands.push_back(std::move(*command));
    }
    this->events.runUntil(bootTime());
    for (const ServerCommand &command : commands) {
        // Tests read from these lines in whose name connections were opened.
        if (command.kind == CommandKind::Open)
            writeLogLine("info", "connection-opened", {{"server", command.argument}, {"name", command.organisation}});
        this->statementGroup.receive(connection, command);
    }
}

void StatementServers::deliver(std::uint64_t connection, const ServerMessage &message)
{
    const auto found = this->clients.find(connection);
    if (found == this->clients.end())
        return;
    found->second.stream->send(encodeServerMessage(message));
    found->second.stream->flush();
}

void StatementServers::abortConnection(std::uint64_t connection)
{
    const auto found = this->clients.find(connection);
    if (found == this->clients.end())
        return;
    found->second.stream->abort();
    this->clients.erase(found);
}

} // namespace Jujubekeel

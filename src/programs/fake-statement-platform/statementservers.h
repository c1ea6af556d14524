#pragma once

#include "linecodec.h"
#include "virtualfleet/eventqueue.h"
#include "virtualpool/statementgroup.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Jujubekeel {

class StreamConnection;

/// Runs a StatementGroup in real time, with one TCP listener for each backend server. One thread calls run(); other
/// threads must hold groupMutex() while they use group() or eventQueue(). Owned by main.
class StatementServers final
{
public:
    /// \a addresses: "ip:port" of each server; with port 0 the kernel picks one.
    StatementServers(StatementGroupOptions options, const std::vector<std::string> &addresses);

    /// Runs the event loop until stop() is called. stop() may be called from any thread.
    void run();
    void stop() { this->loop.stop(); }

    [[nodiscard]] std::mutex &groupMutex() { return this->mutex; }
    [[nodiscard]] StatementGroup &group() { return this->statementGroup; }
    [[nodiscard]] EventQueue &eventQueue() { return this->events; }
    /// "ip:port" of a server, with the bound port.
    [[nodiscard]] const std::string &address(std::size_t server) const { return this->boundAddresses.at(server); }

private:
    struct Client
    {
        std::shared_ptr<StreamConnection> stream;
        LineSplitter lines;
    };

    void accept(std::size_t server);
    /// Passes the commands that are complete in the received bytes to the group.
    void read(std::uint64_t connection, std::string_view bytes);
    void deliver(std::uint64_t connection, const ServerMessage &message);
    void abortConnection(std::uint64_t connection);
    /// Runs the due events of the group and schedules the next tick.
    void tick();

    asio::io_context loop;
    asio::steady_timer timer;
    std::mutex mutex;
    EventQueue events;
    StatementGroup statementGroup;
    std::vector<asio::ip::tcp::acceptor> acceptors;
    std::vector<std::string> boundAddresses;
    std::map<std::uint64_t, Client> clients;
    std::uint64_t nextConnection = 1;
};

} // namespace Jujubekeel

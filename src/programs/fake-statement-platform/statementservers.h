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

/// Runs a StatementGroup in real time behind TCP listeners, one for each server. One thread runs the loop; other threads
/// hold the mutex while they use group(). Owned by main.
class StatementServers final
{
public:
    /// \a addresses: "ip:port" of each server; port 0 lets the kernel choose.
    StatementServers(StatementGroupOptions options, const std::vector<std::string> &addresses);

    /// Serves until stop().
    void run();
    void stop() { this->loop.stop(); }

    [[nodiscard]] std::mutex &lock() { return this->mutex; }
    [[nodiscard]] StatementGroup &group() { return this->servers; }
    [[nodiscard]] EventQueue &queue() { return this->events; }
    [[nodiscard]] const std::string &address(std::size_t server) const { return this->boundAddresses.at(server); }

private:
    struct Client
    {
        std::shared_ptr<StreamConnection> stream;
        LineSplitter lines;
    };

    void accept(std::size_t server);
    void read(std::uint64_t connection, std::string_view bytes);
    void deliver(std::uint64_t connection, const ServerMessage &message);
    void drop(std::uint64_t connection);
    void tick();

    asio::io_context loop;
    asio::steady_timer timer;
    std::mutex mutex;
    EventQueue events;
    StatementGroup servers;
    std::vector<asio::ip::tcp::acceptor> acceptors;
    std::vector<std::string> boundAddresses;
    std::map<std::uint64_t, Client> clients;
    std::uint64_t nextConnection = 1;
};

} // namespace Jujubekeel

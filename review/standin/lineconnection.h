#pragma once

#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Review {

/// One TCP connection that carries lines, each ended by CR LF. Pending operations keep it alive.
class LineConnection final : public std::enable_shared_from_this<LineConnection>
{
public:
    struct Callbacks
    {
        std::function<void(std::string_view line)> line;
        std::function<void()> closed; ///< by the peer; not after close()
    };

    explicit LineConnection(asio::ip::tcp::socket tcpSocket) : socket(std::move(tcpSocket)) {}

    void start(Callbacks lineCallbacks);
    void connect(const asio::ip::tcp::endpoint &address, std::function<void()> connected, Callbacks lineCallbacks);
    /// Sends a line; the line end is added.
    void send(std::string_view line);
    void close();
    /// Nothing arrives any more, in either direction, and the peer is not told.
    void cutOff() { this->isCutOff = true; }

private:
    void read();
    void write();
    void end();

    asio::ip::tcp::socket socket;
    Callbacks callbacks;
    std::array<char, 16384> input{};
    std::string received;
    std::string pending;
    std::string writing;
    bool isClosed = false;
    bool isCutOff = false;
};

} // namespace Review

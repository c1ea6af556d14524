#pragma once

#include "core/time.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Reads "ip:port"; throws std::exception if it is none.
[[nodiscard]] asio::ip::tcp::endpoint toEndpoint(const std::string &address);

enum class StreamEnd : std::uint8_t {
    Refused, ///< nothing listens at the address
    Broken,  ///< reset, or closed by the other side
    TooSlow, ///< the other side does not read what is sent
};

struct StreamConnectionOptions
{
    std::size_t sendLimit = std::size_t{4} * 1024 * 1024; ///< bytes that wait for the other side
    int userTimeoutMs = 1500;                             ///< data without acknowledgement for this long ends it
    int keepAliveIdleS = 2;                               ///< silence after which the other side is probed
    Duration closeWait = std::chrono::milliseconds(300);  ///< wait for the other side's end after close()
};

/// One TCP connection on the event loop: reads in large pieces, gathers what is written until flush(). Kept alive by its
/// pending operations; the owner holds a shared pointer as long as it wants to send. Loop thread only.
class StreamConnection final : public std::enable_shared_from_this<StreamConnection>
{
public:
    struct Callbacks
    {
        std::function<void(std::string_view bytes)> data;
        std::function<void()> connected;          ///< after connect(); may be empty
        std::function<void(StreamEnd end)> ended; ///< at most once; never after close() or abort()
    };

    StreamConnection(asio::ip::tcp::socket tcpSocket, StreamConnectionOptions connectionOptions);
    StreamConnection(const StreamConnection &) = delete;
    StreamConnection &operator=(const StreamConnection &) = delete;

    /// Reads from an accepted connection.
    void start(Callbacks streamCallbacks);
    /// Connects first; what is sent meanwhile waits.
    void connect(const asio::ip::tcp::endpoint &address, Callbacks streamCallbacks);
    void send(std::string_view bytes);
    /// Starts writing what send() has gathered.
    void flush();
    /// Sends what is gathered, then closes. What still arrives is dropped, so that the other side sees no reset.
    void close();
    /// Closes at once.
    void abort();

private:
    void configure();
    void read();
    void write();
    void finishClosing();
    void end(StreamEnd reason);

    asio::ip::tcp::socket socket;
    asio::steady_timer closeTimer;
    StreamConnectionOptions options;
    Callbacks callbacks;
    std::array<char, 16384> input{};
    std::string gathered; ///< not yet given to the socket
    std::string writing;
    bool connected = false;
    bool isWriting = false;
    bool closing = false;
    bool over = false;
};

} // namespace Jujubekeel

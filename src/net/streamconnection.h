#pragma once

#include "core/time.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Parses "ip:port"; empty if it is malformed.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);
/// As parseEndpoint(), for addresses of the settings; throws std::runtime_error if it is malformed.
[[nodiscard]] asio::ip::tcp::endpoint toEndpoint(const std::string &address);

enum class StreamCloseReason : std::uint8_t {
    Refused,           ///< the connection could not be established
    Broken,            ///< reset, or closed by the peer
    SendLimitExceeded, ///< more than `sendLimit` bytes are queued because the peer does not read fast enough
};

struct StreamConnectionOptions
{
    std::size_t sendLimit = std::size_t{4} * 1024 * 1024; ///< bytes queued for sending
    int userTimeoutMs = 1500;                             ///< time limit for the acknowledgement of sent data
    int keepAliveIdleS = 2;                               ///< idle time before keep-alive probes are sent
    Duration closeWait = std::chrono::milliseconds(300);  ///< time after close() in which the peer may close its side
    Duration closeLimit = std::chrono::seconds(5);        ///< time after close() for the output that is still queued
    int kernelBufferBytes = 0; ///< of each socket buffer, which else grow to several MiB; 0: the system's default
};

/// One TCP connection on an asio event loop. Reads as much as is available and buffers output until flush(). Pending
/// operations keep the object alive; its owner holds a shared pointer as long as it sends. Event loop thread only.
class StreamConnection final : public std::enable_shared_from_this<StreamConnection>
{
public:
    struct Callbacks
    {
        std::function<void(std::string_view bytes)> data;
        std::function<void()> connected;                      ///< called after connect() succeeded; may be empty
        std::function<void(StreamCloseReason reason)> closed; ///< called at most once, never after close() or abort()
        std::function<void()> written;                        ///< output was taken by the socket; may be empty
    };

    StreamConnection(asio::ip::tcp::socket tcpSocket, StreamConnectionOptions connectionOptions);
    StreamConnection(const StreamConnection &) = delete;
    StreamConnection &operator=(const StreamConnection &) = delete;

    /// Starts reading from an accepted connection.
    void start(Callbacks streamCallbacks);
    /// Connects, then starts reading; data that is sent before is queued.
    void connect(const asio::ip::tcp::endpoint &address, Callbacks streamCallbacks);
    /// Adds to the send buffer, which flush() writes; ignored after close() or abort().
    void send(std::string_view bytes);
    /// Starts writing the send buffer; closes the connection if the buffer exceeds `sendLimit`.
    void flush();
    /// Sends the buffered data, then closes. Data that still arrives is read and discarded, because closing with unread
    /// input would reset the connection.
    void close();
    /// Closes at once and discards buffered data.
    void abort();

    /// While reading is paused, the peer is held back by TCP, and its disconnect is not noticed.
    void pauseReading() { this->isPaused = !this->closing; }
    void resumeReading();
    [[nodiscard]] bool isReadingPaused() const { return this->isPaused; }
    [[nodiscard]] bool isEnded() const { return this->isClosed; }
    /// Bytes of output that the socket has not taken.
    [[nodiscard]] std::size_t unsentBytes() const { return this->sendBuffer.size() + this->writeBuffer.size(); }
    /// When the output that is being written was passed to the socket; empty: none is.
    [[nodiscard]] std::optional<TimePoint> writingSince() const { return this->writeStartedAt; }

private:
    void configure();
    void read();
    void readAvailable();
    void write();
    void finishClosing();
    void end(StreamCloseReason reason);

    asio::ip::tcp::socket socket;
    asio::steady_timer closeTimer;
    StreamConnectionOptions options;
    Callbacks callbacks;
    std::string sendBuffer;  ///< not yet passed to the socket
    std::string writeBuffer; ///< being written to the socket
    bool connected = false;
    bool isWriting = false;
    bool isReading = false; ///< waits for input
    bool isPaused = false;
    std::optional<TimePoint> writeStartedAt;
    bool closing = false;
    bool isClosed = false;
};

} // namespace Jujubekeel

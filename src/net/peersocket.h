#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// This header is included by peersocket.cpp, which is compiled as C++17.
namespace Jujubekeel {

struct PeerSocketPeer
{
    std::string name;
    std::string address; ///< "ip:port"
};

struct PeerSocketOptions
{
    std::string name;          ///< name of this instance
    std::string listenAddress; ///< "ip:port"; port 0 lets the kernel choose
    std::vector<PeerSocketPeer> peers;
    std::vector<std::string> keys; ///< one or two; the first signs, all verify; must not be empty
    std::size_t messageLimit = std::size_t{4} * 1024 * 1024; ///< bytes; a longer message closes its connection
    std::size_t queueLimit = std::size_t{8} * 1024 * 1024;   ///< bytes that wait for one peer
    std::size_t linkLimit = 10000;                           ///< incoming connections; more are closed
    long connectTimeoutMs = 500;                             ///< also for the whole handshake
    long retryMinMs = 50;                                    ///< first pause after a failed connection; doubles
    long retryMaxMs = 2000;
    long pingIntervalMs = 1000;
    long pingTimeoutMs = 3000; ///< an outgoing connection without a pong for this long is opened anew
};

enum class PeerSend : std::uint8_t {
    Queued,
    NotConnected, ///< there is no authenticated connection
    QueueFull,
};

/// State of the link to one peer.
struct PeerLinkState
{
    std::string name;
    bool connected = false; ///< the outgoing connection is authenticated
    std::size_t queuedBytes = 0;
    std::uint64_t dropped = 0;  ///< messages given up because the queue was full
    std::uint64_t connects = 0; ///< times that the outgoing connection was authenticated
};

/// WebSocket links between proxies: one connection for each direction. Each side proves that it holds a shared key by an
/// HMAC-SHA256 over both names and two nonces, before any message passes. Nothing is kept for a peer that is not connected: a
/// request delivered late would run after its entry proxy has given it up. One thread serves all links. Owned by
/// PeerLinks.
class PeerSocket final
{
public:
    struct Callbacks
    {
        /// A binary message of an authenticated peer. Called from the link thread.
        std::function<void(const std::string &peer, std::string_view bytes)> message;
        /// Something worth a log line, at most a few per second and peer. Called from the link thread.
        std::function<void(const char *event, const std::string &peer, const std::string &text)> event;
    };

    /// Binds the address at once; throws std::runtime_error if that fails.
    PeerSocket(PeerSocketOptions options, Callbacks callbacks);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    void start();
    /// Sends what is queued for at most \a flushMs, then closes all connections and ends the thread.
    void stop(long flushMs);

    /// Queues a message; any thread, does not block. When the queue is full, the oldest heartbeats give way first, then the
    /// message itself is refused.
    PeerSend send(const std::string &peer, std::string bytes, bool isHeartbeat);

    [[nodiscard]] std::string address() const; ///< as bound, with the real port
    [[nodiscard]] std::vector<PeerLinkState> states() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel

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
    std::string listenAddress; ///< "ip:port"; port 0 selects a free port
    std::vector<PeerSocketPeer> peers;
    std::vector<std::string> keys; ///< shared keys, at least one: the first creates proofs, all of them verify proofs
    std::size_t messageLimit = std::size_t{4} * 1024 * 1024; ///< bytes; a longer message closes its connection
    std::size_t queueLimit = std::size_t{8} * 1024 * 1024;   ///< bytes queued for one peer
    std::size_t linkLimit = 10000;                           ///< incoming connections; further ones are closed
    long connectTimeoutMs = 500; ///< time limit for connecting and for the handshake, authentication included
    long retryMinMs = 50;        ///< delay before the first reconnect; doubles after each failure
    long retryMaxMs = 2000;      ///< upper bound of the delay
    long pingIntervalMs = 1000;
    long pingTimeoutMs = 3000; ///< an outgoing connection is reopened if no pong arrives for this long
};

enum class PeerSendResult : std::uint8_t {
    Queued,
    NotConnected, ///< unknown peer, stopped, or waiting for the next reconnect
    QueueFull,
};

/// State of the link to one peer.
struct PeerLinkState
{
    std::string name;
    bool connected = false; ///< the outgoing connection is authenticated
    std::size_t queuedBytes = 0;
    std::uint64_t droppedMessages = 0; ///< messages dropped because the queue was full or the peer was not reachable
    std::uint64_t connectCount = 0;    ///< number of times the outgoing connection was authenticated
};

/// WebSocket links between proxies, with one connection for each direction. Before any message is exchanged, each side
/// proves possession of a shared key by an HMAC-SHA256 over both names and two nonces. Messages are dropped when a
/// connection fails or is lost: a request that is delivered late would run after its entry proxy has abandoned it. One
/// thread serves all links. Owned by PeerLinks.
class PeerSocket final
{
public:
    struct Callbacks
    {
        /// Receives a binary message of an authenticated peer. Called from the link thread.
        std::function<void(const std::string &peer, std::string_view bytes)> message;
        /// Receives a connection event to be logged, at most a few per second and peer. Called from the link thread.
        std::function<void(const char *event, const std::string &peer, const std::string &text)> event;
    };

    /// Binds the address; throws std::runtime_error on failure.
    PeerSocket(PeerSocketOptions options, Callbacks callbacks);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    void start();
    /// Sends queued messages for at most \a flushMs, then closes all connections and ends the thread.
    void stop(long flushMs);

    /// Queues a message; any thread, does not block. If the queue is full, queued heartbeats are dropped, the oldest
    /// first; if that does not free enough space, the message is refused.
    PeerSendResult send(const std::string &peer, std::string bytes, bool isHeartbeat);

    [[nodiscard]] std::string address() const; ///< bound address, with the actual port
    [[nodiscard]] std::vector<PeerLinkState> states() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel

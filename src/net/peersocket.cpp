// The only file that includes websocketpp; compiled as C++17.
#define ASIO_STANDALONE
#define _WEBSOCKETPP_CPP11_INTERNAL_

#include "net/peersocket.h"

#include "net/secrets.h"

#include <asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <cassert>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace Jujubekeel {

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;
namespace opcode = websocketpp::frame::opcode;
namespace closecode = websocketpp::close::status;

/// Limit of unsent bytes that websocketpp holds for one connection. Further messages stay in the link's own queue,
/// where heartbeats can still be dropped.
constexpr std::size_t sendBufferLimit = 256 * 1024;
constexpr Milliseconds flushRetryDelay(5);
/// Interval of the checks for timeouts and due pings.
constexpr Milliseconds sweepInterval(200);
/// An outgoing connection without a message for this long is closed; the next message reopens it.
constexpr Milliseconds idleTimeout(60000);
/// An incoming connection without any frame for this many ping intervals is closed.
constexpr int missedPingLimit = 10;

enum class LinkStep : std::uint8_t { Idle, Connecting, Connected, BackingOff };

struct QueuedMessage
{
    std::string bytes;
    bool isHeartbeat = false;
};

/// Outgoing connection to one peer.
struct Link
{
    PeerSocketPeer peer;
    // Guarded by State::mutex.
    LinkStep step = LinkStep::Idle;
    std::deque<QueuedMessage> queue;
    std::size_t queuedBytes = 0;
    std::uint64_t droppedMessages = 0;
    std::uint64_t connectCount = 0;
    bool flushPlanned = false;
    Clock::time_point lastUse{};
    // Link thread only.
    Client::connection_ptr connection;
    std::unique_ptr<asio::steady_timer> timer; ///< delay before the next connection attempt or the next flush
    std::string challenge;                     ///< nonce of the server; empty until received
    std::string nonce;                         ///< nonce of this side
    long retryMs = 0;
    Clock::time_point since{};
    Clock::time_point lastPong{};
    Clock::time_point nextPing{};
};

/// Incoming connection. Link thread only.
struct Incoming
{
    std::string peer; ///< empty until authenticated
    std::string nonce;
    Clock::time_point since{};
    Clock::time_point lastSeen{};
};

std::string proofText(const char *role, const std::string &client, const std::string &server,
                      const std::string &serverNonce, const std::string &clientNonce)
{
    return std::string(role) + '\n' + client + '\n' + server + '\n' + serverNonce + '\n' + clientNonce;
}

asio::ip::tcp::endpoint parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("address " + address + ": \"ip:port\" is expected");
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const int port = std::stoi(address.substr(colon + 1));
    return {asio::ip::make_address(host), static_cast<unsigned short>(port)};
}

} // namespace

struct PeerSocket::State
{
    PeerSocketOptions options;
    Callbacks callbacks;
    asio::io_context io;
    Server server;
    Client client;
    asio::steady_timer sweepTimer{io};
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> guard;
    std::thread thread;
    std::string address;
    std::map<connection_hdl, Incoming, std::owner_less<connection_hdl>> incoming; ///< link thread only
    bool closing = false;                                                         ///< link thread only

    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Link>> links;
    bool stopped = false;

    void configure();
    Link *find(const std::string &name)
    {
        const auto found = this->links.find(name);
        return found == this->links.end() ? nullptr : found->second.get();
    }

    // Outgoing.
    void connect(Link &link);
    void clientMessage(Link &link, const Client::connection_ptr &connection, const std::string &payload);
    void disconnect(Link &link, const Client::connection_ptr &connection, const std::string &text);
    void flush(Link &link);
    // Incoming.
    void serverOpen(const connection_hdl &handle);
    void serverMessage(const connection_hdl &handle, const Server::message_ptr &message);
    void authenticate(const connection_hdl &handle, Incoming &row, const std::string &payload);
    void refuse(const connection_hdl &handle, const std::string &peer, const std::string &text);

    void sweep();
    void closeAll();
};

void PeerSocket::State::configure()
{
    this->server.clear_access_channels(websocketpp::log::alevel::all);
    this->server.clear_error_channels(websocketpp::log::elevel::all);
    this->client.clear_access_channels(websocketpp::log::alevel::all);
    this->client.clear_error_channels(websocketpp::log::elevel::all);
    this->server.init_asio(&this->io);
    this->client.init_asio(&this->io);
    this->server.set_reuse_addr(true);
    this->server.set_max_message_size(this->options.messageLimit);
    this->client.set_max_message_size(4096);
    this->server.set_open_handshake_timeout(this->options.connectTimeoutMs);
    this->client.set_open_handshake_timeout(this->options.connectTimeoutMs);
    this->server.set_close_handshake_timeout(this->options.connectTimeoutMs);
    this->client.set_close_handshake_timeout(this->options.connectTimeoutMs);
    this->server.set_tcp_post_init_handler([this](connection_hdl handle) {
        const auto connection = this->server.get_con_from_hdl(handle);
        websocketpp::lib::asio::error_code ignored;
        connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    });
    this->client.set_tcp_post_init_handler([this](connection_hdl handle) {
        const auto connection = this->client.get_con_from_hdl(handle);
        websocketpp::lib::asio::error_code ignored;
        connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    });

    this->server.set_open_handler([this](connection_hdl handle) { this->serverOpen(handle); });
    this->server.set_close_handler([this](connection_hdl handle) { this->incoming.erase(handle); });
    this->server.set_fail_handler([this](connection_hdl handle) { this->incoming.erase(handle); });
    this->server.set_ping_handler([this](connection_hdl handle, const std::string &) {
        const auto found = this->incoming.find(handle);
        if (found != this->incoming.end())
            found->second.lastSeen = Clock::now();
        return true;
    });
    this->server.set_message_handler(
        [this](connection_hdl handle, Server::message_ptr message) { this->serverMessage(handle, message); });
}

// Outgoing connections

void PeerSocket::State::connect(Link &link)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopped || link.step == LinkStep::Connecting || link.step == LinkStep::Connected)
            return;
        link.step = LinkStep::Connecting;
    }
    link.since = Clock::now();
    link.challenge.clear();
    link.nonce = randomNonce();
    websocketpp::lib::error_code error;
    const auto connection = this->client.get_connection("ws://" + link.peer.address + "/v1/peer", error);
    if (error) {
        this->disconnect(link, nullptr, error.message());
        return;
    }
    link.connection = connection;

    // Events of an earlier connection of this link are recognized by comparing the connection pointer.
    const std::weak_ptr<Client::connection_type> weak = connection;
    connection->set_fail_handler([this, &link, weak](connection_hdl) {
        if (const auto strong = weak.lock())
            this->disconnect(link, strong, strong->get_ec().message());
    });
    connection->set_close_handler([this, &link, weak](connection_hdl) {
        if (const auto strong = weak.lock())
            this->disconnect(link, strong, "closed: " + strong->get_remote_close_reason());
    });
    connection->set_message_handler([this, &link, weak](connection_hdl, Client::message_ptr message) {
        if (const auto strong = weak.lock())
            this->clientMessage(link, strong, message->get_payload());
    });
    connection->set_pong_handler([&link, weak](connection_hdl, std::string) {
        if (weak.lock() == link.connection)
            link.lastPong = Clock::now();
    });
    this->client.connect(connection);
}

void PeerSocket::State::clientMessage(Link &link, const Client::connection_ptr &connection, const std::string &payload)
{
    if (connection != link.connection)
        return;
    std::istringstream words(payload);
    std::string verb;
    std::string value;
    words >> verb >> value;
    if (verb == "challenge" && link.challenge.empty() && value.size() == 32) {
        link.challenge = value;
        const std::string &name = this->options.name;
        const std::string proof =
            hmacSha256Hex(this->options.keys.front(), proofText("client", name, link.peer.name, value, link.nonce));
        connection->send("hello " + name + ' ' + link.nonce + ' ' + proof, opcode::text);
        return;
    }
    if (verb == "welcome" && !link.challenge.empty()) {
        const std::string text = proofText("server", this->options.name, link.peer.name, link.challenge, link.nonce);
        bool proved = false;
        for (const std::string &key : this->options.keys)
            proved = equalSecrets(hmacSha256Hex(key, text), value) || proved;
        if (proved) {
            link.retryMs = 0;
            link.lastPong = Clock::now();
            link.nextPing = Clock::now() + Milliseconds(this->options.pingIntervalMs);
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                link.step = LinkStep::Connected;
                link.connectCount += 1;
            }
            this->callbacks.event("peer-connected", link.peer.name, link.peer.address);
            this->flush(link);
            return;
        }
        this->disconnect(link, connection, "authentication failed: no key matches the proof of the peer");
        return;
    }
    this->disconnect(link, connection, "unexpected message in the handshake");
}

void PeerSocket::State::disconnect(Link &link, const Client::connection_ptr &connection, const std::string &text)
{
    if (connection != link.connection && connection)
        return;
    if (link.connection) {
        websocketpp::lib::error_code ignored;
        link.connection->close(closecode::normal, "", ignored);
        link.connection.reset();
    }

    // Drop the queued messages; see the class comment.
    bool wasConnected = false;
    bool reconnect = false;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        wasConnected = link.step == LinkStep::Connected;
        link.droppedMessages += link.queue.size();
        link.queue.clear();
        link.queuedBytes = 0;
        reconnect = !this->stopped && Clock::now() - link.lastUse < idleTimeout;
        link.step = reconnect ? LinkStep::BackingOff : LinkStep::Idle;
    }
    if (this->closing)
        return;
    if (wasConnected)
        this->callbacks.event("peer-disconnected", link.peer.name, text);
    else if (link.retryMs == 0)
        this->callbacks.event("peer-connect-failed", link.peer.name, text);
    if (!reconnect)
        return;
    link.retryMs = link.retryMs == 0 ? this->options.retryMinMs : std::min(link.retryMs * 2, this->options.retryMaxMs);
    link.timer->expires_after(Milliseconds(link.retryMs));
    link.timer->async_wait([this, &link](const asio::error_code &error) {
        if (!error)
            this->connect(link);
    });
}

void PeerSocket::State::flush(Link &link)
{
    bool retryLater = false;
    while (link.connection) {
        QueuedMessage message;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            link.flushPlanned = false;
            if (link.step != LinkStep::Connected || link.queue.empty())
                return;
            if (link.connection->get_buffered_amount() >= sendBufferLimit) {
                link.flushPlanned = true;
                retryLater = true;
                break;
            }
            message = std::move(link.queue.front());
            link.queue.pop_front();
            link.queuedBytes -= message.bytes.size();
        }
        const auto error = link.connection->send(message.bytes, opcode::binary);
        if (error) {
            this->disconnect(link, link.connection, error.message());
            return;
        }
    }
    // websocketpp does not report when its send buffer has drained, so the flush is retried after a short delay.
    if (retryLater) {
        link.timer->expires_after(flushRetryDelay);
        link.timer->async_wait([this, &link](const asio::error_code &error) {
            if (!error)
                this->flush(link);
        });
    }
}

// Incoming connections

void PeerSocket::State::serverOpen(const connection_hdl &handle)
{
    if (this->closing || this->incoming.size() >= this->options.linkLimit) {
        this->refuse(handle, "", "too many connections");
        return;
    }
    Incoming row;
    row.nonce = randomNonce();
    row.since = Clock::now();
    row.lastSeen = row.since;
    websocketpp::lib::error_code error;
    this->server.send(handle, "challenge " + row.nonce, opcode::text, error);
    this->incoming.emplace(handle, std::move(row));
}

void PeerSocket::State::refuse(const connection_hdl &handle, const std::string &peer, const std::string &text)
{
    this->callbacks.event("peer-refused", peer, text);
    this->incoming.erase(handle);
    websocketpp::lib::error_code ignored;
    this->server.close(handle, closecode::policy_violation, text, ignored);
}

void PeerSocket::State::serverMessage(const connection_hdl &handle, const Server::message_ptr &message)
{
    const auto found = this->incoming.find(handle);
    if (found == this->incoming.end())
        return;
    Incoming &row = found->second;
    row.lastSeen = Clock::now();
    if (row.peer.empty()) {
        this->authenticate(handle, row, message->get_payload());
        return;
    }
    if (message->get_opcode() != opcode::binary) {
        this->refuse(handle, row.peer, "a binary message is expected");
        return;
    }
    this->callbacks.message(row.peer, message->get_payload());
}

void PeerSocket::State::authenticate(const connection_hdl &handle, Incoming &row, const std::string &payload)
{
    std::istringstream words(payload);
    std::string verb;
    std::string name;
    std::string nonce;
    std::string proof;
    words >> verb >> name >> nonce >> proof;
    if (verb != "hello" || nonce.size() != 32 || proof.size() != 64) {
        this->refuse(handle, "", "malformed hello: name, nonce and proof expected");
        return;
    }
    if (this->find(name) == nullptr) {
        this->refuse(handle, "", "no such instance in the settings");
        return;
    }
    const std::string text = proofText("client", name, this->options.name, row.nonce, nonce);
    for (const std::string &key : this->options.keys) {
        if (!equalSecrets(hmacSha256Hex(key, text), proof))
            continue;
        // Answer with the key that the client used, so that keys can be rotated on one side after the other.
        row.peer = name;
        websocketpp::lib::error_code error;
        this->server.send(
            handle, "welcome " + hmacSha256Hex(key, proofText("server", name, this->options.name, row.nonce, nonce)),
            opcode::text, error);
        return;
    }
    this->refuse(handle, name, "the proof does not match any key");
}

// Periodic checks

void PeerSocket::State::sweep()
{
    if (this->closing)
        return;
    const Clock::time_point now = Clock::now();
    for (const auto &entry : this->links) {
        Link &link = *entry.second;
        LinkStep step = LinkStep::Idle;
        bool idle = false;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            step = link.step;
            idle = now - link.lastUse > idleTimeout;
        }
        if (step == LinkStep::Connecting && now - link.since > Milliseconds(this->options.connectTimeoutMs)) {
            this->disconnect(link, link.connection, "connection attempt or handshake timed out");
        } else if (step == LinkStep::Connected) {
            if (idle) {
                this->disconnect(link, link.connection, "idle");
            } else if (now - link.lastPong > Milliseconds(this->options.pingTimeoutMs)) {
                this->disconnect(link, link.connection, "no pong within the ping timeout");
            } else if (now >= link.nextPing) {
                link.nextPing = now + Milliseconds(this->options.pingIntervalMs);
                websocketpp::lib::error_code ignored;
                link.connection->ping("", ignored);
            }
        }
    }
    std::vector<connection_hdl> timedOut;
    for (const auto &[handle, row] : this->incoming) {
        const long limit =
            row.peer.empty() ? this->options.connectTimeoutMs : this->options.pingIntervalMs * missedPingLimit;
        if (now - row.lastSeen > Milliseconds(limit))
            timedOut.push_back(handle);
    }
    for (const connection_hdl &handle : timedOut)
        this->refuse(handle, this->incoming[handle].peer, "no frame within the time limit");

    this->sweepTimer.expires_after(sweepInterval);
    this->sweepTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->sweep();
    });
}

void PeerSocket::State::closeAll()
{
    this->closing = true;
    websocketpp::lib::error_code ignored;
    this->server.stop_listening(ignored);
    this->sweepTimer.cancel();
    for (const auto &entry : this->links) {
        entry.second->timer->cancel();
        if (entry.second->connection)
            this->disconnect(*entry.second, entry.second->connection, "stopping");
    }
    std::vector<connection_hdl> handles;
    for (const auto &entry : this->incoming)
        handles.push_back(entry.first);
    this->incoming.clear();
    for (const connection_hdl &handle : handles)
        this->server.close(handle, closecode::going_away, "stopping", ignored);
}

// Public functions

PeerSocket::PeerSocket(PeerSocketOptions socketOptions, Callbacks socketCallbacks) : state(std::make_unique<State>())
{
    assert(!socketOptions.keys.empty() && socketCallbacks.message && socketCallbacks.event);
    State &s = *this->state;
    s.options = std::move(socketOptions);
    s.callbacks = std::move(socketCallbacks);
    s.configure();
    for (const PeerSocketPeer &peer : s.options.peers) {
        auto link = std::make_unique<Link>();
        link->peer = peer;
        link->timer = std::make_unique<asio::steady_timer>(s.io);
        s.links.emplace(peer.name, std::move(link));
    }

    websocketpp::lib::error_code error;
    s.server.listen(parseAddress(s.options.listenAddress), error);
    if (error)
        throw std::runtime_error("cannot listen on " + s.options.listenAddress + ": " + error.message());
    asio::error_code addressError;
    std::ostringstream text;
    text << s.server.get_local_endpoint(addressError);
    s.address = text.str();
    s.server.start_accept(error);
    if (error)
        throw std::runtime_error("cannot accept on " + s.options.listenAddress + ": " + error.message());
}

PeerSocket::~PeerSocket()
{
    this->stop(0);
}

void PeerSocket::start()
{
    State &s = *this->state;
    s.guard.emplace(s.io.get_executor());
    asio::post(s.io, [&s] { s.sweep(); });
    s.thread = std::thread([&s] { s.io.run(); });
}

void PeerSocket::stop(long flushMs)
{
    State &s = *this->state;
    const Clock::time_point limit = Clock::now() + Milliseconds(flushMs);
    const auto queued = [&s] {
        const std::lock_guard<std::mutex> lock(s.mutex);
        for (const auto &entry : s.links) {
            if (!entry.second->queue.empty())
                return true;
        }
        return false;
    };
    while (s.thread.joinable() && queued() && Clock::now() < limit)
        std::this_thread::sleep_for(flushRetryDelay);
    {
        const std::lock_guard<std::mutex> lock(s.mutex);
        s.stopped = true;
    }
    if (!s.thread.joinable())
        return;

    // The closing handshakes end within their timeout, after which io.run() returns and the thread ends.
    asio::post(s.io, [&s] { s.closeAll(); });
    s.guard.reset();
    s.thread.join();
}

PeerSendResult PeerSocket::send(const std::string &peer, std::string bytes, bool isHeartbeat)
{
    State &s = *this->state;
    Link *link = nullptr;
    bool connect = false;
    bool flush = false;
    {
        const std::lock_guard<std::mutex> lock(s.mutex);
        link = s.find(peer);
        if (link == nullptr || s.stopped)
            return PeerSendResult::NotConnected;
        link->lastUse = Clock::now();
        if (link->step == LinkStep::BackingOff) {
            link->droppedMessages += 1;
            return PeerSendResult::NotConnected;
        }

        // Drop queued heartbeats to make room: each is superseded by the next one.
        auto entry = link->queue.begin();
        while (link->queuedBytes + bytes.size() > s.options.queueLimit && entry != link->queue.end()) {
            if (!entry->isHeartbeat) {
                ++entry;
                continue;
            }
            link->queuedBytes -= entry->bytes.size();
            link->droppedMessages += 1;
            entry = link->queue.erase(entry);
        }
        if (link->queuedBytes + bytes.size() > s.options.queueLimit) {
            link->droppedMessages += 1;
            return PeerSendResult::QueueFull;
        }
        link->queuedBytes += bytes.size();
        link->queue.push_back(QueuedMessage{std::move(bytes), isHeartbeat});
        connect = link->step == LinkStep::Idle;
        flush = link->step == LinkStep::Connected && !link->flushPlanned;
        link->flushPlanned = link->flushPlanned || flush;
    }
    if (connect)
        asio::post(s.io, [&s, link] { s.connect(*link); });
    else if (flush)
        asio::post(s.io, [&s, link] { s.flush(*link); });
    return PeerSendResult::Queued;
}

std::string PeerSocket::address() const
{
    return this->state->address;
}

std::vector<PeerLinkState> PeerSocket::states() const
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    std::vector<PeerLinkState> result;
    for (const auto &entry : this->state->links) {
        const Link &link = *entry.second;
        PeerLinkState row;
        row.name = link.peer.name;
        row.connected = link.step == LinkStep::Connected;
        row.queuedBytes = link.queuedBytes;
        row.droppedMessages = link.droppedMessages;
        row.connectCount = link.connectCount;
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace Jujubekeel

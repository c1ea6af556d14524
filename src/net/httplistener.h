#pragma once

#include "core/resultcode.h"
#include "core/time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct HttpListenerOptions
{
    std::string address;                             ///< "ip:port"; port 0 selects a free port
    std::uint32_t threads = 16;                      ///< worker threads that read requests and write responses
    std::uint32_t maxConnections = 1024;             ///< open connections; further ones are answered 503 and closed
    std::uint32_t maxBodyBytes = 1024U * 1024U;      ///< limit of a request body
    Duration idleTimeout = std::chrono::seconds(30); ///< connections without a request for this long are closed
    Duration readTimeout = std::chrono::seconds(10); ///< time limit for reading a request, and for writing a response
    int kernelBufferBytes = 0; ///< of each socket's buffers (the kernel doubles it); 0: the kernel's choice
    bool replacesIdle =
        false; ///< at `maxConnections`, the connection that has been idle longest makes room for a new one
};

/// A received HTTP request.
struct HttpRequest
{
    std::uint64_t exchangeId = 0; ///< identifies the request in respond(); unique within the process
    std::string method;
    std::string path;          ///< percent-decoded, without the query
    std::string clientAddress; ///< IP address without the port
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of a header, or an empty text if it is missing. Names are case-insensitive.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// HTTP/1.1 server based on POCO's HTTP sessions and messages. A connection occupies a worker thread only while a
/// request is read or a response is written. POCO's own HTTPServer occupies one for the lifetime of a connection, so a
/// few idle or waiting clients would block all others. One more thread watches the sockets with epoll. Owned by
/// CallerServer, OperatorServer or EntryDaemon.
class HttpListener final
{
public:
    /// Called from a worker thread for each request; exactly one respond() must follow.
    using Handler = std::function<void(HttpRequest request)>;
    /// Called from the watcher thread when a client disconnects before its request is answered. A later respond() has
    /// no effect.
    using DisconnectHandler = std::function<void(std::uint64_t exchangeId)>;
    /// Creates the response to a request that is malformed or too large, and to a connection above the limit.
    using ErrorResponse = std::function<HttpResponse(ResultCode code, const std::string &text)>;

    /// Binds the address; throws Poco::Exception on failure.
    HttpListener(HttpListenerOptions options, Handler handler, DisconnectHandler disconnectHandler,
                 ErrorResponse errorResponse);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    void start();
    /// Stops accepting connections, waits at most \a wait until the requests in progress are answered, then closes all
    /// connections and ends the threads.
    void stop(Duration wait);

    /// Answers a request; any thread, does not block.
    void respond(std::uint64_t exchangeId, HttpResponse response);

    [[nodiscard]] const std::string &address() const { return this->boundAddress; } ///< with the actual port
    [[nodiscard]] std::size_t connectionCount() const;
    /// Times that no connection could be accepted, for lack of descriptors or memory.
    [[nodiscard]] std::uint64_t failedAccepts() const;
    /// Connections refused because of `maxConnections`.
    [[nodiscard]] std::uint64_t refusedConnections() const;

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;
    struct State;

    void runWatcher();
    void runWorker();
    /// Accepts the connections that wait; stops accepting for a while if that fails.
    void acceptConnections();
    void watchServer(int operation);
    void pauseAccepting();
    void resumeAccepting();
    void readRequest(const ConnectionPointer &connection);
    void writeResponse(const ConnectionPointer &connection);
    void refuseRequest(const ConnectionPointer &connection, ResultCode code, const std::string &text);
    void sendResponse(Connection &connection, const HttpResponse &content, bool keepAlive);
    /// Returns a connection to the watcher, or queues it for a worker if its next request has already been received.
    void waitForNextRequest(const ConnectionPointer &connection);
    void close(const ConnectionPointer &connection);
    /// Queues the connection for a worker to read its request. The state's mutex must be held.
    void enqueue(const ConnectionPointer &connection);
    /// Whether the connection's request header is complete, or its end or a header above the limit is to be handled.
    /// Otherwise the watcher is told of the connection again when more of the header has arrived.
    [[nodiscard]] bool awaitHeader(const Connection &connection);
    /// Makes room for a new connection if the options say so. The state's mutex must be held.
    bool replaceIdle();
    /// Closes connections that exceed the idle timeout and shuts down those that exceed the read timeout.
    void closeTimedOut();

    HttpListenerOptions options;
    Handler handler;
    DisconnectHandler disconnectHandler;
    ErrorResponse errorResponse;
    std::unique_ptr<State> state;
    std::string boundAddress;
    std::thread watcher;
    std::vector<std::thread> workers;
};

} // namespace Jujubekeel

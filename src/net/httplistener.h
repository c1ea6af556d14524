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
    std::string address;                             ///< "ip:port"; port 0 lets the kernel choose
    std::uint32_t threads = 16;                      ///< threads that read requests and write answers
    std::uint32_t maxConnections = 1024;             ///< open connections; more are refused with an answer
    std::uint32_t maxBodyBytes = 1024U * 1024U;      ///< body of one request
    Duration idleTimeout = std::chrono::seconds(30); ///< connections without a request are closed
    Duration readTimeout = std::chrono::seconds(10); ///< whole head and body of one request; then the connection closes
};

/// One request as it came in.
struct HttpCall
{
    std::uint64_t exchange = 0; ///< names the request in respond(); unique within the process
    std::string method;
    std::string path;          ///< percent-decoded, without the query
    std::string clientAddress; ///< IP address without the port
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of a header, or an empty text. The name is compared without regard to case.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct HttpReply
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// HTTP/1.1 server on POCO's sessions and messages. A connection holds a thread only while a request is read or an answer
/// is written: POCO's own HTTPServer holds one for the whole life of a connection, so a few idle or waiting callers would
/// block all others. One thread watches the sockets. Owned by CallerServer or OperatorServer.
class HttpListener final
{
public:
    /// Called from a worker thread for each request; exactly one respond() must follow.
    using Handler = std::function<void(HttpCall call)>;
    /// Called when the client's connection closed before the answer; respond() has no effect any more.
    using Gone = std::function<void(std::uint64_t exchange)>;
    /// Makes the answer to a request that is not valid HTTP or too large.
    using ErrorReply = std::function<HttpReply(ResultCode code, const std::string &text)>;

    /// Binds the address at once; throws Poco::Exception if that fails.
    HttpListener(HttpListenerOptions options, Handler handler, Gone gone, ErrorReply errorReply);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    void start();
    /// Takes no new connections, waits until the requests under way are answered, at most \a wait, then closes all.
    void stop(Duration wait);

    /// Answers a request; any thread, does not block.
    void respond(std::uint64_t exchange, HttpReply reply);

    [[nodiscard]] const std::string &address() const { return this->boundAddress; } ///< with the real port
    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] std::uint64_t refusedConnections() const;

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;
    struct State;

    void watch();
    void work();
    void acceptConnections();
    void readRequest(const ConnectionPointer &connection);
    void writeReply(const ConnectionPointer &connection);
    void refuseRequest(const ConnectionPointer &connection, ResultCode code, const std::string &text);
    void sendReply(Connection &connection, const HttpReply &reply, bool keepAlive);
    void park(const ConnectionPointer &connection);
    void close(const ConnectionPointer &connection);
    void enqueue(const ConnectionPointer &connection);
    void closeOverdue();

    HttpListenerOptions options;
    Handler handler;
    Gone gone;
    ErrorReply errorReply;
    std::unique_ptr<State> state;
    std::string boundAddress;
    std::thread watcher;
    std::vector<std::thread> workers;
};

} // namespace Jujubekeel

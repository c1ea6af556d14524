#pragma once

#include "core/resultcode.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Jujubekeel {

struct FakeHttpServerOptions
{
    std::string address = "127.0.0.1:0"; ///< "ip:port"; with port 0 the kernel picks one
    int threads = 128; ///< limit of connections that are served at the same time; each uses one thread
    std::size_t bodyLimit = std::size_t{16} * 1024 * 1024; ///< limit of a request body, in bytes
};

/// An HTTP request to a fake.
struct FakeHttpRequest
{
    std::uint64_t connection = 0; ///< number of the connection that the request arrived on
    std::string method;
    std::string path; ///< percent-decoded, without the query
    std::map<std::string, std::string> query;
    std::string ifMatch; ///< header If-Match without quotation marks
    std::string body;
    /// Returns true after the client has closed the connection; polled by handlers that wait.
    std::function<bool()> isDisconnected;
};

/// Response of a fake to an HTTP request.
struct FakeHttpResponse
{
    int status = 200;
    std::string body;
    std::string etag; ///< header ETag without quotation marks; empty: none
    std::map<std::string, std::string> headers;
    bool closeWithoutResponse = false; ///< close the connection without sending a response
};

/// Builds an error response: a JSON object with the fields `code` and `text`.
[[nodiscard]] FakeHttpResponse errorResponse(int status, ResultCode code, const std::string &text);

/// HTTP/1.1 server of the fakes. Each connection has its own thread, so that handlers may block. Connections are
/// numbered and their closing is reported, because the fake backend server binds a session to its connection. Owned by
/// main.
class FakeHttpServer final
{
public:
    using RequestHandler = std::function<FakeHttpResponse(const FakeHttpRequest &httpRequest)>;
    using ClosedCallback = std::function<void(std::uint64_t connection)>;

    /// Binds the address; throws Poco::Exception if that fails. Both callbacks are called from several threads.
    FakeHttpServer(const FakeHttpServerOptions &options, RequestHandler handler, ClosedCallback closed);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    void start();
    /// Closes all connections and waits for their handlers, whose isDisconnected() returns true from then on.
    void stop();
    /// Closes the connection with this number; unknown numbers are ignored. Any thread.
    void closeConnection(std::uint64_t connection);
    [[nodiscard]] std::string address() const; ///< "ip:port" with the bound port

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel

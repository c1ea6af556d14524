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
    std::string address = "127.0.0.1:0";                   ///< "ip:port"; port 0 lets the kernel choose
    int threads = 128;                                     ///< connections served at one time, one thread each
    std::size_t bodyLimit = std::size_t{16} * 1024 * 1024; ///< bytes in the body of one request
};

/// One request as it came in.
struct FakeHttpCall
{
    std::uint64_t connection = 0; ///< the same for all requests of one connection
    std::string method;
    std::string path; ///< percent-decoded, without the query
    std::map<std::string, std::string> query;
    std::string ifMatch; ///< header If-Match without quotation marks
    std::string body;
    /// True once the client closed the connection; for handlers that wait.
    std::function<bool()> isGone;
};

struct FakeHttpReply
{
    int status = 200;
    std::string body;
    std::string etag;          ///< header ETag without quotation marks; empty: none
    bool withoutReply = false; ///< close the connection instead of answering
};

/// A reply with an error in the form of all fakes.
[[nodiscard]] FakeHttpReply errorReply(int status, ResultCode code, const std::string &text);

/// HTTP/1.1 server of the fakes: one thread for each connection, so that a handler may wait. Each connection has a number,
/// and its closing is reported, because one connection is one session at the fake backend server. Owned by main.
class FakeHttpServer final
{
public:
    using Handler = std::function<FakeHttpReply(const FakeHttpCall &call)>;
    using Closed = std::function<void(std::uint64_t connection)>;

    /// Binds the address at once; throws Poco::Exception if that fails. Both functions are called from several threads.
    FakeHttpServer(const FakeHttpServerOptions &options, Handler handler, Closed closed);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    void start();
    /// Closes all connections; handlers see isGone.
    void stop();
    /// Closes one connection from this side; unknown numbers are ignored. Any thread.
    void closeConnection(std::uint64_t connection);
    [[nodiscard]] std::string address() const; ///< with the real port

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel

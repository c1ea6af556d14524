#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Jujubekeel {

/// A request that the server received.
struct HttpFakeCall
{
    std::string method;
    std::string path;        ///< percent-decoded
    std::string ifMatch;     ///< header If-Match; empty: none
    std::string operatorKey; ///< header Operator-Key; empty: none
    std::string body;
};

/// Response of the handler.
struct HttpFakeReply
{
    int status = 200; ///< 0: close the connection without a response
    std::string body;
};

/// HTTP server on a free loopback port, for tests of the operators' command. Owned by a test; calls the handler from
/// several threads of its own.
class HttpFake final
{
public:
    using Handler = std::function<HttpFakeReply(const HttpFakeCall &call)>;

    explicit HttpFake(Handler handler);
    ~HttpFake();
    HttpFake(const HttpFake &) = delete;
    HttpFake &operator=(const HttpFake &) = delete;

    [[nodiscard]] std::string address() const; ///< "ip:port"

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel

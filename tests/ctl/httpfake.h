#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Jujubekeel {

struct HttpFakeCall
{
    std::string method;
    std::string path; ///< percent-decoded
    std::string ifMatch;
    std::string operatorKey;
    std::string body;
};

struct HttpFakeReply
{
    int status = 200; ///< 0: close the connection without an answer
    std::string body;
};

/// HTTP server on a loopback port that the kernel chooses, for tests of the operators' command. Owned by a test; calls the
/// handler from threads of its own.
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

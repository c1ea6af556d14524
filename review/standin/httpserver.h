#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Review {

struct HttpCall
{
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpReply
{
    int status = 200;
    std::string body;
};

/// HTTP/1.1 server on the event loop, for JSON bodies with a Content-Length. A handler may answer later.
class HttpServer final
{
public:
    using Respond = std::function<void(HttpReply reply)>;
    using Handler = std::function<void(const HttpCall &call, Respond respond)>;

    HttpServer(asio::io_context &eventLoop, Handler handlerFunction);

    /// "ip:port" of the listener.
    [[nodiscard]] std::string address() const;

private:
    class Peer;

    void accept();

    Handler handler;
    asio::ip::tcp::acceptor acceptor;
};

} // namespace Review

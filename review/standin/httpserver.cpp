#include "httpserver.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace Review {

namespace {

constexpr const char *headerEnd = "\r\n\r\n";

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

void parseTarget(const std::string &target, HttpCall &call)
{
    const std::size_t mark = target.find('?');
    call.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string part = rest.substr(0, end);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            call.query[part.substr(0, equals)] = part.substr(equals + 1);
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
}

HttpCall parseHead(const std::string &head)
{
    HttpCall call;
    std::size_t from = head.find("\r\n");
    const std::string first = head.substr(0, from);
    const std::size_t blank = first.find(' ');
    call.method = first.substr(0, blank);
    parseTarget(first.substr(blank + 1, first.rfind(' ') - blank - 1), call);
    while (from != std::string::npos && from + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", from + 2);
        const std::string line = head.substr(from + 2, end == std::string::npos ? end : end - from - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            call.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        from = end;
    }
    return call;
}

} // namespace

/// One connection of a caller; it serves one call after another.
class HttpServer::Peer final : public std::enable_shared_from_this<HttpServer::Peer>
{
public:
    Peer(asio::ip::tcp::socket tcpSocket, const Handler &handlerFunction)
        : socket(std::move(tcpSocket)), handler(handlerFunction)
    {
    }

    void read()
    {
        this->socket.async_read_some(asio::buffer(this->input), [self = this->shared_from_this()](
                                                                    const asio::error_code &failure, std::size_t size) {
            if (failure)
                return;
            self->received.append(self->input.data(), size);
            if (!self->serve())
                self->read();
        });
    }

private:
    /// Serves the call that has arrived; false if it is incomplete.
    bool serve()
    {
        const std::size_t end = this->received.find(headerEnd);
        if (end == std::string::npos)
            return false;
        HttpCall call = parseHead(this->received.substr(0, end));
        const std::size_t length =
            call.headers.contains("content-length") ? std::stoul(call.headers["content-length"]) : 0;
        if (this->received.size() < end + 4 + length)
            return false;
        call.body = this->received.substr(end + 4, length);
        this->received.erase(0, end + 4 + length);
        this->handler(call, [self = this->shared_from_this()](const HttpReply &reply) { self->respond(reply); });
        return true;
    }

    void respond(const HttpReply &reply)
    {
        this->output = "HTTP/1.1 " + std::to_string(reply.status)
                       + " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                       + std::to_string(reply.body.size()) + headerEnd + reply.body;
        asio::async_write(this->socket, asio::buffer(this->output),
                          [self = this->shared_from_this()](const asio::error_code &failure, std::size_t) {
                              if (!failure && !self->serve())
                                  self->read();
                          });
    }

    asio::ip::tcp::socket socket;
    const Handler &handler;
    std::array<char, 16384> input{};
    std::string received;
    std::string output;
};

HttpServer::HttpServer(asio::io_context &eventLoop, Handler handlerFunction)
    : handler(std::move(handlerFunction)),
      acceptor(eventLoop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    this->accept();
}

std::string HttpServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void HttpServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code &failure, asio::ip::tcp::socket socket) {
        if (failure)
            return;
        std::make_shared<Peer>(std::move(socket), this->handler)->read();
        this->accept();
    });
}

} // namespace Review

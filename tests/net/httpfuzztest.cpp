#include "net/httpclient.h"
#include "net/httplistener.h"
#include "support/fuzzing.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// The HTTP decoders of both directions get damaged messages, messages in pieces and messages around each limit. Every
/// input has a connection of its own.
namespace Jujubekeel {

namespace {

using Tcp = asio::ip::tcp;

/// Limit of request and response bodies here.
constexpr std::size_t bodyLimit = 1000;
/// Of POCO: bytes of a header's value, and number of fields.
constexpr std::size_t valueLimit = 8192;
constexpr int fieldLimit = 100;

std::string chunked(std::size_t size)
{
    std::string text;
    while (size > 0) {
        const std::size_t part = std::min<std::size_t>(size, 300);
        std::array<char, 16> length{};
        std::snprintf(length.data(), length.size(), "%zx\r\n", part);
        text += length.data() + std::string(part, 'x') + "\r\n";
        size -= part;
    }
    return text + "0\r\n\r\n";
}

/// Sends the pieces to an address on a new connection and returns what is answered until the other side closes it.
class RawClient final
{
public:
    explicit RawClient(const std::string &address) : port(std::stoi(address.substr(address.find(':') + 1))) {}

    std::string exchange(const std::vector<std::string> &pieces)
    {
        Tcp::socket socket(this->loop);
        socket.open(Tcp::v4());
        // Closed connections hold their port for a minute; each source address has ports of its own.
        this->source = this->source % 60'000 + 1;
        socket.bind({asio::ip::address_v4(0x7f010000U + this->source), 0});
        socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(this->port)});
        socket.set_option(Tcp::no_delay(true));
        asio::error_code failure;
        for (const std::string &piece : pieces)
            asio::write(socket, asio::buffer(piece), failure);
        socket.shutdown(Tcp::socket::shutdown_send, failure);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), failure);
        return answer;
    }

private:
    asio::io_context loop;
    int port;
    std::uint32_t source = 0;
};

class HttpFuzz : public testing::Test
{
protected:
    HttpFuzz()
        : listener(
            {.address = "127.0.0.1:0", .threads = 2, .maxBodyBytes = bodyLimit},
            [this](const HttpRequest &request) {
                this->listener.respond(request.exchangeId, HttpResponse{.body = std::to_string(request.body.size())});
            },
            [](std::uint64_t) {},
            [](ResultCode, const std::string &text) { return HttpResponse{.status = 400, .body = text}; })
    {
        this->listener.start();
        this->client = std::make_unique<RawClient>(this->listener.address());
    }
    ~HttpFuzz() override { this->listener.stop(Duration{0}); }

    /// Status of the only answer to a request that is sent in one piece; 0: none.
    int statusOf(const std::string &request)
    {
        const std::string answer = this->client->exchange({request});
        return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
    }

    HttpListener listener;
    std::unique_ptr<RawClient> client;
};

const std::string request = "POST /api/readiness?a=%41 HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nhello: world";
const std::string chunkedRequest =
    "POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

// Guards against a damaged request that ends the process, or holds a worker for good: the listener has two.
TEST_F(HttpFuzz, DamagedRequestsAreAnsweredOrClosed)
{
    for (const std::string &valid : {request, chunkedRequest}) {
        fuzz(valid, [&](const std::string &text) {
            const std::size_t split = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            const std::string answer = this->client->exchange({text.substr(0, split), text.substr(split)});
            RC_ASSERT((answer.empty() || answer.starts_with("HTTP/1.1 ")));
        });
        EXPECT_EQ(this->statusOf(valid), 200);
    }
}

// Guards against a request that is read differently when it arrives in pieces.
TEST_F(HttpFuzz, RequestsSurviveEverySplit)
{
    for (const std::string &valid : {request, chunkedRequest}) {
        for (std::size_t split = 0; split <= valid.size(); ++split)
            EXPECT_TRUE(
                this->client->exchange({valid.substr(0, split), valid.substr(split)}).starts_with("HTTP/1.1 200"))
                << split;
    }
}

// Guards against limits of requests that are off by one, or not applied to one of the forms.
TEST_F(HttpFuzz, RequestsAroundTheLimits)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    for (const std::size_t size : {bodyLimit - 1, bodyLimit, bodyLimit + 1}) {
        const int expected = size > bodyLimit ? 400 : 200;
        EXPECT_EQ(
            this->statusOf(start + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x')),
            expected);
        EXPECT_EQ(this->statusOf(start + "Transfer-Encoding: chunked\r\n\r\n" + chunked(size)), expected);
    }
    for (const std::size_t size : {valueLimit - 1, valueLimit, valueLimit + 1})
        EXPECT_EQ(this->statusOf(start + "A: " + std::string(size, 'x') + "\r\n\r\n"), size <= valueLimit ? 200 : 400)
            << size;
    for (const int count : {fieldLimit - 1, fieldLimit, fieldLimit + 1}) {
        std::string fields = start;
        for (int field = 1; field < count; ++field)
            fields += "A" + std::to_string(field) + ": b\r\n";
        EXPECT_EQ(this->statusOf(fields + "\r\n"), count <= fieldLimit ? 200 : 400) << count;
    }
    for (const char *length : {"-1", "18446744073709551616", "1e3", "0x10", "12 13", ""})
        EXPECT_NE(this->statusOf(start + "Content-Length: " + length + "\r\n\r\n"), 0) << length;
}

/// Answers each connection with given pieces, whatever the request is, and closes it.
class RawServer final
{
public:
    RawServer() : acceptor(this->loop, {asio::ip::address_v4::loopback(), 0}), thread([this] { this->run(); }) {}
    ~RawServer()
    {
        this->stopping = true;
        asio::error_code ignored;
        Tcp::socket(this->loop).connect(this->acceptor.local_endpoint(), ignored);
        this->thread.join();
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::optional<HttpClientResponse> answerOf(std::vector<std::string> pieces, std::string &error)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->answer = std::move(pieces);
        }
        HttpClient client("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()),
                          std::chrono::seconds(20), {.bodyBytes = bodyLimit});
        if (!client.connect(error))
            return std::nullopt;
        return client.exchange({.method = "GET", .path = "/"}, std::chrono::seconds(20), error);
    }

private:
    void run()
    {
        while (true) {
            Tcp::socket socket(this->loop);
            asio::error_code failure;
            this->acceptor.accept(socket, failure);
            if (this->stopping)
                return;
            std::string received;
            asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", failure);
            const std::scoped_lock lock(this->mutex);
            socket.set_option(Tcp::no_delay(true), failure);
            for (const std::string &piece : this->answer)
                asio::write(socket, asio::buffer(piece), failure);
            socket.shutdown(Tcp::socket::shutdown_send, failure);
        }
    }

    asio::io_context loop;
    Tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::string> answer;
    std::thread thread;
};

const std::string response = "HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 12\r\n\r\nhello: world";
const std::string chunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nStore-Era: 3\r\n\r\nc\r\nhello: world\r\n0\r\n\r\n";

// Guards against a damaged answer that ends the process, holds the thread that reads it, or exceeds the limit.
TEST(HttpClientFuzz, DamagedAnswersAreReadOrFail)
{
    RawServer server;
    for (const std::string &valid : {response, chunkedResponse}) {
        fuzz(valid, [&](const std::string &text) {
            const std::size_t split = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            std::string error;
            const auto read = server.answerOf({text.substr(0, split), text.substr(split)}, error);
            RC_ASSERT((read.has_value() != !error.empty()));
            RC_ASSERT((!read || read->body.size() <= bodyLimit));
        });
    }
}

// Guards against an answer that is read differently when it arrives in pieces, or that was cut off and taken for complete.
TEST(HttpClientFuzz, AnswersSurviveEverySplit)
{
    RawServer server;
    std::string error;
    for (const std::string &valid : {response, chunkedResponse}) {
        for (std::size_t split = 0; split <= valid.size(); ++split) {
            const auto read = server.answerOf({valid.substr(0, split), valid.substr(split)}, error);
            ASSERT_TRUE(read.has_value()) << split << error;
            EXPECT_EQ(read->body, "hello: world") << split;
        }
        for (std::size_t size = 0; size < valid.size(); ++size) {
            EXPECT_FALSE(server.answerOf({valid.substr(0, size)}, error)) << valid.substr(0, size);
        }
    }
}

// Guards against limits of answers that are off by one, or not applied to one of the forms.
TEST(HttpClientFuzz, AnswersAroundTheLimits)
{
    RawServer server;
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const auto isRead = [&](const std::string &text) {
        std::string error;
        return server.answerOf({text}, error).has_value();
    };
    for (const std::size_t size : {bodyLimit - 1, bodyLimit, bodyLimit + 1}) {
        const std::string body(size, 'x');
        EXPECT_EQ(isRead(start + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body), size <= bodyLimit);
        EXPECT_EQ(isRead(start + "Transfer-Encoding: chunked\r\n\r\n" + chunked(size)), size <= bodyLimit);
        EXPECT_EQ(isRead(start + "Connection: close\r\n\r\n" + body), size <= bodyLimit);
    }
    for (const std::size_t size : {valueLimit - 1, valueLimit, valueLimit + 1})
        EXPECT_EQ(isRead(start + "Content-Length: 0\r\nA: " + std::string(size, 'x') + "\r\n\r\n"), size <= valueLimit)
            << size;
    for (const char *length : {"-1", "18446744073709551616", "9223372036854775807", "1e300"})
        EXPECT_FALSE(isRead(start + "Content-Length: " + length + "\r\n\r\nx")) << length;
}

} // namespace

} // namespace Jujubekeel

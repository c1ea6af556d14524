#include "programs/fake-shared/fakehttpserver.h"

#include "wire/jsonfields.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace Jujubekeel {

namespace {

/// Sockets of the open connections by number. Shared by the server and its connections; any thread.
struct ConnectionTable
{
    std::mutex mutex;
    std::map<std::uint64_t, Poco::Net::StreamSocket> sockets;
    std::atomic<std::uint64_t> nextNumber = 1;
    bool stopping = false;
    FakeHttpServer::Handler handler;
    FakeHttpServer::Closed closed;
    std::size_t bodyLimit = 0;
};

void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The client was faster.
    }
}

bool isClosedByPeer(const Poco::Net::StreamSocket &socket)
{
    try {
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

/// Reads a body; empty if it is longer than the limit.
std::optional<std::string> readBody(std::istream &stream, std::size_t limit)
{
    std::string body;
    std::array<char, 8192> buffer{};
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit)
            return std::nullopt;
    }
    return body;
}

class CallHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    CallHandler(std::shared_ptr<ConnectionTable> newTable, std::uint64_t newNumber)
        : table(std::move(newTable)), number(newNumber)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        Poco::Net::StreamSocket socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
        const FakeHttpReply reply = this->reply(request, socket);
        if (reply.withoutReply) {
            response.setKeepAlive(false);
            shutDown(socket);
            return;
        }
        response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
        response.setContentType("application/json");
        if (!reply.etag.empty())
            response.set("ETag", '"' + reply.etag + '"');
        // The rest of a body that is too long is not read, so the connection cannot go on.
        if (reply.status == 413)
            response.setKeepAlive(false);
        response.sendBuffer(reply.body.data(), reply.body.size());
    }

private:
    FakeHttpReply reply(Poco::Net::HTTPServerRequest &request, const Poco::Net::StreamSocket &socket)
    {
        FakeHttpCall call{.connection = this->number, .method = request.getMethod()};
        try {
            const Poco::URI uri(request.getURI());
            call.path = uri.getPath();
            for (const auto &[name, value] : uri.getQueryParameters())
                call.query.insert_or_assign(name, value);
        } catch (const Poco::Exception &) {
            return errorReply(400, ResultCode::MalformedRequest, "the path is not valid");
        }
        call.ifMatch = request.get("If-Match", "");
        std::erase(call.ifMatch, '"');
        auto body = readBody(request.stream(), this->table->bodyLimit);
        if (!body)
            return errorReply(413, ResultCode::RequestTooLarge, "the body is too long");
        call.body = *std::move(body);
        call.isGone = [&] { return isClosedByPeer(socket); };
        return this->table->handler(call);
    }

    std::shared_ptr<ConnectionTable> table;
    std::uint64_t number = 0;
};

/// Belongs to one connection and lives as long as it does: its end reports the closing.
class CallHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    CallHandlerFactory(std::shared_ptr<ConnectionTable> newTable, const Poco::Net::StreamSocket &socket)
        : table(std::move(newTable)), number(this->table->nextNumber++)
    {
        const std::scoped_lock lock(this->table->mutex);
        const auto [entry, added] = this->table->sockets.emplace(this->number, socket);
        if (this->table->stopping && added)
            shutDown(entry->second);
    }
    ~CallHandlerFactory() override
    {
        {
            const std::scoped_lock lock(this->table->mutex);
            this->table->sockets.erase(this->number);
        }
        this->table->closed(this->number);
    }
    CallHandlerFactory(const CallHandlerFactory &) = delete;
    CallHandlerFactory &operator=(const CallHandlerFactory &) = delete;

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new CallHandler(this->table, this->number);
    }

private:
    std::shared_ptr<ConnectionTable> table;
    std::uint64_t number = 0;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ConnectionFactory(std::shared_ptr<ConnectionTable> newTable) : table(std::move(newTable)) {}

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setKeepAlive(true);
        params->setKeepAliveTimeout(Poco::Timespan(3600, 0)); // the fake closes silent sessions itself
        Poco::Net::HTTPRequestHandlerFactory::Ptr handlers = new CallHandlerFactory(this->table, socket);
        return new Poco::Net::HTTPServerConnection(socket, params, handlers);
    }

private:
    std::shared_ptr<ConnectionTable> table;
};

} // namespace

FakeHttpReply errorReply(int status, ResultCode code, const std::string &text)
{
    return {.status = status, .body = dumpJson({{"code", static_cast<unsigned>(code)}, {"text", text}}), .etag = {}};
}

struct FakeHttpServer::State
{
    std::shared_ptr<ConnectionTable> table = std::make_shared<ConnectionTable>();
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

FakeHttpServer::FakeHttpServer(const FakeHttpServerOptions &options, Handler handler, Closed closed)
    : state(std::make_unique<State>())
{
    this->state->table->handler = std::move(handler);
    this->state->table->closed = std::move(closed);
    this->state->table->bodyLimit = options.bodyLimit;
    this->state->socket = Poco::Net::ServerSocket(Poco::Net::SocketAddress(options.address));
    this->state->threads = std::make_unique<Poco::ThreadPool>(2, std::max(options.threads, 2));
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(options.threads);
    params->setMaxQueued(options.threads);
    this->state->server = std::make_unique<Poco::Net::TCPServer>(new ConnectionFactory(this->state->table),
                                                                 *this->state->threads, this->state->socket, params);
}

FakeHttpServer::~FakeHttpServer()
{
    this->stop();
}

void FakeHttpServer::start()
{
    this->state->server->start();
}

void FakeHttpServer::stop()
{
    this->state->server->stop();
    {
        const std::scoped_lock lock(this->state->table->mutex);
        this->state->table->stopping = true;
        for (auto &[number, socket] : this->state->table->sockets)
            shutDown(socket);
    }
    this->state->threads->joinAll();
}

void FakeHttpServer::closeConnection(std::uint64_t connection)
{
    const std::scoped_lock lock(this->state->table->mutex);
    const auto found = this->state->table->sockets.find(connection);
    if (found != this->state->table->sockets.end())
        shutDown(found->second);
}

std::string FakeHttpServer::address() const
{
    return this->state->socket.address().toString();
}

} // namespace Jujubekeel

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

/// State that the server shares with its connections. `mutex` guards `sockets` and `stopping`; the other members,
/// except for the atomic `nextNumber`, do not change after the server has been constructed.
struct ConnectionTable
{
    std::mutex mutex;
    std::map<std::uint64_t, Poco::Net::StreamSocket> sockets; ///< open connections by number
    std::atomic<std::uint64_t> nextNumber = 1;
    bool stopping = false;
    FakeHttpServer::RequestHandler handler;
    FakeHttpServer::ClosedCallback closed;
    std::size_t bodyLimit = 0;
};

void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The client has already closed the connection.
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

/// Reads a request body. Returns an empty value if it is longer than \a limit bytes.
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

class FakeRequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    FakeRequestHandler(std::shared_ptr<ConnectionTable> newTable, std::uint64_t newNumber)
        : table(std::move(newTable)), number(newNumber)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        Poco::Net::StreamSocket socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
        const FakeHttpResponse fakeResponse = this->handle(request, socket);
        if (fakeResponse.closeWithoutResponse) {
            response.setKeepAlive(false);
            shutDown(socket);
            return;
        }
        response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(fakeResponse.status));
        response.setContentType("application/json");
        if (!fakeResponse.etag.empty())
            response.set("ETag", '"' + fakeResponse.etag + '"');
        for (const auto &[name, value] : fakeResponse.headers)
            response.set(name, value);
        // The rest of an oversized body remains unread, so the connection cannot be used for another request.
        if (fakeResponse.status == 413)
            response.setKeepAlive(false);
        response.sendBuffer(fakeResponse.body.data(), fakeResponse.body.size());
    }

private:
    FakeHttpResponse handle(Poco::Net::HTTPServerRequest &request, const Poco::Net::StreamSocket &socket)
    {
        FakeHttpRequest fakeRequest{.connection = this->number, .method = request.getMethod()};
        try {
            const Poco::URI uri(request.getURI());
            fakeRequest.path = uri.getPath();
            for (const auto &[name, value] : uri.getQueryParameters())
                fakeRequest.query.insert_or_assign(name, value);
        } catch (const Poco::Exception &) {
            return errorResponse(400, ResultCode::MalformedRequest, "the request URI is not valid");
        }
        fakeRequest.ifMatch = request.get("If-Match", "");
        std::erase(fakeRequest.ifMatch, '"');
        auto body = readBody(request.stream(), this->table->bodyLimit);
        if (!body)
            return errorResponse(413, ResultCode::RequestTooLarge, "the request body is longer than the limit");
        fakeRequest.body = *std::move(body);
        fakeRequest.isDisconnected = [&] { return isClosedByPeer(socket); };
        return this->table->handler(fakeRequest);
    }

    std::shared_ptr<ConnectionTable> table;
    std::uint64_t number = 0;
};

/// Creates the handlers of one connection. Has the lifetime of the connection: registers it when constructed, and
/// reports its closing when destroyed.
class FakeRequestHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    FakeRequestHandlerFactory(std::shared_ptr<ConnectionTable> newTable, const Poco::Net::StreamSocket &socket)
        : table(std::move(newTable)), number(this->table->nextNumber++)
    {
        const std::scoped_lock lock(this->table->mutex);
        const auto [entry, added] = this->table->sockets.emplace(this->number, socket);
        if (this->table->stopping && added)
            shutDown(entry->second);
    }
    ~FakeRequestHandlerFactory() override
    {
        {
            const std::scoped_lock lock(this->table->mutex);
            this->table->sockets.erase(this->number);
        }
        this->table->closed(this->number);
    }
    FakeRequestHandlerFactory(const FakeRequestHandlerFactory &) = delete;
    FakeRequestHandlerFactory &operator=(const FakeRequestHandlerFactory &) = delete;

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new FakeRequestHandler(this->table, this->number);
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
        params->setKeepAliveTimeout(Poco::Timespan(3600, 0)); // 1 h; the fake itself closes idle sessions earlier
        Poco::Net::HTTPRequestHandlerFactory::Ptr handlers = new FakeRequestHandlerFactory(this->table, socket);
        return new Poco::Net::HTTPServerConnection(socket, params, handlers);
    }

private:
    std::shared_ptr<ConnectionTable> table;
};

} // namespace

FakeHttpResponse errorResponse(int status, ResultCode code, const std::string &text)
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

FakeHttpServer::FakeHttpServer(const FakeHttpServerOptions &options, RequestHandler handler, ClosedCallback closed)
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

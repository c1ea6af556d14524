#include "net/httplistener.h"

#include "net/boottime.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <istream>
#include <optional>

namespace Jujubekeel {

namespace {

/// Gives access to the number of bytes that were read beyond the current request.
class BufferedSession final : public Poco::Net::HTTPServerSession
{
public:
    using HTTPServerSession::HTTPServerSession;
    using HTTPSession::buffered;
};

enum class Phase : std::uint8_t {
    Idle,    ///< no request; watched for input
    Reading, ///< a worker reads a request
    Waiting, ///< the handler processes the request; watched for a disconnect
    Writing, ///< a worker writes the response
    Closed,
};

/// Bytes of a request header that are awaited before a worker reads it.
constexpr std::size_t headerPeekLimit = std::size_t{16} * 1024;
/// Limit of unread input, in bytes, that is discarded before a refused connection is closed.
constexpr std::size_t drainLimit = std::size_t{4} * 1024 * 1024;

/// Pause after a failed accept. While descriptors are exhausted, the listening socket stays readable and an accept would
/// fail again at once.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
/// Longest wait of the watcher, which bounds the delay of time limits.
constexpr Duration sweepInterval = std::chrono::milliseconds(500);

std::atomic<std::uint64_t> nextExchange{1};

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

} // namespace

struct HttpListener::Connection
{
    Poco::Net::StreamSocket socket;
    std::unique_ptr<BufferedSession> session;
    std::unique_ptr<Poco::Net::HTTPServerResponseImpl> response;
    std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
    int descriptor = -1;
    // Guarded by State::mutex.
    Phase phase = Phase::Idle;
    TimePoint phaseStart{0};
    std::uint64_t exchangeId = 0;
    HttpResponse pendingResponse;
    bool keepAlive = false; ///< used by the worker that serves the request
};

struct HttpListener::State
{
    Poco::Net::ServerSocket server;
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    int epoll = -1;
    int wake = -1; ///< eventfd that ends the watcher's wait

    mutable std::mutex mutex;
    std::condition_variable workAvailable;
    std::condition_variable requestFinished;
    std::map<int, ConnectionPointer> connections; ///< by descriptor
    std::map<std::uint64_t, ConnectionPointer> exchanges;
    std::deque<ConnectionPointer> workQueue;
    std::uint32_t activeRequests = 0; ///< connections from the start of a request to the end of its response
    std::uint64_t refused = 0;
    std::uint64_t failedAccepts = 0;
    TimePoint acceptPausedUntil{0}; ///< 0: connections are accepted; used by the watcher only
    bool accepting = true;
    bool stopping = false;
};

std::string HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (Poco::icompare(key, std::string(name)) == 0)
            return value;
    }
    return {};
}

HttpListener::HttpListener(HttpListenerOptions listenerOptions, Handler handlerFunction,
                           DisconnectHandler disconnectFunction, ErrorResponse errorFunction)
    : options(std::move(listenerOptions)), handler(std::move(handlerFunction)),
      disconnectHandler(std::move(disconnectFunction)), errorResponse(std::move(errorFunction)),
      state(std::make_unique<State>())
{
    assert(this->handler && this->disconnectHandler && this->errorResponse && this->options.threads > 0);
    this->state->server.bind(Poco::Net::SocketAddress(this->options.address), true, false);
    this->state->server.listen(256);
    this->state->server.setBlocking(false);
    this->boundAddress = this->state->server.address().toString();
    this->state->epoll = epoll_create1(EPOLL_CLOEXEC);
    this->state->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (this->state->epoll < 0 || this->state->wake < 0)
        throw Poco::IOException("cannot create an event queue", errno);

    for (const int descriptor : {this->state->server.impl()->sockfd(), this->state->wake}) {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        epoll_ctl(this->state->epoll, EPOLL_CTL_ADD, descriptor, &event);
    }
}

HttpListener::~HttpListener()
{
    this->stop(Duration{0});
    ::close(this->state->epoll);
    ::close(this->state->wake);
}

std::size_t HttpListener::connectionCount() const
{
    const std::scoped_lock lock(this->state->mutex);
    return this->state->connections.size();
}

std::uint64_t HttpListener::refusedConnections() const
{
    const std::scoped_lock lock(this->state->mutex);
    return this->state->refused;
}

std::uint64_t HttpListener::failedAccepts() const
{
    const std::scoped_lock lock(this->state->mutex);
    return this->state->failedAccepts;
}

void HttpListener::start()
{
    assert(this->workers.empty());
    this->watcher = std::thread([this] { this->runWatcher(); });
    for (std::uint32_t index = 0; index < this->options.threads; ++index)
        this->workers.emplace_back([this] { this->runWorker(); });
}

void HttpListener::stop(Duration wait)
{
    // Let the requests in progress finish.
    {
        std::unique_lock lock(this->state->mutex);
        this->state->accepting = false;
        epoll_ctl(this->state->epoll, EPOLL_CTL_DEL, this->state->server.impl()->sockfd(), nullptr);
        this->state->requestFinished.wait_for(lock, wait, [this] { return this->state->activeRequests == 0; });

        // Shutting down the sockets ends blocked reads and writes of the workers.
        this->state->stopping = true;
        for (const auto &[descriptor, connection] : this->state->connections)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    this->state->workAvailable.notify_all();
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(this->state->wake, &one, sizeof one);
    if (this->watcher.joinable())
        this->watcher.join();
    for (std::thread &worker : this->workers)
        worker.join();
    this->workers.clear();

    const std::scoped_lock lock(this->state->mutex);
    this->state->exchanges.clear();
    this->state->workQueue.clear();
    this->state->connections.clear();
    this->state->server.close();
}

void HttpListener::respond(std::uint64_t exchangeId, HttpResponse response)
{
    const std::scoped_lock lock(this->state->mutex);
    const auto found = this->state->exchanges.find(exchangeId);
    if (found == this->state->exchanges.end())
        return;
    const ConnectionPointer connection = found->second;
    this->state->exchanges.erase(found);
    connection->pendingResponse = std::move(response);
    // A handler may answer before readRequest() has returned; that worker then writes the response itself.
    const bool waiting = connection->phase == Phase::Waiting;
    connection->phase = Phase::Writing;
    connection->phaseStart = bootTime();
    if (waiting) {
        this->state->workQueue.push_back(connection);
        this->state->workAvailable.notify_one();
    }
}

void HttpListener::enqueue(const ConnectionPointer &connection)
{
    connection->phase = Phase::Reading;
    connection->phaseStart = bootTime();
    this->state->activeRequests += 1;
    this->state->workQueue.push_back(connection);
    this->state->workAvailable.notify_one();
}

bool HttpListener::awaitHeader(const Connection &connection)
{
    // A worker that read a header as it arrives would be held by a client that sends it slowly.
    std::array<char, headerPeekLimit> buffer{};
    const ssize_t size = ::recv(connection.descriptor, buffer.data(), buffer.size(), MSG_PEEK | MSG_DONTWAIT);
    const bool waits = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    const std::string_view text(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    const bool complete =
        !waits
        && (size <= 0 || text.size() == buffer.size() || text.find("\r\n\r\n") != std::string_view::npos
            || text.find("\n\n") != std::string_view::npos);
    // The socket becomes readable again when it holds more than now.
    const int lowWater = complete ? 1 : static_cast<int>(text.size()) + 1;
    ::setsockopt(connection.descriptor, SOL_SOCKET, SO_RCVLOWAT, &lowWater, sizeof lowWater);
    if (complete)
        return true;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = connection.descriptor;
    epoll_ctl(this->state->epoll, EPOLL_CTL_MOD, connection.descriptor, &event);
    return false;
}

bool HttpListener::replaceIdle()
{
    if (!this->options.replacesIdle)
        return false;
    auto oldest = this->state->connections.end();
    for (auto entry = this->state->connections.begin(); entry != this->state->connections.end(); ++entry) {
        if (entry->second->phase == Phase::Idle
            && (oldest == this->state->connections.end() || entry->second->phaseStart < oldest->second->phaseStart))
            oldest = entry;
    }
    if (oldest == this->state->connections.end())
        return false;
    oldest->second->phase = Phase::Closed;
    this->state->connections.erase(oldest);
    return true;
}

void HttpListener::runWatcher()
{
    std::array<epoll_event, 64> events{};
    TimePoint nextSweep = bootTime();
    while (true) {
        const bool paused = this->state->acceptPausedUntil.count() != 0;
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(paused ? acceptRetryDelay : sweepInterval);
        const int count = epoll_wait(this->state->epoll, events.data(), static_cast<int>(events.size()),
                                     static_cast<int>(wait.count()));
        std::vector<std::uint64_t> abandonedExchanges;
        bool acceptable = false;
        {
            const std::scoped_lock lock(this->state->mutex);
            if (this->state->stopping)
                return;
            for (int index = 0; index < count; ++index) {
                const int descriptor = events.at(static_cast<std::size_t>(index)).data.fd;
                if (descriptor == this->state->server.impl()->sockfd()) {
                    acceptable = this->state->accepting;
                    continue;
                }
                const auto found = this->state->connections.find(descriptor);
                if (found == this->state->connections.end())
                    continue;
                const ConnectionPointer connection = found->second;
                if (connection->phase == Phase::Idle) {
                    // A client that has ended its side sends no more of a header.
                    const bool ended = (events.at(static_cast<std::size_t>(index)).events & ~EPOLLIN) != 0;
                    if (ended || this->awaitHeader(*connection))
                        this->enqueue(connection);
                } else if (connection->phase == Phase::Waiting) {
                    // The client disconnected, so the response is not needed any more.
                    abandonedExchanges.push_back(connection->exchangeId);
                    this->state->exchanges.erase(connection->exchangeId);
                    connection->phase = Phase::Closed;
                    this->state->connections.erase(found);
                    this->state->activeRequests -= 1;
                    this->state->requestFinished.notify_all();
                }
            }
        }
        for (const std::uint64_t exchangeId : abandonedExchanges)
            this->disconnectHandler(exchangeId);
        if (acceptable)
            this->acceptConnections();
        this->resumeAccepting();
        if (bootTime() >= nextSweep) {
            this->closeTimedOut();
            nextSweep = bootTime() + sweepInterval;
        }
    }
}

void HttpListener::watchServer(int operation)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = this->state->server.impl()->sockfd();
    epoll_ctl(this->state->epoll, operation, event.data.fd, &event);
}

void HttpListener::pauseAccepting()
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->failedAccepts += 1;
    // The connection that makes room is closed at once, and the socket is still readable.
    if (this->replaceIdle())
        return;
    this->state->acceptPausedUntil = bootTime() + acceptRetryDelay;
    this->watchServer(EPOLL_CTL_DEL);
}

void HttpListener::resumeAccepting()
{
    const std::scoped_lock lock(this->state->mutex);
    if (this->state->acceptPausedUntil.count() == 0 || bootTime() < this->state->acceptPausedUntil)
        return;
    this->state->acceptPausedUntil = TimePoint{0};
    if (this->state->accepting)
        this->watchServer(EPOLL_CTL_ADD);
}

void HttpListener::acceptConnections()
{
    while (true) {
        const int descriptor = ::accept4(this->state->server.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            // Other errors belong to a connection that has ended before it was accepted.
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
                this->pauseAccepting();
            return;
        }
        const std::scoped_lock lock(this->state->mutex);
        auto connection = std::make_shared<Connection>();
        connection->socket = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
        connection->descriptor = descriptor;
        if (this->state->connections.size() >= this->options.maxConnections && !this->replaceIdle()) {
            // Best effort: the response fits into the empty send buffer, so this does not block.
            this->state->refused += 1;
            const std::string body = this->errorResponse(ResultCode::QueueFull, "too many connections").body;
            const std::string text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: "
                                     "application/json\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body;
            [[maybe_unused]] const auto sent =
                ::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            ::shutdown(descriptor, SHUT_WR);
            continue;
        }
        try {
            connection->socket.setNoDelay(true);
            if (this->options.kernelBufferBytes > 0) {
                connection->socket.setReceiveBufferSize(this->options.kernelBufferBytes);
                connection->socket.setSendBufferSize(this->options.kernelBufferBytes);
            }
            connection->socket.setReceiveTimeout(toTimespan(this->options.readTimeout));
            connection->socket.setSendTimeout(toTimespan(this->options.readTimeout));
            connection->session = std::make_unique<BufferedSession>(connection->socket, this->state->params);
        } catch (const Poco::Exception &) {
            continue; // the client has already disconnected
        }
        connection->phaseStart = bootTime();
        this->state->connections.emplace(descriptor, connection);
        epoll_event event{};
        event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
        event.data.fd = descriptor;
        epoll_ctl(this->state->epoll, EPOLL_CTL_ADD, descriptor, &event);
    }
}

void HttpListener::closeTimedOut()
{
    const std::scoped_lock lock(this->state->mutex);
    const TimePoint now = bootTime();
    for (auto entry = this->state->connections.begin(); entry != this->state->connections.end();) {
        Connection &connection = *entry->second;
        const Duration age = now - connection.phaseStart;
        if (connection.phase == Phase::Idle && age > this->options.idleTimeout) {
            connection.phase = Phase::Closed;
            entry = this->state->connections.erase(entry);
            continue;
        }
        // The shutdown makes the worker's read or write fail, and the worker then closes the connection.
        if ((connection.phase == Phase::Reading || connection.phase == Phase::Writing)
            && age > this->options.readTimeout)
            ::shutdown(connection.descriptor, SHUT_RDWR);
        ++entry;
    }
}

void HttpListener::runWorker()
{
    while (true) {
        ConnectionPointer connection;
        Phase phase = Phase::Closed;
        {
            std::unique_lock lock(this->state->mutex);
            this->state->workAvailable.wait(
                lock, [this] { return this->state->stopping || !this->state->workQueue.empty(); });
            if (this->state->workQueue.empty())
                return;
            connection = this->state->workQueue.front();
            this->state->workQueue.pop_front();
            phase = connection->phase;
        }
        if (phase == Phase::Reading)
            this->readRequest(connection);
        else if (phase == Phase::Writing)
            this->writeResponse(connection);
    }
}

void HttpListener::readRequest(const ConnectionPointer &connection)
{
    HttpRequest httpRequest;
    try {
        connection->request.reset();
        connection->response = std::make_unique<Poco::Net::HTTPServerResponseImpl>(*connection->session);
        connection->request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(
            *connection->response, *connection->session, this->state->params.get());
        Poco::Net::HTTPServerRequestImpl &request = *connection->request;

        // Size and framing of the body.
        const bool chunked = request.getChunkedTransferEncoding();
        if (chunked && request.hasContentLength()) {
            this->refuseRequest(connection, ResultCode::MalformedRequest,
                                "header: Content-Length and Transfer-Encoding exclude each other");
            return;
        }
        if (request.hasContentLength() && request.getContentLength64() < 0) {
            this->refuseRequest(connection, ResultCode::MalformedRequest, "header: Content-Length is negative");
            return;
        }
        if (request.hasContentLength() && request.getContentLength64() > this->options.maxBodyBytes) {
            this->refuseRequest(connection, ResultCode::RequestTooLarge,
                                "body: " + std::to_string(request.getContentLength64()) + " bytes, limit "
                                    + std::to_string(this->options.maxBodyBytes));
            return;
        }
        // Without either header there is no body; POCO would read until the end of the connection.
        const bool hasBody = chunked || request.hasContentLength();
        if (request.getExpectContinue())
            connection->response->sendContinue();

        // Read until the limit is exceeded, to detect a chunked body that is too large.
        if (hasBody) {
            std::array<char, 16384> buffer{};
            std::istream &input = request.stream();
            while (input && httpRequest.body.size() <= this->options.maxBodyBytes) {
                input.read(buffer.data(), buffer.size());
                httpRequest.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
            }
            if (httpRequest.body.size() > this->options.maxBodyBytes) {
                this->refuseRequest(connection, ResultCode::RequestTooLarge,
                                    "body: longer than " + std::to_string(this->options.maxBodyBytes)
                                        + " bytes, the limit of the settings");
                return;
            }
            if (request.hasContentLength()
                && httpRequest.body.size() != static_cast<std::size_t>(request.getContentLength64())) {
                this->refuseRequest(connection, ResultCode::MalformedRequest,
                                    "body: byte " + std::to_string(httpRequest.body.size())
                                        + ": ends before its Content-Length");
                return;
            }
        }

        httpRequest.method = request.getMethod();
        httpRequest.clientAddress = request.clientAddress().host().toString();
        httpRequest.path = Poco::URI(request.getURI()).getPath();
        httpRequest.headers.reserve(request.size());
        for (const auto &[name, value] : request)
            httpRequest.headers.emplace_back(name, value);
    } catch (const Poco::Net::NoMessageException &) {
        this->close(connection); // the client disconnected between two requests
        return;
    } catch (const Poco::TimeoutException &) {
        this->close(connection);
        return;
    } catch (const Poco::Net::ConnectionResetException &) {
        this->close(connection);
        return;
    } catch (const Poco::Exception &error) {
        this->refuseRequest(connection, ResultCode::MalformedRequest, "request line or header: " + error.displayText());
        return;
    } catch (const std::exception &error) {
        this->refuseRequest(connection, ResultCode::MalformedRequest,
                            std::string("request line or header: ") + error.what());
        return;
    }

    // The headers, up to 800 KB, are not kept while the request waits.
    connection->keepAlive = connection->request->getKeepAlive();
    connection->request->clear();
    // From here the handler may answer at any time, from any thread.
    httpRequest.exchangeId = nextExchange.fetch_add(1);
    {
        const std::scoped_lock lock(this->state->mutex);
        connection->exchangeId = httpRequest.exchangeId;
        this->state->exchanges.emplace(httpRequest.exchangeId, connection);
    }
    this->handler(std::move(httpRequest));

    {
        const std::scoped_lock lock(this->state->mutex);
        if (connection->phase == Phase::Reading) {
            connection->phase = Phase::Waiting;
            connection->phaseStart = bootTime();
            epoll_event event{};
            event.events = EPOLLRDHUP | EPOLLONESHOT;
            event.data.fd = connection->descriptor;
            epoll_ctl(this->state->epoll, EPOLL_CTL_MOD, connection->descriptor, &event);
            return;
        }
    }
    this->writeResponse(connection);
}

void HttpListener::sendResponse(Connection &connection, const HttpResponse &content, bool keepAlive)
{
    Poco::Net::HTTPServerResponseImpl &response = *connection.response;
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(content.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setContentType(content.contentType);
    response.setKeepAlive(keepAlive);
    for (const auto &[name, value] : content.headers)
        response.set(name, value);
    response.sendBuffer(content.body.data(), content.body.size());
    // POCO flushes the output when the response object is destroyed.
    connection.request.reset();
    connection.response.reset();
}

void HttpListener::writeResponse(const ConnectionPointer &connection)
{
    bool keepAlive = false;
    try {
        keepAlive = connection->keepAlive;
        this->sendResponse(*connection, connection->pendingResponse, keepAlive);
    } catch (const std::exception &) {
        keepAlive = false; // the client has disconnected or does not read
    }
    connection->pendingResponse = HttpResponse{};
    if (keepAlive)
        this->waitForNextRequest(connection);
    else
        this->close(connection);
}

void HttpListener::refuseRequest(const ConnectionPointer &connection, ResultCode code, const std::string &text)
{
    try {
        if (!connection->response || connection->response->sent())
            connection->response = std::make_unique<Poco::Net::HTTPServerResponseImpl>(*connection->session);
        this->sendResponse(*connection, this->errorResponse(code, text), false);

        // Closing with unread input would reset the connection before the client has read the response.
        connection->socket.shutdownSend();
        std::array<char, 16384> buffer{};
        std::size_t drained = 0;
        connection->socket.setReceiveTimeout(Poco::Timespan(0, 500'000));
        while (drained < drainLimit) {
            const int received = connection->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (received <= 0)
                break;
            drained += static_cast<std::size_t>(received);
        }
    } catch (const std::exception &) {
        // The client has disconnected or does not read; the connection is closed below.
    }
    this->close(connection);
}

void HttpListener::waitForNextRequest(const ConnectionPointer &connection)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->activeRequests -= 1;
    this->state->requestFinished.notify_all();
    if (this->state->stopping)
        return;
    connection->phase = Phase::Idle;
    connection->phaseStart = bootTime();
    if (connection->session->buffered() > 0) {
        // The next request was received together with this one (pipelining).
        this->enqueue(connection);
        return;
    }
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = connection->descriptor;
    epoll_ctl(this->state->epoll, EPOLL_CTL_MOD, connection->descriptor, &event);
}

void HttpListener::close(const ConnectionPointer &connection)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->activeRequests -= 1;
    this->state->requestFinished.notify_all();
    connection->phase = Phase::Closed;
    this->state->connections.erase(connection->descriptor);
}

} // namespace Jujubekeel

#include "net/httplistener.h"

#include "net/boottime.h"
#include "net/httplistenerstate.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/String.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <cerrno>

namespace Jujubekeel {

namespace {

/// Bytes of a request header that are awaited before a worker reads it.
constexpr std::size_t headerPeekLimit = std::size_t{16} * 1024;

/// Pause after a failed accept. While descriptors are exhausted, the listening socket stays readable and an accept would
/// fail again at once.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
/// Longest wait of the watcher, which bounds the delay of time limits.
constexpr Duration sweepInterval = std::chrono::milliseconds(500);

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

} // namespace

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
    const bool waiting = connection->phase == HttpPhase::Waiting;
    connection->phase = HttpPhase::Writing;
    connection->phaseStart = bootTime();
    if (waiting) {
        this->state->workQueue.push_back(connection);
        this->state->workAvailable.notify_one();
    }
}

void HttpListener::enqueue(const ConnectionPointer &connection)
{
    connection->phase = HttpPhase::Reading;
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
        if (entry->second->phase == HttpPhase::Idle
            && (oldest == this->state->connections.end() || entry->second->phaseStart < oldest->second->phaseStart))
            oldest = entry;
    }
    if (oldest == this->state->connections.end())
        return false;
    oldest->second->phase = HttpPhase::Closed;
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
                if (connection->phase == HttpPhase::Idle) {
                    // A client that has ended its side sends no more of a header.
                    const bool ended = (events.at(static_cast<std::size_t>(index)).events & ~EPOLLIN) != 0;
                    if (ended || this->awaitHeader(*connection))
                        this->enqueue(connection);
                } else if (connection->phase == HttpPhase::Waiting) {
                    // The client disconnected, so the response is not needed any more.
                    abandonedExchanges.push_back(connection->exchangeId);
                    this->state->exchanges.erase(connection->exchangeId);
                    connection->phase = HttpPhase::Closed;
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
            connection->session = std::make_unique<HttpBufferedSession>(connection->socket, this->state->params);
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
        if (connection.phase == HttpPhase::Idle && age > this->options.idleTimeout) {
            connection.phase = HttpPhase::Closed;
            entry = this->state->connections.erase(entry);
            continue;
        }
        // The shutdown makes the worker's read or write fail, and the worker then closes the connection.
        if ((connection.phase == HttpPhase::Reading || connection.phase == HttpPhase::Writing)
            && age > this->options.readTimeout)
            ::shutdown(connection.descriptor, SHUT_RDWR);
        ++entry;
    }
}

void HttpListener::runWorker()
{
    while (true) {
        ConnectionPointer connection;
        HttpPhase phase = HttpPhase::Closed;
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
        if (phase == HttpPhase::Reading)
            this->readRequest(connection);
        else if (phase == HttpPhase::Writing)
            this->writeResponse(connection);
    }
}

void HttpListener::waitForNextRequest(const ConnectionPointer &connection)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->activeRequests -= 1;
    this->state->requestFinished.notify_all();
    if (this->state->stopping)
        return;
    connection->phase = HttpPhase::Idle;
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
    connection->phase = HttpPhase::Closed;
    this->state->connections.erase(connection->descriptor);
}

} // namespace Jujubekeel
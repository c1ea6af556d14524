#include "net/streamconnection.h"

#include "net/boottime.h"

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace Jujubekeel {

namespace {

/// Bytes of one read.
constexpr std::size_t readBytes = 16384;
/// Larger output buffers are released when they have been written.
constexpr std::size_t keptBufferBytes = 2048;

} // namespace

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string_view portText = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, portError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    asio::error_code hostError;
    const auto host = asio::ip::make_address(std::string(address.substr(0, colon)), hostError);
    if (hostError || portText.empty() || portError != std::errc{} || end != portText.data() + portText.size())
        return std::nullopt;
    return asio::ip::tcp::endpoint(host, port);
}

asio::ip::tcp::endpoint toEndpoint(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        throw std::runtime_error("not an address of the form ip:port: " + address);
    return *endpoint;
}

StreamConnection::StreamConnection(asio::ip::tcp::socket tcpSocket, StreamConnectionOptions connectionOptions)
    : socket(std::move(tcpSocket)), closeTimer(this->socket.get_executor()), options(connectionOptions)
{
}

void StreamConnection::configure()
{
    // The network may drop packets of a connection without a reset; the kernel then detects missing acknowledgements.
    const int descriptor = this->socket.native_handle();
    const auto set = [descriptor](int level, int name, int value) {
        ::setsockopt(descriptor, level, name, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, this->options.userTimeoutMs);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, this->options.keepAliveIdleS);
    set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(IPPROTO_TCP, TCP_KEEPCNT, 2);
    if (this->options.kernelBufferBytes > 0) {
        set(SOL_SOCKET, SO_RCVBUF, this->options.kernelBufferBytes);
        set(SOL_SOCKET, SO_SNDBUF, this->options.kernelBufferBytes);
    }
    asio::error_code ignored;
    this->socket.non_blocking(true, ignored);
}

void StreamConnection::start(Callbacks streamCallbacks)
{
    this->callbacks = std::move(streamCallbacks);
    this->connected = true;
    this->configure();
    this->read();
}

void StreamConnection::connect(const asio::ip::tcp::endpoint &address, Callbacks streamCallbacks)
{
    this->callbacks = std::move(streamCallbacks);
    asio::error_code error;
    this->socket.open(address.protocol(), error);
    if (!error)
        this->configure();
    this->socket.async_connect(address, [self = this->shared_from_this()](const asio::error_code &failure) {
        if (self->isClosed)
            return;
        if (failure) {
            self->end(StreamCloseReason::Refused);
            return;
        }
        self->connected = true;
        if (self->callbacks.connected)
            self->callbacks.connected();
        self->read();
        self->flush();
    });
}

void StreamConnection::send(std::string_view bytes)
{
    if (!this->isClosed && !this->closing)
        this->sendBuffer += bytes;
}

void StreamConnection::flush()
{
    if (this->isClosed)
        return;
    if (this->sendBuffer.size() > this->options.sendLimit) {
        this->end(StreamCloseReason::SendLimitExceeded);
        return;
    }
    if (this->connected && !this->isWriting && !this->sendBuffer.empty())
        this->write();
}

void StreamConnection::write()
{
    this->isWriting = true;
    this->writeStartedAt = bootTime();
    this->writeBuffer.swap(this->sendBuffer);
    asio::async_write(this->socket, asio::buffer(this->writeBuffer),
                      [self = this->shared_from_this()](const asio::error_code &failure, std::size_t) {
                          self->isWriting = false;
                          self->writeStartedAt.reset();
                          self->writeBuffer.clear();
                          if (self->writeBuffer.capacity() > keptBufferBytes)
                              self->writeBuffer.shrink_to_fit();
                          if (self->isClosed)
                              return;
                          if (failure)
                              self->end(StreamCloseReason::Broken);
                          else if (!self->sendBuffer.empty())
                              self->write();
                          else if (self->closing)
                              self->finishClosing();
                          if (!self->isClosed && !self->closing && self->callbacks.written)
                              self->callbacks.written();
                      });
}

void StreamConnection::read()
{
    if (this->isReading || this->isPaused)
        return;
    this->isReading = true;
    this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                            [self = this->shared_from_this()](const asio::error_code &failure) {
                                self->isReading = false;
                                if (self->isClosed)
                                    return;
                                if (failure)
                                    self->end(StreamCloseReason::Broken);
                                else if (!self->isPaused)
                                    self->readAvailable();
                            });
}

void StreamConnection::readAvailable()
{
    // Shared by the connections of a thread, so that one without input needs no buffer.
    thread_local std::array<char, readBytes> input;
    asio::error_code failure;
    const std::size_t size = this->socket.read_some(asio::buffer(input), failure);
    if (failure && failure != asio::error::would_block) {
        this->end(StreamCloseReason::Broken);
        return;
    }
    if (size > 0 && !this->closing)
        this->callbacks.data(std::string_view(input.data(), size));
    if (!this->isClosed)
        this->read();
}

void StreamConnection::resumeReading()
{
    if (!this->isPaused)
        return;
    this->isPaused = false;
    if (this->connected && !this->isClosed)
        this->read();
}

void StreamConnection::close()
{
    if (this->isClosed || this->closing)
        return;
    this->closing = true;
    if (!this->connected) {
        this->abort();
        return;
    }
    this->resumeReading();
    if (!this->isWriting && this->sendBuffer.empty()) {
        this->finishClosing();
        return;
    }
    this->closeTimer.expires_after(this->options.closeLimit);
    this->closeTimer.async_wait([self = this->shared_from_this()](const asio::error_code &cancelled) {
        if (!cancelled)
            self->abort();
    });
    this->flush();
}

void StreamConnection::finishClosing()
{
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->closeTimer.expires_after(this->options.closeWait);
    this->closeTimer.async_wait([self = this->shared_from_this()](const asio::error_code &cancelled) {
        if (!cancelled)
            self->abort();
    });
}

void StreamConnection::abort()
{
    this->isClosed = true;
    asio::error_code ignored;
    this->socket.close(ignored);
    this->closeTimer.cancel();
}

void StreamConnection::end(StreamCloseReason reason)
{
    const bool report = !this->isClosed && !this->closing;
    this->abort();
    if (report)
        this->callbacks.closed(reason);
}

} // namespace Jujubekeel

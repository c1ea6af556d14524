#include "tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>

namespace Review {

namespace {

constexpr std::size_t readBytes = 16384;
constexpr int backlog = 128;

sockaddr_in toAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

int openSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

} // namespace

std::uint16_t findFreePort(const std::string &host)
{
    const int descriptor = openSocket();
    sockaddr_in address = toAddress({.host = host});
    socklen_t size = sizeof address;
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) == 0
                       && ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    ::close(descriptor);
    return bound ? ntohs(address.sin_port) : std::uint16_t{0};
}

int listenAt(const Endpoint &endpoint)
{
    const int descriptor = openSocket();
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = toAddress(endpoint);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && ::listen(descriptor, backlog) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

int connectTo(const Endpoint &endpoint, int timeoutMs)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = toAddress(endpoint);
    int failure = 0;
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        failure = errno;
        pollfd watched{.fd = descriptor, .events = POLLOUT, .revents = 0};
        socklen_t size = sizeof failure;
        if (failure == EINPROGRESS && ::poll(&watched, 1, timeoutMs) == 1)
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

void resetSocket(int descriptor)
{
    const linger abort{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(descriptor);
}

bool SocketReader::fill(int timeoutMs)
{
    pollfd watched{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (::poll(&watched, 1, timeoutMs) != 1)
        return false;
    std::array<char, readBytes> input{};
    const ssize_t count = ::recv(this->descriptor, input.data(), input.size(), 0);
    if (count <= 0)
        return false;
    this->buffer.append(input.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> SocketReader::line(int timeoutMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (true) {
        const std::size_t found = this->buffer.find("\r\n");
        if (found != std::string::npos) {
            std::string text = this->buffer.substr(0, found);
            this->buffer.erase(0, found + 2);
            return text;
        }
        int left = -1;
        if (timeoutMs >= 0) {
            const auto rest =
                std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
            left = static_cast<int>(std::max<std::int64_t>(rest.count(), 0));
        }
        if (!this->fill(left))
            return std::nullopt;
    }
}

std::optional<std::string> SocketReader::bytes(std::size_t count)
{
    while (this->buffer.size() < count) {
        if (!this->fill(-1))
            return std::nullopt;
    }
    std::string text = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return text;
}

bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace Review

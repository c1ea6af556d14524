#include "stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <thread>

namespace Review {

namespace {

constexpr std::size_t readSize = 16384;

/// Throws std::runtime_error unless the address is a loopback address with a port.
sockaddr_in parse(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    const std::string host(address.substr(0, colon));
    if (colon == std::string_view::npos || !host.starts_with("127.")
        || ::inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) != 1)
        throw std::runtime_error("not a loopback address: " + std::string(address));
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(std::string(address.substr(colon + 1)))));
    return parsed;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Stream::~Stream()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

int Stream::connectTo(std::string_view address, int receiveBuffer)
{
    const sockaddr_in target = parse(address);
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (opened < 0)
        return -1;
    if (receiveBuffer > 0)
        ::setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const int on = 1;
    ::setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(opened, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0)
        return opened;
    ::close(opened);
    return -1;
}

int Stream::listenAt(std::string_view address)
{
    const sockaddr_in bound = parse(address);
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(opened, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0 || ::listen(opened, 128) != 0)
        throw std::runtime_error("cannot listen at " + std::string(address));
    return opened;
}

bool Stream::fill()
{
    if (this->rate > 0) {
        std::this_thread::sleep_until(this->nextRead);
        this->nextRead = std::max(this->nextRead, std::chrono::steady_clock::now());
    }
    std::array<char, readSize> bytes{};
    const ssize_t size = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return false;
    if (this->rate > 0)
        this->nextRead += std::chrono::microseconds(size * 1'000'000 / this->rate);
    this->total += static_cast<std::uint64_t>(size);
    this->buffer.erase(0, this->used);
    this->used = 0;
    this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> Stream::readLine()
{
    std::size_t searched = this->used;
    while (true) {
        const std::size_t end = this->buffer.find("\r\n", searched);
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(this->used, end - this->used);
            this->used = end + 2;
            return line;
        }
        const std::size_t left = this->buffer.size() - this->used;
        if (!this->fill())
            return std::nullopt;
        searched = left > 0 ? left - 1 : 0;
    }
}

std::optional<std::string> Stream::readBytes(std::size_t size)
{
    while (this->buffer.size() - this->used < size) {
        if (!this->fill())
            return std::nullopt;
    }
    std::string bytes = this->buffer.substr(this->used, size);
    this->used += size;
    return bytes;
}

bool Stream::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool Stream::isEnded() const
{
    if (this->used < this->buffer.size())
        return false;
    char byte = 0;
    return ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void Stream::shutDown() const
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

} // namespace Review

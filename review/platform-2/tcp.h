#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Review {

/// Address of the loopback range and port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return this->host + ':' + std::to_string(this->port); }
};

/// A free port of the address.
[[nodiscard]] std::uint16_t findFreePort(const std::string &host);
/// A listening socket; -1 if the address is taken.
[[nodiscard]] int listenAt(const Endpoint &endpoint);
/// A connected socket; -1 after a failure.
[[nodiscard]] int connectTo(const Endpoint &endpoint, int timeoutMs);
/// Closes a socket so that its peer sees a reset.
void resetSocket(int descriptor);

/// Reads lines that end with CR LF, and blocks of bytes, from a connected socket. Does not own it.
class SocketReader final
{
public:
    explicit SocketReader(int socketDescriptor) : descriptor(socketDescriptor) {}

    /// Empty if the connection ended or, with \a timeoutMs >= 0, no whole line arrived in time.
    std::optional<std::string> line(int timeoutMs = -1);
    std::optional<std::string> bytes(std::size_t count);

private:
    bool fill(int timeoutMs);

    int descriptor;
    std::string buffer;
};

/// Sends all bytes. Returns false if the connection has ended.
bool sendAll(int descriptor, const std::string &bytes);

} // namespace Review

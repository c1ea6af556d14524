#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Review {

/// Milliseconds of the wall clock, as in all records of a case.
[[nodiscard]] std::int64_t nowMs();

/// A blocking TCP connection to or from a loopback address that is read by lines or by counted bytes.
class Stream final
{
public:
    explicit Stream(int socketDescriptor) : descriptor(socketDescriptor) {}
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    /// Returns a descriptor, or -1. \a receiveBuffer: size of the kernel's buffer in bytes; 0: the system's default.
    [[nodiscard]] static int connectTo(std::string_view address, int receiveBuffer);
    /// Throws std::runtime_error if the address cannot be used.
    [[nodiscard]] static int listenAt(std::string_view address);

    /// The next line without its end; empty optional after the end of the connection.
    std::optional<std::string> readLine();
    /// Exactly \a size bytes; empty optional if the connection ends before.
    std::optional<std::string> readBytes(std::size_t size);
    bool write(std::string_view bytes);
    /// Limits the rate at which readLine() takes bytes; 0: no limit.
    void limitRate(std::int64_t bytesPerSecond) { this->rate = bytesPerSecond; }
    /// True if the peer has closed the connection and nothing is left to read.
    [[nodiscard]] bool isEnded() const;
    /// Bytes received so far.
    [[nodiscard]] std::uint64_t received() const { return this->total; }
    void shutDown() const;

private:
    bool fill();

    int descriptor = -1;
    std::string buffer;
    std::size_t used = 0;
    std::uint64_t total = 0;
    std::int64_t rate = 0;
    std::chrono::steady_clock::time_point nextRead;
};

} // namespace Review

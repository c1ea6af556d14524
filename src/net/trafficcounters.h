#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace Jujubekeel {

/// Messages and bytes that the shell sent and received, by channel and kind, and other counts of the shell. Owned by
/// ProxyShell; any thread.
class TrafficCounters final
{
public:
    enum class Direction : std::uint8_t { Sent, Received };

    /// \a channel is "peer", "platform", "backend-control" or "backend-work"; \a kind names the message. Forwarded requests
    /// and work connections count as request traffic, all else as control traffic.
    void count(std::string_view channel, Direction direction, std::string_view kind, std::size_t bytes);
    /// Adds to a counter of the shell; \a name follows the Prometheus conventions and may carry labels.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Lines in Prometheus text form, by full name.
    [[nodiscard]] std::map<std::string, std::uint64_t> all() const;

private:
    struct Row
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    mutable std::mutex mutex;
    std::map<std::tuple<std::string, Direction, std::string>, Row> rows;
    std::map<std::string, std::uint64_t, std::less<>> values;
};

} // namespace Jujubekeel

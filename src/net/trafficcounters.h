#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace Jujubekeel {

/// Counts sent and received messages and bytes by channel and kind of message, and holds the other counters of the
/// network side. Owned by ProxyDaemon; any thread.
class TrafficCounters final
{
public:
    enum class Direction : std::uint8_t { Sent, Received };

    /// \a channel is "peer", "platform", "backend-control" or "backend-work"; \a kind is the name of the message.
    /// Forwarded requests and work connections count as request traffic, everything else as control traffic.
    void count(std::string_view channel, Direction direction, std::string_view kind, std::size_t bytes);
    /// Adds to a counter; \a name is a Prometheus metric name and may include labels.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Values of all counters by full Prometheus name, labels included.
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

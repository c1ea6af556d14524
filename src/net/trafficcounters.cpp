#include "net/trafficcounters.h"

namespace Jujubekeel {

void TrafficCounters::count(std::string_view channel, Direction direction, std::string_view kind, std::size_t bytes)
{
    const std::scoped_lock lock(this->mutex);
    Row &row = this->rows[std::tuple(std::string(channel), direction, std::string(kind))];
    row.messages += 1;
    row.bytes += bytes;
}

void TrafficCounters::add(std::string_view name, std::uint64_t amount)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->values.find(name);
    if (found != this->values.end())
        found->second += amount;
    else
        this->values.emplace(name, amount);
}

std::map<std::string, std::uint64_t> TrafficCounters::all() const
{
    const std::scoped_lock lock(this->mutex);
    std::map<std::string, std::uint64_t> result(this->values.begin(), this->values.end());
    for (const auto &[key, row] : this->rows) {
        const auto &[channel, direction, kind] = key;
        std::string labels = "{channel=\"";
        labels.append(channel).append("\",direction=\"");
        labels.append(direction == Direction::Sent ? "sent" : "received").append("\",kind=\"");
        labels.append(kind).append("\"}");
        // Traffic in proportion to the requests is counted apart from control traffic.
        const bool isRequest = channel == "backend-work" || kind.starts_with("forward-");
        const std::string prefix = isRequest ? "jujubekeel_request_" : "jujubekeel_control_";
        result[prefix + "messages_total" + labels] = row.messages;
        result[prefix + "bytes_total" + labels] = row.bytes;
    }
    return result;
}

} // namespace Jujubekeel

#pragma once

#include "core/action.h"
#include "core/fleetlayout.h"
#include "core/input.h"
#include "net/peersocket.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

class Logger;
class TrafficCounters;

struct PeerLinksOptions
{
    FleetLayout layout;
    InstanceId self;
    std::vector<std::string> keys;
    Duration connectTimeout = std::chrono::milliseconds(500);
};

/// Encodes, sends and receives peer messages over PeerSocket. Owned by ProxyDaemon; send() is called from the core
/// thread and does not block.
class PeerLinks final
{
public:
    /// Returns false if the core's queue is full; the message is then dropped.
    using Post = std::function<bool(Input input)>;

    /// Binds this instance's peer address; throws std::runtime_error if that fails or if there is no key.
    PeerLinks(PeerLinksOptions options, Post post, Logger &logger, TrafficCounters &counters);

    void start();
    /// Sends queued messages for at most \a flush, then closes all connections.
    void stop(Duration flush);
    void send(const SendToPeer &action);

    [[nodiscard]] std::string address() const { return this->socket->address(); }
    [[nodiscard]] std::vector<PeerLinkState> states() const { return this->socket->states(); }

private:
    void receive(const std::string &peer, std::string_view bytes);

    PeerLinksOptions options;
    Post post;
    Logger &logger;
    TrafficCounters &counters;
    std::unique_ptr<PeerSocket> socket;
};

} // namespace Jujubekeel

#include "net/peerlinks.h"

#include "net/logger.h"
#include "net/trafficcounters.h"
#include "wire/peercbor.h"

#include <cassert>
#include <stdexcept>
#include <utility>

namespace Jujubekeel {

namespace {

PeerSocketOptions socketOptions(const PeerLinksOptions &options)
{
    PeerSocketOptions result;
    result.name = options.layout.at(options.self).name;
    result.listenAddress = options.layout.at(options.self).peerAddress;
    result.keys = options.keys;
    result.connectTimeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(options.connectTimeout).count();
    for (const InstanceSettings &instance : options.layout.instances) {
        if (instance.name != result.name)
            result.peers.push_back(PeerSocketPeer{.name = instance.name, .address = instance.peerAddress});
    }
    return result;
}

} // namespace

PeerLinks::PeerLinks(PeerLinksOptions linkOptions, Post postFunction, Logger &log, TrafficCounters &trafficCounters)
    : options(std::move(linkOptions)), post(std::move(postFunction)), logger(log), counters(trafficCounters)
{
    assert(this->post);
    if (this->options.keys.empty())
        throw std::runtime_error("peer links require at least one key");
    this->socket = std::make_unique<PeerSocket>(
        socketOptions(this->options),
        PeerSocket::Callbacks{
            .message = [this](const std::string &peer, std::string_view bytes) { this->receive(peer, bytes); },
            .event =
                [this](const char *event, const std::string &peer, const std::string &text) {
                    this->logger.write(LogLevel::Info, event, {{"peer", peer}, {"text", text}});
                }});
}

void PeerLinks::start()
{
    this->socket->start();
}

void PeerLinks::stop(Duration flush)
{
    this->socket->stop(std::chrono::duration_cast<std::chrono::milliseconds>(flush).count());
}

void PeerLinks::send(const SendToPeer &action)
{
    const std::string_view kind = peerMessageKind(action.message);
    std::string bytes = encodePeerMessage(action.message, this->options.layout);
    const std::size_t size = bytes.size();
    const bool isHeartbeat = std::holds_alternative<Heartbeat>(action.message);
    switch (this->socket->send(this->options.layout.at(action.to).name, std::move(bytes), isHeartbeat)) {
    case PeerSendResult::Queued:
        this->counters.count("peer", TrafficCounters::Direction::Sent, kind, size);
        break;
    case PeerSendResult::NotConnected:
        this->counters.add("jujubekeel_peer_messages_dropped_total{reason=\"not_connected\"}");
        break;
    case PeerSendResult::QueueFull:
        this->counters.add("jujubekeel_peer_messages_dropped_total{reason=\"queue_full\"}");
        break;
    }
}

void PeerLinks::receive(const std::string &peer, std::string_view bytes)
{
    const InstanceId from = this->options.layout.findInstance(peer);
    FailureReason reason;
    auto message = decodePeerMessage(bytes, this->options.layout, reason);
    if (!message || !from.isValid()) {
        this->counters.add("jujubekeel_peer_messages_rejected_total");
        this->logger.write(LogLevel::Warning, "peer-message-rejected", {{"peer", peer}, {"text", reason.text()}});
        return;
    }
    this->counters.count("peer", TrafficCounters::Direction::Received, peerMessageKind(*message), bytes.size());
    if (!this->post(PeerMessageArrived{.from = from, .message = std::move(*message)}))
        this->counters.add("jujubekeel_peer_messages_dropped_total{reason=\"core_queue_full\"}");
}

} // namespace Jujubekeel

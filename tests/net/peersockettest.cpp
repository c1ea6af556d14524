#include "net/peersocket.h"
#include "net/inputqueue.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

/// PeerSocket of one end of a link, with the messages it received and the events it reported.
class Endpoint final
{
public:
    Endpoint(const std::string &name, const std::string &listen, const std::string &peer,
             const std::string &peerAddress, std::vector<std::string> keys)
    {
        PeerSocketOptions options;
        options.name = name;
        options.listenAddress = listen;
        options.peers = {PeerSocketPeer{.name = peer, .address = peerAddress}};
        options.keys = std::move(keys);
        options.queueLimit = 1000;
        options.connectTimeoutMs = 5000;
        options.retryMaxMs = 100;
        this->socket = std::make_unique<PeerSocket>(
            options, PeerSocket::Callbacks{.message =
                                               [this](const std::string &from, std::string_view bytes) {
                                                   const std::scoped_lock lock(this->mutex);
                                                   this->messages.emplace_back(from, bytes);
                                               },
                                           .event =
                                               [this](const char *event, const std::string &, const std::string &) {
                                                   const std::scoped_lock lock(this->mutex);
                                                   this->events[event] += 1;
                                               }});
    }
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> received() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->messages;
    }
    [[nodiscard]] int count(const std::string &event) const
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->events.find(event);
        return found == this->events.end() ? 0 : found->second;
    }
    [[nodiscard]] bool isConnected() const { return this->socket->states().front().connected; }

private:
    mutable std::mutex mutex;
    std::vector<std::pair<std::string, std::string>> messages;
    std::map<std::string, int> events;

public:
    std::unique_ptr<PeerSocket> socket; ///< destroyed first: its callbacks use the members above
};

constexpr const char *anyPort = "127.0.0.1:0";

} // namespace

// Guards against messages that are lost, reordered or assigned to the wrong sender on a working link.
TEST(PeerSocket, messagesArriveInOrderWithTheirSender)
{
    Endpoint right("right", anyPort, "left", "127.0.0.1:1", {"key"});
    Endpoint left("left", anyPort, "right", right.socket->address(), {"key"});
    right.socket->start();
    left.socket->start();
    const std::vector<std::string> texts{"one", std::string("t\0wo", 4), "three"};
    for (const std::string &text : texts)
        EXPECT_EQ(left.socket->send("right", text, false), PeerSendResult::Queued);
    ASSERT_TRUE(eventually([&] { return right.received().size() == texts.size(); }));
    for (std::size_t index = 0; index < texts.size(); ++index) {
        EXPECT_EQ(right.received()[index].first, "left");
        EXPECT_EQ(right.received()[index].second, texts[index]);
    }
    EXPECT_EQ(left.socket->send("nobody", "x", false), PeerSendResult::NotConnected);
}

// Guards against accepting a peer that does not hold the shared key.
TEST(PeerSocket, wrongKeyIsRefused)
{
    Endpoint right("right", anyPort, "left", "127.0.0.1:1", {"key"});
    Endpoint left("left", anyPort, "right", right.socket->address(), {"another key"});
    right.socket->start();
    left.socket->start();
    (void)left.socket->send("right", "message", false);
    ASSERT_TRUE(eventually([&] { return right.count("peer-refused") > 0; }));
    EXPECT_FALSE(left.isConnected());
    EXPECT_TRUE(right.received().empty());
}

// Guards against accepting a peer that holds the key but is not in the settings.
TEST(PeerSocket, unknownNameIsRefused)
{
    Endpoint right("right", anyPort, "other", "127.0.0.1:1", {"key"});
    Endpoint left("left", anyPort, "right", right.socket->address(), {"key"});
    right.socket->start();
    left.socket->start();
    (void)left.socket->send("right", "message", false);
    ASSERT_TRUE(eventually([&] { return right.count("peer-refused") > 0; }));
    EXPECT_TRUE(right.received().empty());
}

// Guards against links that fail during a key rotation, while one side uses the new key first and the other the old
// one.
TEST(PeerSocket, twoKeysAreValidDuringKeyRotation)
{
    Endpoint right("right", anyPort, "left", "127.0.0.1:1", {"old", "new"});
    Endpoint left("left", anyPort, "right", right.socket->address(), {"new", "old"});
    right.socket->start();
    left.socket->start();
    (void)left.socket->send("right", "message", false);
    EXPECT_TRUE(eventually([&] { return right.received().size() == 1; }));
}

// Guards against links that are not re-established after a restart of the peer.
TEST(PeerSocket, linkIsReestablishedAfterARestart)
{
    auto right = std::make_unique<Endpoint>("right", anyPort, "left", "127.0.0.1:1", std::vector<std::string>{"key"});
    const std::string address = right->socket->address();
    Endpoint left("left", anyPort, "right", address, {"key"});
    right->socket->start();
    left.socket->start();
    (void)left.socket->send("right", "first", false);
    ASSERT_TRUE(eventually([&] { return right->received().size() == 1; }));
    right.reset();
    ASSERT_TRUE(eventually([&] { return !left.isConnected(); }));
    right = std::make_unique<Endpoint>("right", address, "left", "127.0.0.1:1", std::vector<std::string>{"key"});
    right->socket->start();
    ASSERT_TRUE(eventually([&] { return left.isConnected(); }));
    EXPECT_EQ(left.socket->send("right", "second", false), PeerSendResult::Queued);
    ASSERT_TRUE(eventually([&] { return right->received().size() == 1; }));
    EXPECT_EQ(right->received()[0].second, "second") << "a message sent before the restart was delivered after it";
}

// Guards against unbounded queues, and against dropping requests while heartbeats are queued.
TEST(PeerSocket, fullQueueDropsHeartbeatsFirst)
{
    // Accepts connections and never answers, so that messages stay queued.
    const Poco::Net::ServerSocket silent{Poco::Net::SocketAddress(anyPort)};
    Endpoint left("left", anyPort, "right", silent.address().toString(), {"key"});
    left.socket->start();
    const std::string part(300, 'x');
    EXPECT_EQ(left.socket->send("right", part, true), PeerSendResult::Queued);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::Queued);
    EXPECT_EQ(left.socket->send("right", part, true), PeerSendResult::Queued);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::Queued); // drops the first heartbeat
    EXPECT_EQ(left.socket->states().front().droppedMessages, 1U);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::Queued); // drops the second heartbeat
    EXPECT_EQ(left.socket->states().front().droppedMessages, 2U);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::QueueFull);
    EXPECT_EQ(left.socket->states().front().queuedBytes, 900U);
}

} // namespace Jujubekeel

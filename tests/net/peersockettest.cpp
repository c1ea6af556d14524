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

/// One side of a link with what it received.
class Side final
{
public:
    Side(const std::string &name, const std::string &listen, const std::string &peer, const std::string &peerAddress,
         std::vector<std::string> keys)
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
    Side right("right", anyPort, "left", "127.0.0.1:1", {"key"});
    Side left("left", anyPort, "right", right.socket->address(), {"key"});
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

// Guards against peers that do not hold the key.
TEST(PeerSocket, wrongKeyIsRefused)
{
    Side right("right", anyPort, "left", "127.0.0.1:1", {"key"});
    Side left("left", anyPort, "right", right.socket->address(), {"another key"});
    right.socket->start();
    left.socket->start();
    (void)left.socket->send("right", "message", false);
    ASSERT_TRUE(eventually([&] { return right.count("peer-refused") > 0; }));
    EXPECT_FALSE(left.isConnected());
    EXPECT_TRUE(right.received().empty());
}

// Guards against names that are not in the settings, even with the right key.
TEST(PeerSocket, unknownNameIsRefused)
{
    Side right("right", anyPort, "other", "127.0.0.1:1", {"key"});
    Side left("left", anyPort, "right", right.socket->address(), {"key"});
    right.socket->start();
    left.socket->start();
    (void)left.socket->send("right", "message", false);
    ASSERT_TRUE(eventually([&] { return right.count("peer-refused") > 0; }));
    EXPECT_TRUE(right.received().empty());
}

// Guards against a change of keys that cuts links: one side already signs with the new key and accepts both.
TEST(PeerSocket, twoKeysAreValidAtATime)
{
    Side right("right", anyPort, "left", "127.0.0.1:1", {"old", "new"});
    Side left("left", anyPort, "right", right.socket->address(), {"new", "old"});
    right.socket->start();
    left.socket->start();
    (void)left.socket->send("right", "message", false);
    EXPECT_TRUE(eventually([&] { return right.received().size() == 1; }));
}

// Guards against links that stay down after the peer was restarted.
TEST(PeerSocket, linkComesBackAfterARestart)
{
    auto right = std::make_unique<Side>("right", anyPort, "left", "127.0.0.1:1", std::vector<std::string>{"key"});
    const std::string address = right->socket->address();
    Side left("left", anyPort, "right", address, {"key"});
    right->socket->start();
    left.socket->start();
    (void)left.socket->send("right", "first", false);
    ASSERT_TRUE(eventually([&] { return right->received().size() == 1; }));
    right.reset();
    ASSERT_TRUE(eventually([&] { return !left.isConnected(); }));
    right = std::make_unique<Side>("right", address, "left", "127.0.0.1:1", std::vector<std::string>{"key"});
    right->socket->start();
    ASSERT_TRUE(eventually([&] { return left.isConnected(); }));
    EXPECT_EQ(left.socket->send("right", "second", false), PeerSendResult::Queued);
    ASSERT_TRUE(eventually([&] { return right->received().size() == 1; }));
    EXPECT_EQ(right->received()[0].second, "second") << "a message from before the restart came late";
}

// Guards against queues without bound and against requests that give way to heartbeats.
TEST(PeerSocket, fullQueueDropsHeartbeatsFirst)
{
    // Accepts connections and never answers, so that messages stay queued.
    const Poco::Net::ServerSocket silent{Poco::Net::SocketAddress(anyPort)};
    Side left("left", anyPort, "right", silent.address().toString(), {"key"});
    left.socket->start();
    const std::string part(300, 'x');
    EXPECT_EQ(left.socket->send("right", part, true), PeerSendResult::Queued);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::Queued);
    EXPECT_EQ(left.socket->send("right", part, true), PeerSendResult::Queued);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::Queued); // the first heartbeat gives way
    EXPECT_EQ(left.socket->states().front().droppedMessages, 1U);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::Queued); // the second as well
    EXPECT_EQ(left.socket->states().front().droppedMessages, 2U);
    EXPECT_EQ(left.socket->send("right", part, false), PeerSendResult::QueueFull);
    EXPECT_EQ(left.socket->states().front().queuedBytes, 900U);
}

} // namespace Jujubekeel

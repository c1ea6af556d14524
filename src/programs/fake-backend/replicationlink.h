#pragma once

#include "fakes/fakebackend.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Jujubekeel {

/// Sends replication messages to one other server of the group, in order, from a thread of its own, so that a server that
/// hangs does not hold up the others. A message that cannot be delivered is dropped: the protocol finds the gap. Owned by
/// BackendDriver.
class ReplicationLink final
{
public:
    explicit ReplicationLink(std::string ownName);
    ~ReplicationLink();
    ReplicationLink(const ReplicationLink &) = delete;
    ReplicationLink &operator=(const ReplicationLink &) = delete;

    /// "ip:port" of the other server; without an address messages are dropped. Any thread.
    void setAddress(const std::string &newAddress);
    /// Does not block. Any thread.
    void send(ReplicationMessage message);

private:
    void run();

    std::string from;
    std::mutex mutex;
    std::condition_variable changed;
    std::string address;
    std::deque<ReplicationMessage> messages;
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel

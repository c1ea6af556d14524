#pragma once

#include "fakes/fakebackend.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Jujubekeel {

/// Sends replication messages to one other server of the group, in order. Each link has its own thread, so that a
/// server that hangs does not block messages to the others. A message that cannot be delivered is dropped; the
/// replication protocol detects the gap and sends the entries again. Owned by BackendDriver.
class ReplicationLink final
{
public:
    explicit ReplicationLink(std::string ownName);
    ~ReplicationLink();
    ReplicationLink(const ReplicationLink &) = delete;
    ReplicationLink &operator=(const ReplicationLink &) = delete;

    /// Sets the "ip:port" of the other server. Messages are dropped until an address is set. Any thread.
    void setAddress(const std::string &newAddress);
    /// Adds the message to the queue without blocking; a full queue drops its oldest message. Any thread.
    void send(ReplicationMessage message);

private:
    void run();

    std::string serverName;
    std::mutex mutex;
    std::condition_variable changed;
    std::string address;
    std::deque<ReplicationMessage> messages;
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel

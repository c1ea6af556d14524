#pragma once

#include "fakes/fakebackend.h"
#include "programs/fake-backend/replicationlink.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

/// Result of opening a session.
enum class OpenResult : std::uint8_t { Ok, LimitReached, NotLockHolder };

/// Runs FakeBackend in real time: a background thread calls FakeBackend::advance() when events are due, callers of
/// request() block until their answer is available, and ReplicationLink sends replication messages to the other
/// servers of the group. Owned by main; thread-safe.
class BackendDriver final
{
public:
    explicit BackendDriver(const FakeBackendOptions &options);
    ~BackendDriver();
    BackendDriver(const BackendDriver &) = delete;
    BackendDriver &operator=(const BackendDriver &) = delete;

    /// Sets the function that is called with each session that the server closes. Must be set before the first session
    /// is opened.
    void setClosedCallback(std::function<void(std::uint64_t)> function) { this->closedCallback = std::move(function); }

    /// Opens a session. Returns an empty value if the client disconnected while the server was frozen, or if the driver
    /// is stopping.
    std::optional<OpenResult> open(std::uint64_t session, const BackendLogin &login,
                                   const std::function<bool()> &isDisconnected);
    /// Sends a request and waits for the answer. Returns an empty value if the session ended or the client disconnected
    /// first, or if the driver is stopping.
    std::optional<BackendAnswer> request(std::uint64_t session, const BackendRequest &request,
                                         const std::function<bool()> &isDisconnected);
    /// Closes a session; waits while the server is frozen. Sessions that are not open are ignored.
    void close(std::uint64_t session);
    [[nodiscard]] bool isOpen(std::uint64_t session);
    /// Handles a replication message from another server of the group. Messages from unknown or isolated servers are
    /// dropped, and so are all messages while the server is frozen.
    void replicate(const std::string &from, const ReplicationMessage &message);

    /// Sets the "ip:port" of another server of the group. Returns false if no other server of the group has this name.
    bool setAddress(const std::string &name, const std::string &address);
    /// Replication messages to and from these servers are dropped. Replaces the previous set.
    void setIsolatedFrom(std::set<std::string> names);
    void setApplyLag(Duration lag);
    /// A frozen server processes no events and answers no session, to simulate a hung process.
    void setFrozen(bool newFrozen);
    /// Calls \a reader with the server and the current time while the mutex is held. Also works while frozen.
    void inspect(const std::function<void(const FakeBackend &, TimePoint)> &reader);

private:
    using Lock = std::unique_lock<std::mutex>;

    void run();
    /// Processes the outputs of the server. Unlocks \a lock while it calls `closedCallback`.
    void processOutputs(Lock &lock);
    /// Returns false if the client disconnected or the driver is stopping.
    bool waitWhileFrozen(Lock &lock, const std::function<bool()> &isDisconnected);

    std::mutex mutex;
    std::condition_variable changed;
    FakeBackend server;
    std::map<std::string, std::unique_ptr<ReplicationLink>> links;
    std::function<void(std::uint64_t)> closedCallback;
    std::set<std::uint64_t> sessions;
    std::map<std::uint64_t, BackendAnswer> answers; ///< by session; a session has at most one request in progress
    std::set<std::string> isolatedFrom;
    bool frozen = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel

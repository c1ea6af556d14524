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

enum class OpenResult : std::uint8_t { Ok, LimitReached, NotLockHolder };

/// Runs FakeBackend in real time: a thread performs what is due, callers wait for their answers, replication goes over
/// links. Owned by main; any thread may call it.
class BackendDriver final
{
public:
    explicit BackendDriver(const FakeBackendOptions &options);
    ~BackendDriver();
    BackendDriver(const BackendDriver &) = delete;
    BackendDriver &operator=(const BackendDriver &) = delete;

    /// Called with sessions that the server closes; set before the first session is opened.
    void onClosed(std::function<void(std::uint64_t)> function) { this->closeConnection = std::move(function); }

    /// Empty if the client went away while the server was frozen.
    std::optional<OpenResult> open(std::uint64_t session, const BackendLogin &login,
                                   const std::function<bool()> &isGone);
    /// Waits for the answer. Empty if the session ended first.
    std::optional<BackendAnswer> request(std::uint64_t session, const BackendRequest &request,
                                         const std::function<bool()> &isGone);
    /// Sessions that are not open are ignored.
    void close(std::uint64_t session);
    [[nodiscard]] bool isOpen(std::uint64_t session);
    void replicate(const std::string &from, const ReplicationMessage &message);

    /// Returns false if no other server of the group has this name.
    bool setAddress(const std::string &name, const std::string &address);
    /// Replication with these servers is dropped in both directions; the others are reconnected.
    void setCut(std::set<std::string> names);
    void setApplyLag(Duration lag);
    /// While frozen, nothing is performed and no session is answered.
    void setFrozen(bool newFrozen);
    /// Calls \a reader with the server and the time while nothing else runs, also when frozen.
    void inspect(const std::function<void(const FakeBackend &, TimePoint)> &reader);

private:
    using Lock = std::unique_lock<std::mutex>;

    void run();
    /// Takes over outputs and lets go of \a lock to close connections.
    void collect(Lock &lock);
    bool waitWhileFrozen(Lock &lock, const std::function<bool()> &isGone);

    std::mutex mutex;
    std::condition_variable changed;
    FakeBackend server;
    std::map<std::string, std::unique_ptr<ReplicationLink>> links;
    std::function<void(std::uint64_t)> closeConnection;
    std::set<std::uint64_t> sessions;
    std::map<std::uint64_t, BackendAnswer> answers; ///< by session; a session has one request under way
    std::set<std::string> cutOff;
    bool frozen = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel

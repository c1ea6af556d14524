#pragma once

#include "core/platformmessages.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Jujubekeel {

struct FakePlatformOptions
{
    Duration latency = std::chrono::milliseconds(3); ///< duration of a call
    Duration listLag = std::chrono::seconds(5);      ///< delay until a change shows in the instance list
};

struct FakePlatformOutput
{
    std::uint64_t client = 0;
    PlatformAnswer answer;
};

/// In-memory fake of the platform's object API and instance list. It uses no sockets, threads or clocks; each call
/// passes the current time. Used by the fake-platform program, the virtual fleet and tests; not thread-safe.
class FakePlatform final
{
public:
    explicit FakePlatform(FakePlatformOptions options);

    /// Accepts a call of a client. takeOutputs() returns the answer, unless it is lost.
    void call(TimePoint now, std::uint64_t client, const PlatformCall &call);
    /// Performs the calls and watches that are due and updates the instance list.
    void advance(TimePoint now);
    /// Time at which advance() must be called next.
    [[nodiscard]] TimePoint nextEvent() const;
    /// Returns and removes the answers since the last call, in order.
    [[nodiscard]] std::vector<FakePlatformOutput> takeOutputs();

    /// Adds or changes an instance. The list shows it `listLag` after \a now; with a time that is earlier by `listLag`,
    /// at once.
    void setInstance(TimePoint now, const std::string &name, bool leaving);
    void removeInstance(TimePoint now, const std::string &name);

    // Fault injection.
    /// While down, calls have no effect and get no answer. Calls and watches in progress when it goes down are lost.
    void setDown(bool down);
    void setLatency(Duration latency);
    /// The next \a count successful Put calls take effect, but their answers are lost.
    void loseAnswers(std::uint32_t count);

    /// Number of calls: Put calls are writes, all others reads.
    [[nodiscard]] std::uint64_t reads() const { return this->readCount; }
    [[nodiscard]] std::uint64_t writes() const { return this->writeCount; }
    [[nodiscard]] std::uint64_t waitingWatches() const;
    [[nodiscard]] std::uint64_t version(const std::string &key) const;
    [[nodiscard]] std::string value(const std::string &key) const;

private:
    struct Object
    {
        std::uint64_t version = 0;
        std::string value;
    };
    struct PendingCall
    {
        std::uint64_t client = 0;
        PlatformCall call;
        TimePoint due{0};
        bool watching = false; ///< waits for a change until `due`
    };
    struct ListChange
    {
        TimePoint visibleAt{0};
        std::string name;
        bool present = true;
        bool leaving = false;
    };

    void perform(PendingCall due);
    void answerWatches(const std::string &key);
    void showListChanges(TimePoint now);

    FakePlatformOptions options;
    std::map<std::string, Object> objects;
    std::vector<PendingCall> pending;
    std::vector<ListChange> listChanges;
    std::map<std::string, bool> instances; ///< visible list: name, leaving
    std::vector<FakePlatformOutput> outputs;
    bool down = false;
    std::uint32_t answersToLose = 0;
    std::uint64_t readCount = 0;
    std::uint64_t writeCount = 0;
};

} // namespace Jujubekeel

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
    Duration latency = std::chrono::milliseconds(3); ///< time of one call
    Duration listLag = std::chrono::seconds(5);      ///< the instance list shows changes this much later
};

struct FakePlatformOutput
{
    std::uint64_t client = 0;
    PlatformAnswer answer;
};

/// In-memory stand-in of the platform's object API and instance list. Without sockets, threads or clocks: each call
/// takes the time. Used by the fake-platform program, the virtual fleet and tests.
class FakePlatform final
{
public:
    explicit FakePlatform(FakePlatformOptions options);

    /// Takes a call of a client; the answer comes as an output, unless it is lost.
    void call(TimePoint now, std::uint64_t client, const PlatformCall &call);
    void advance(TimePoint now);
    [[nodiscard]] TimePoint nextEvent() const;
    [[nodiscard]] std::vector<FakePlatformOutput> takeOutputs();

    /// Shows in the list `listLag` after \a now; a time before the start gives a list that holds the instance at once.
    void setInstance(TimePoint now, const std::string &name, bool leaving);
    void removeInstance(TimePoint now, const std::string &name);

    // Faults.
    /// While down, calls get no answer and have no effect. Calls and watches under way when it goes down are lost.
    void setDown(bool down);
    void setLatency(Duration latency);
    /// The next \a count Put calls take effect, but their answers are lost.
    void loseAnswers(std::uint32_t count);

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

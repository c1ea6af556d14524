#include "cases.h"
#include "deployment.h"
#include "requester.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int answerTimeoutMs = 4000;
constexpr std::size_t oldPrimary = 0;
/// Age of the copy from which the store returns, the time for which it is away, and that of the cut of the primary.
constexpr std::chrono::milliseconds copyAge(2000);
constexpr std::chrono::milliseconds outage(500);
constexpr std::chrono::milliseconds cut(7000);
constexpr std::chrono::milliseconds promotionWait(3500);
constexpr std::chrono::milliseconds retryDelay(50);

void pause(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool writeBefore(Deployment &deployment, Recorder &recorder)
{
    for (const auto &entry : deployment.entries()) {
        Requester requester("before-" + entry->name(), recorder);
        if (!requester.open(entry->front(), Deployment::primaryDatabase(0))
            || !requester.ask("WRITE first value", answerTimeoutMs).isOk())
            return false;
    }
    return true;
}

} // namespace

Verdict runOldPrimary(const CaseOptions &options, Recorder &recorder)
{
    Deployment deployment({.program = options.program, .folder = options.folder}, recorder);
    if (!deployment.start() || !writeBefore(deployment, recorder))
        return Verdict::CouldNotRun;
    DatabaseGroup &group = deployment.group(0);
    auto &entries = deployment.entries();
    deployment.objects().takeCopy();
    pause(copyAge);

    const auto cutAt = Clock::now();
    if (options.trouble) {
        // The primary is cut off from its replicas, and from the instances until another one is promoted.
        group.setCutOff(oldPrimary, true);
        group.setSilent(oldPrimary, true);
        // Requesters of all instances go on, so that the instances notice.
        std::vector<std::thread> threads;
        threads.reserve(entries.size());
        for (const auto &entry : entries) {
            threads.emplace_back([&recorder, &entry = *entry] {
                Requester requester("usual-" + entry.name(), recorder);
                if (requester.open(entry.front(), Deployment::primaryDatabase(0)))
                    requester.ask("READ first", answerTimeoutMs);
            });
        }
        while (group.promotions() == 0 && Clock::now() < cutAt + promotionWait)
            pause(std::chrono::milliseconds(5));
        group.setSilent(oldPrimary, false);
        for (std::thread &thread : threads)
            thread.join();
        if (group.promotions() == 0)
            return Verdict::CouldNotRun;
    }
    Requester writer("writer", recorder);
    bool isKept = false;
    while (!isKept && Clock::now() < cutAt + promotionWait) {
        isKept = writer.open(entries[1]->front(), Deployment::primaryDatabase(0))
                 && writer.ask("WRITE order kept", answerTimeoutMs).isOk();
        pause(retryDelay);
    }
    if (!isKept)
        return Verdict::CouldNotRun;
    if (options.trouble) {
        deployment.objects().setDown(true);
        recorder.write("store", "is away");
        for (const auto &entry : entries)
            entry->kill();
        pause(outage);
        deployment.objects().restore();
        deployment.objects().setDown(false);
        recorder.write("store", "is back from an older copy");
        for (const auto &entry : entries)
            entry->start(false);
    }

    // What requesters get until the cut ends.
    bool isStale = false;
    bool isSplit = false;
    for (std::size_t turn = 0; Clock::now() < cutAt + cut; ++turn) {
        Requester requester("later-" + std::to_string(turn), recorder);
        if (requester.open(entries[turn % entries.size()]->front(), Deployment::primaryDatabase(0))) {
            const Answer read = requester.ask("READ order", answerTimeoutMs);
            isStale = isStale || (read.isOk() && read.rows != std::vector<std::string>{"kept"});
            const bool written = requester.ask("WRITE later value", answerTimeoutMs).isOk();
            const bool atOld = written && options.trouble && group.holds(oldPrimary, requester.lastId());
            if (atOld)
                recorder.write("check", "the acknowledged write " + requester.lastId()
                                            + " was committed at the old primary, after the promote took effect");
            isSplit = isSplit || atOld;
        }
        pause(retryDelay);
    }
    if (options.trouble)
        group.setCutOff(oldPrimary, false);
    if (isStale)
        recorder.write("check", "a read of a primary route lacked a commit that was acknowledged before it");
    return isSplit || isStale ? Verdict::Broken : Verdict::Held;
}

} // namespace Review

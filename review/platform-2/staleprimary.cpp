#include "cases.h"
#include "deployment.h"
#include "nearreaders.h"
#include "requester.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int answerTimeoutMs = 4000;
constexpr std::size_t firstPrimary = 0;
/// Sum of the numbers of the two other servers.
constexpr std::size_t otherServers = 3;
constexpr std::chrono::milliseconds settleTime(500);
constexpr std::chrono::milliseconds promotionWait(3500);
/// The first primary is cut off from its replicas for this long.
constexpr std::chrono::milliseconds cut(7000);
constexpr std::chrono::milliseconds retryDelay(50);

void pause(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Writes until it is acknowledged. Returns the id; empty if that fails in time.
std::string write(Deployment &deployment, Recorder &recorder, const std::string &name, const std::string &item)
{
    const auto end = Clock::now() + promotionWait;
    Requester requester(name, recorder);
    while (Clock::now() < end) {
        if (requester.open(deployment.entries()[1]->front(), Deployment::primaryDatabase(0))
            && requester.ask("WRITE " + item + " kept", answerTimeoutMs).isOk())
            return requester.lastId();
        pause(retryDelay);
    }
    return {};
}

bool waitForPromotions(DatabaseGroup &group, std::size_t count, Clock::time_point end)
{
    while (group.promotions() < count && Clock::now() < end)
        pause(std::chrono::milliseconds(5));
    return group.promotions() >= count;
}

} // namespace

Verdict runStalePrimary(const CaseOptions &options, Recorder &recorder)
{
    Deployment deployment({.program = options.program, .folder = options.folder}, recorder);
    if (!deployment.start())
        return Verdict::CouldNotRun;
    DatabaseGroup &group = deployment.group(0);
    for (const auto &entry : deployment.entries()) {
        Requester requester("before-" + entry->name(), recorder);
        if (!requester.open(entry->front(), Deployment::primaryDatabase(0))
            || !requester.ask("WRITE first value", answerTimeoutMs).isOk())
            return Verdict::CouldNotRun;
    }
    pause(settleTime);

    // The primary is cut off from its replicas, acknowledges a commit, and is then cut off from the instances too, until
    // another one is promoted.
    const auto cutAt = Clock::now();
    if (options.trouble)
        group.setCutOff(firstPrimary, true);
    const std::string alone = write(deployment, recorder, "alone", "order");
    if (alone.empty())
        return Verdict::CouldNotRun;
    if (options.trouble) {
        group.setSilent(firstPrimary, true);
        std::vector<std::thread> threads;
        threads.reserve(deployment.entries().size());
        for (const auto &entry : deployment.entries()) {
            threads.emplace_back([&recorder, &entry = *entry] {
                Requester requester("usual-" + entry.name(), recorder);
                if (requester.open(entry.front(), Deployment::primaryDatabase(0)))
                    requester.ask("READ first", answerTimeoutMs);
            });
        }
        const bool isPromoted = waitForPromotions(group, 1, cutAt + promotionWait);
        group.setSilent(firstPrimary, false);
        for (std::thread &thread : threads)
            thread.join();
        if (!isPromoted)
            return Verdict::CouldNotRun;
    }
    // The second primary works; the other replica follows it.
    const auto second = group.leader();
    std::vector<std::string> after;
    for (const char *name : {"after-1", "after-2", "after-3"})
        after.push_back(write(deployment, recorder, name, "later"));
    if (!second || after.back().empty())
        return Verdict::CouldNotRun;
    Requester reader("interim", recorder);
    bool isMissing = false;
    if (reader.open(deployment.entries()[1]->front(), Deployment::primaryDatabase(0))) {
        const Answer answer = reader.ask("READ order", answerTimeoutMs);
        isMissing = answer.isOk() && answer.rows != std::vector<std::string>{"kept"};
    }
    const std::size_t replica = options.trouble ? otherServers - *second : 1;
    pause(std::chrono::milliseconds(50));
    NearReaders readers(deployment, recorder, replica);
    readers.readShortly();
    if (!readers.begin())
        return Verdict::CouldNotRun;
    readers.readLong();

    // The second primary is to be replaced as planned, while the replica receives nothing.
    if (options.trouble) {
        group.setDeaf(replica, true);
        if (write(deployment, recorder, "last", "later").empty())
            return Verdict::CouldNotRun;
        group.setDraining(*second);
        waitForPromotions(group, 2, cutAt + cut);
        group.setDeaf(replica, false);
        group.setCutOff(firstPrimary, false);
    }
    const auto third = group.leader();
    if (!third)
        return Verdict::CouldNotRun;
    for (const std::string &id : after)
        recorder.write("check", "the acknowledged commit " + id + (group.holds(*third, id) ? " is" : " is not")
                                    + " in the log of the primary " + group.idOf(*third)
                                    + (options.trouble && group.holds(replica, id) ? "; the replica has it" : ""));
    const bool isBack = group.holds(*third, alone);
    recorder.write("check", "the acknowledged commit " + alone + (isBack ? " is" : " is not")
                                + " in the log of the primary; the read in between " + (isMissing ? "lacked" : "had")
                                + " it");
    return isMissing && isBack ? Verdict::Broken : Verdict::Held;
}

} // namespace Review

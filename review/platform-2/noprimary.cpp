#include "cases.h"
#include "deployment.h"
#include "requester.h"

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int answerTimeoutMs = 4000;
constexpr std::size_t primary = 0;
/// The store is away for this long, and entries of backend servers run out meanwhile.
constexpr std::chrono::milliseconds outage(4500);
constexpr std::chrono::milliseconds crashAfter(100);
constexpr std::chrono::milliseconds killAfter(3000);
/// A process that is killed is started again after a short delay.
constexpr std::chrono::milliseconds restartDelay(500);
/// RecoveryS, and the time for which requests are counted afterwards.
constexpr std::chrono::seconds recovery(12);
constexpr std::chrono::seconds counted(20);
constexpr std::chrono::milliseconds requestInterval(100);
/// A quarter of the requests is to be served.
constexpr unsigned leastPart = 4;

void pause(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

struct Count
{
    unsigned asked = 0;
    unsigned served = 0;
};

/// One write and one read for each kind of route, through the instances in turn.
Count askFor(Deployment &deployment, Recorder &recorder, const std::string &name, std::chrono::milliseconds time)
{
    const std::array databases{Deployment::primaryDatabase(0), Deployment::staleDatabase(0),
                               Deployment::ownDatabase(0)};
    const auto end = Clock::now() + time;
    Count count;
    for (std::size_t turn = 0; Clock::now() < end; ++turn) {
        auto &entries = deployment.entries();
        Requester requester(name + '-' + std::to_string(turn), recorder);
        const bool opened =
            requester.open(entries[turn % entries.size()]->front(), databases.at(turn % databases.size()));
        for (const char *statement : {"READ order", "WRITE order value"}) {
            count.asked += 1;
            count.served += opened && requester.ask(statement, answerTimeoutMs).isOk() ? 1 : 0;
        }
        pause(requestInterval);
    }
    recorder.write("check", name + ": " + std::to_string(count.served) + " of " + std::to_string(count.asked)
                                + " requests were served");
    return count;
}

} // namespace

Verdict runNoPrimary(const CaseOptions &options, Recorder &recorder)
{
    Deployment deployment({.program = options.program, .folder = options.folder}, recorder);
    if (!deployment.start())
        return Verdict::CouldNotRun;
    const Count before = askFor(deployment, recorder, "before", std::chrono::seconds(3));
    if (before.served * leastPart < before.asked)
        return Verdict::CouldNotRun;
    if (options.trouble) {
        const auto downAt = Clock::now();
        deployment.objects().setDown(true);
        recorder.write("store", "is away");
        pause(crashAfter);
        deployment.group(0).crash(primary);
        std::this_thread::sleep_until(downAt + killAfter);
        for (const auto &entry : deployment.entries())
            entry->kill();
        pause(restartDelay);
        for (const auto &entry : deployment.entries())
            entry->start(false);
        std::this_thread::sleep_until(downAt + outage);
        deployment.objects().setDown(false);
        recorder.write("store", "is back");
    }
    pause(recovery);
    const Count after = askFor(deployment, recorder, "after", counted);
    return after.served * leastPart < after.asked ? Verdict::Broken : Verdict::Held;
}

} // namespace Review

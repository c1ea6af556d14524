#include "cases.h"
#include "delayproxy.h"
#include "deployment.h"
#include "requester.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int answerTimeoutMs = 4000;
constexpr std::size_t stoppedInstance = 0;
/// Requesters are 1 ms away.
constexpr std::chrono::microseconds distance(1000);
/// A transaction that is open at SIGTERM has the first half of GraceS (6 s) to end. These begin later.
constexpr std::chrono::milliseconds halfGrace(3000);
constexpr std::chrono::milliseconds lastBegin(4200);
constexpr std::chrono::milliseconds trafficBefore(500);
constexpr int requesters = 8;
constexpr int endWaitMs = 8000;
/// Pauses between the write and COMMIT; each requester takes the next one.
constexpr std::array pauses{5, 12, 19, 26, 33, 40};

struct Tally
{
    std::atomic<unsigned> begun{0};
    std::atomic<unsigned> committed{0};
    std::atomic<unsigned> cutInPause{0};
    std::atomic<unsigned> unanswered{0}; ///< COMMIT was sent, and the connection ended without an answer
};

/// Transactions that begin before \a countedFrom only are part of the traffic.
void runTransaction(const Endpoint &front, Recorder &recorder, Tally &tally, const std::string &name, int pauseMs,
                    Clock::time_point countedFrom)
{
    Requester requester(name, recorder);
    if (!requester.open(front, Deployment::primaryDatabase(0)))
        return;
    const bool isCounted = Clock::now() >= countedFrom;
    if (!requester.ask("BEGIN", answerTimeoutMs).isOk())
        return;
    if (!requester.ask("WRITE order value", answerTimeoutMs).isOk())
        return;
    tally.begun += isCounted ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
    if (requester.hasEnded()) {
        tally.cutInPause += isCounted ? 1 : 0;
        recorder.write(name, "the connection has ended inside the transaction");
        return;
    }
    const Answer answer = requester.ask("COMMIT", answerTimeoutMs);
    if (answer.complete) {
        tally.committed += isCounted && answer.isOk() ? 1 : 0;
    } else if (isCounted) {
        tally.unanswered += 1;
        recorder.write(name, "the connection has ended without an answer to COMMIT");
    }
}

} // namespace

Verdict runLateTransaction(const CaseOptions &options, Recorder &recorder)
{
    Deployment deployment({.program = options.program, .folder = options.folder}, recorder);
    if (!deployment.start())
        return Verdict::CouldNotRun;
    EntryProcess &stopped = *deployment.entries()[stoppedInstance];
    const DelayProxy proxy(stopped.front().host, stopped.front(), distance);
    std::this_thread::sleep_for(std::chrono::seconds(1));

    Tally tally;
    const auto stopAt = Clock::now() + trafficBefore;
    std::vector<std::thread> threads;
    threads.reserve(requesters);
    for (int number = 0; number < requesters; ++number) {
        threads.emplace_back([&, number] {
            for (std::size_t turn = 0; Clock::now() < stopAt + lastBegin; ++turn) {
                const std::string name = "r" + std::to_string(number) + '-' + std::to_string(turn);
                const int pauseMs = pauses.at((turn + static_cast<std::size_t>(number)) % pauses.size());
                runTransaction(proxy.endpoint(), recorder, tally, name, pauseMs, stopAt + halfGrace);
                std::this_thread::sleep_for(distance);
            }
        });
    }
    std::this_thread::sleep_until(stopAt);
    if (options.trouble)
        stopped.signal(SIGTERM);
    for (std::thread &thread : threads)
        thread.join();
    if (options.trouble)
        stopped.waitForEnd(endWaitMs);
    recorder.write("check", std::to_string(tally.begun) + " transactions begun later than half of GraceS, "
                                + std::to_string(tally.committed) + " committed, " + std::to_string(tally.cutInPause)
                                + " cut in a pause, " + std::to_string(tally.unanswered)
                                + " cut without an answer to COMMIT");
    if (tally.begun == 0)
        return Verdict::CouldNotRun;
    return tally.unanswered > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace Review

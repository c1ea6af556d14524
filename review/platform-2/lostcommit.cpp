#include "cases.h"
#include "deployment.h"
#include "nearreaders.h"
#include "requester.h"

#include <chrono>
#include <string>
#include <thread>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int answerTimeoutMs = 4000;
constexpr std::size_t writingInstance = 0;
/// Servers of the database: the primary, a replica that receives nothing for a while, and one that receives all.
constexpr std::size_t oldPrimary = 0;
constexpr std::size_t deafReplica = 1;
constexpr std::size_t otherReplica = 2;
constexpr std::chrono::milliseconds settleTime(500);
/// A process that is killed is started again after a short delay.
constexpr std::chrono::milliseconds restartDelay(200);
constexpr std::chrono::seconds promotionWait(20);

void pause(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

Verdict runLostCommit(const CaseOptions &options, Recorder &recorder)
{
    Deployment deployment({.program = options.program, .folder = options.folder, .syncReplicas = 1}, recorder);
    if (!deployment.start())
        return Verdict::CouldNotRun;
    DatabaseGroup &group = deployment.group(0);
    auto &entries = deployment.entries();

    // Each instance has served a write, as on any day; all replicas have received them.
    for (const auto &entry : entries) {
        Requester requester("before-" + entry->name(), recorder);
        if (!requester.open(entry->front(), Deployment::ownDatabase(0))
            || !requester.ask("WRITE first value", answerTimeoutMs).isOk())
            return Verdict::CouldNotRun;
    }
    NearReaders readers(deployment, recorder, otherReplica);
    readers.readShortly();
    pause(settleTime);
    if (options.trouble)
        group.setDeaf(deafReplica, true);
    if (!readers.begin())
        return Verdict::CouldNotRun;
    readers.readLong();

    Requester writer("writer", recorder);
    if (!writer.open(entries[writingInstance]->front(), Deployment::ownDatabase(0))
        || !writer.ask("WRITE order kept", answerTimeoutMs).isOk())
        return Verdict::CouldNotRun;
    const std::string acknowledged = writer.lastId();
    if (options.trouble) {
        entries[writingInstance]->kill();
        group.crash(oldPrimary);
        pause(restartDelay);
        entries[writingInstance]->start(false);
        const auto end = Clock::now() + promotionWait;
        while (group.promotions() == 0 && Clock::now() < end)
            pause(std::chrono::milliseconds(10));
        group.setDeaf(deafReplica, false);
        if (group.promotions() == 0)
            return Verdict::CouldNotRun;
    }
    const auto leader = group.leader();
    if (!leader)
        return Verdict::CouldNotRun;
    const bool held = group.holds(*leader, acknowledged);
    recorder.write("check", "the primary is " + group.idOf(*leader) + " at " + group.positionOf(*leader) + "; its log "
                                + (held ? "contains" : "lacks") + " the acknowledged commit " + acknowledged);
    pause(settleTime);
    Requester late("later", recorder);
    if (late.open(entries[1]->front(), Deployment::primaryDatabase(0)))
        late.ask("READ order", answerTimeoutMs);
    return held ? Verdict::Held : Verdict::Broken;
}

} // namespace Review

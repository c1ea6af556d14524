#include "cases.h"
#include "deployment.h"
#include "requester.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Review {

namespace {

constexpr int answerTimeoutMs = 4000;
/// Instances by their order: one in each zone, then the second ones.
constexpr std::size_t writingInstance = 0;
constexpr std::size_t nearInstances[] = {2, 5};
/// Servers of the database: the primary, a replica that receives nothing for a while, and one that receives all.
constexpr std::size_t oldPrimary = 0;
constexpr std::size_t deafReplica = 1;
constexpr int sessionsPerInstance = 3;
constexpr int readsPerSession = 7;
constexpr int shortReads = 25;
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
    // Short reads in one zone, most of which the replica near it serves.
    std::vector<std::thread> usual;
    for (const std::size_t near : nearInstances) {
        for (int number = 1; number <= sessionsPerInstance; ++number) {
            usual.emplace_back([&recorder, &entry = *entries[near], near, number] {
                Requester requester("usual-" + std::to_string(near) + '-' + std::to_string(number), recorder);
                requester.open(entry.front(), Deployment::ownDatabase(0));
                for (int read = 0; read < shortReads; ++read)
                    requester.ask("READ first/2", answerTimeoutMs);
            });
        }
    }
    for (std::thread &thread : usual)
        thread.join();
    pause(settleTime);
    if (options.trouble)
        group.setDeaf(deafReplica, true);

    // Requesters of one zone read in transactions at the replica near them.
    std::vector<std::unique_ptr<Requester>> readers;
    for (const std::size_t near : nearInstances) {
        for (int number = 1; number <= sessionsPerInstance; ++number) {
            readers.push_back(
                std::make_unique<Requester>("reader-" + std::to_string(near) + '-' + std::to_string(number), recorder));
            Requester &reader = *readers.back();
            if (!reader.open(entries[near]->front(), Deployment::ownDatabase(0))
                || !reader.ask("BEGIN READ", answerTimeoutMs).isOk()
                || !reader.ask("READ first/2", answerTimeoutMs).isOk())
                return Verdict::CouldNotRun;
        }
    }
    std::vector<std::thread> threads;
    threads.reserve(readers.size());
    for (const auto &reader : readers) {
        threads.emplace_back([&reader = *reader] {
            for (int number = 0; number < readsPerSession; ++number) {
                if (!reader.ask("READ first/200", answerTimeoutMs).isOk())
                    return;
            }
            reader.ask("COMMIT", answerTimeoutMs);
        });
    }
    const auto finish = [&](Verdict verdict) {
        for (std::thread &thread : threads)
            thread.join();
        return verdict;
    };

    Requester writer("writer", recorder);
    if (!writer.open(entries[writingInstance]->front(), Deployment::ownDatabase(0))
        || !writer.ask("WRITE order kept", answerTimeoutMs).isOk())
        return finish(Verdict::CouldNotRun);
    const std::string acknowledged = writer.lastId();
    if (options.trouble) {
        entries[writingInstance]->kill();
        group.crash(oldPrimary);
        pause(restartDelay);
        entries[writingInstance]->start(false);
        const auto end = std::chrono::steady_clock::now() + promotionWait;
        while (group.promotions() == 0 && std::chrono::steady_clock::now() < end)
            pause(std::chrono::milliseconds(10));
        group.setDeaf(deafReplica, false);
        if (group.promotions() == 0)
            return finish(Verdict::CouldNotRun);
    }
    const auto leader = group.leader();
    if (!leader)
        return finish(Verdict::CouldNotRun);
    const bool held = group.holds(*leader, acknowledged);
    recorder.write("check", "the primary is " + group.idOf(*leader) + " at " + group.positionOf(*leader) + "; its log "
                                + (held ? "contains" : "lacks") + " the acknowledged commit " + acknowledged);
    pause(settleTime);
    Requester late("later", recorder);
    if (late.open(entries[1]->front(), Deployment::primaryDatabase(0)))
        late.ask("READ order", answerTimeoutMs);
    return finish(held ? Verdict::Held : Verdict::Broken);
}

} // namespace Review

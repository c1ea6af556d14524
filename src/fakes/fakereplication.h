#pragma once

#include "core/backendmessages.h"
#include "core/time.h"
#include "fakes/fakebackend.h"
#include "fakes/fakelog.h"
#include "fakes/fakesessions.h"
#include "session/logposition.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Part of a fake backend server in its group: its role, the terms that it accepts, replication in both directions and
/// barriers. Owned by FakeBackend.
class FakeReplication final
{
public:
    /// All four must outlive the replication.
    FakeReplication(const FakeBackendOptions &newOptions, FakeLog &newLog, FakeSessions &newSessions,
                    std::vector<FakeBackendOutput> &newOutputs);

    /// An answer if a write under \a expectedTerm (0: any) must be refused.
    [[nodiscard]] std::optional<BackendAnswer> refuseWrite(std::uint64_t expectedTerm) const;
    /// Appends an entry and sends it to the replicas at once. The server must be the primary and not superseded.
    LogPosition commit(TimePoint now, const std::string &key, const std::string &statements, const std::string &value);
    void handle(TimePoint now, const std::string &from, const ReplicationAppend &append);
    void handle(TimePoint now, const std::string &from, const ReplicationAcknowledge &acknowledge);

    BackendAnswer fence(TimePoint now, const BackendRequest &request);
    BackendAnswer promote(TimePoint now, const BackendRequest &request);
    BackendAnswer follow(TimePoint now, const BackendRequest &request);
    /// Answered at once only if it is refused.
    std::optional<BackendAnswer> barrier(TimePoint now, std::uint64_t session, const BackendRequest &request);

    /// Sends an answer, with the status on a control connection. Ignored if the session is gone.
    void answer(TimePoint now, std::uint64_t session, std::uint64_t serial, BackendAnswer answer);
    [[nodiscard]] ServerStatus status(TimePoint now) const;

    /// Must be called with the time of the first call to the server.
    void startPrimarySilenceTimer(TimePoint now);
    /// Sends heartbeats and answers barriers that are due.
    void advance(TimePoint now);
    /// When the next heartbeat is due.
    [[nodiscard]] TimePoint nextEvent() const;

private:
    /// What the primary knows of one replica under its own term.
    struct Replica
    {
        struct SentMessage
        {
            std::uint64_t heartbeat = 0;
            std::uint64_t end = 0; ///< position that the replica holds after the message if nothing was lost
        };

        bool acknowledged = false; ///< heard under the present term
        LogPosition received;
        std::uint64_t heartbeat = 0; ///< highest heartbeat acknowledged
        std::uint64_t sent = 0;      ///< entries up to here were sent
        std::deque<SentMessage> messages;
    };

    [[nodiscard]] bool isSuperseded() const;
    [[nodiscard]] bool isActivePrimary() const { return this->role == BackendRole::Primary && !this->isSuperseded(); }
    /// Ends what depends on being primary of the present term.
    void resetPrimaryState(TimePoint now);
    void sendAppend(const std::string &to, Replica &replica);
    /// Sends heartbeats with the entries that are new, if the server may still replicate under its term.
    void sendAppends(TimePoint now);
    [[nodiscard]] std::uint64_t replicasNeeded() const { return this->options.group.size() / 2; }
    [[nodiscard]] bool isAcknowledged(const FakeSessions::PendingBarrier &barrier) const;
    /// Highest position that enough replicas have acknowledged under the present term.
    [[nodiscard]] std::uint64_t confirmedPosition() const;
    void answerBarriers(TimePoint now);
    void failBarriers(TimePoint now, BackendStatusCode code);

    const FakeBackendOptions &options;
    FakeLog &log;
    FakeSessions &sessions;
    std::vector<FakeBackendOutput> &outputs;

    // Role and terms.
    BackendRole role = BackendRole::Replica;
    std::uint64_t fencedTerm = 1;
    std::string fencedBy;
    /// Highest term seen in a refusal. Kept apart from the fence: the promoter of that term may still fence this server.
    std::uint64_t refusedByTerm = 0;
    std::uint64_t termStart = 0; ///< primary: start of its term
    std::string primary;
    std::optional<TimePoint> primaryHeard;

    // Primary.
    std::map<std::string, Replica> replicas;
    std::uint64_t heartbeat = 0;
    TimePoint nextHeartbeat{0};
};

} // namespace Jujubekeel

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

/// Replication of a fake backend server within its group: role, accepted terms, sending and receiving of log entries,
/// and barriers. Owned by FakeBackend.
class FakeReplication final
{
public:
    /// All arguments must outlive this object.
    FakeReplication(const FakeBackendOptions &newOptions, FakeLog &newLog, FakeSessions &newSessions,
                    std::vector<FakeBackendOutput> &newOutputs);

    /// Refusal of a write that expects term \a expectedTerm (0: any); std::nullopt if the write is allowed.
    [[nodiscard]] std::optional<BackendAnswer> refuseWrite(std::uint64_t expectedTerm) const;
    /// Appends an entry and sends it to the replicas at once. The server must be the primary and not superseded.
    LogPosition commit(TimePoint now, const std::string &key, const std::string &statements, const std::string &value);
    void handle(TimePoint now, const std::string &from, const ReplicationAppend &append);
    void handle(TimePoint now, const std::string &from, const ReplicationAcknowledge &acknowledge);

    BackendAnswer fence(TimePoint now, const BackendRequest &request);
    BackendAnswer promote(TimePoint now, const BackendRequest &request);
    BackendAnswer follow(TimePoint now, const BackendRequest &request);
    /// Starts a barrier. Returns an answer only if it is refused; otherwise the answer follows when enough replicas
    /// have acknowledged it or its wait has passed.
    std::optional<BackendAnswer> barrier(TimePoint now, std::uint64_t session, const BackendRequest &request);

    /// Sends an answer, with the server status on a control connection. Does nothing if the session has ended.
    void answer(TimePoint now, std::uint64_t session, std::uint64_t serial, BackendAnswer answer);
    [[nodiscard]] ServerStatus status(TimePoint now) const;

    /// Starts to measure the silence of the primary. Must be called with the time of the first call to the server;
    /// later calls have no effect.
    void startPrimarySilenceTimer(TimePoint now);
    /// Sends heartbeats and answers barriers that are due.
    void advance(TimePoint now);
    /// Time of the next heartbeat.
    [[nodiscard]] TimePoint nextEvent() const;

private:
    /// Replication state of one replica, kept by the primary for its own term.
    struct Replica
    {
        struct SentMessage
        {
            std::uint64_t heartbeat = 0;
            std::uint64_t end = 0; ///< position that the replica holds after the message if nothing was lost
        };

        bool acknowledged = false; ///< has acknowledged a message of the current term
        LogPosition received;
        std::uint64_t heartbeat = 0; ///< highest heartbeat acknowledged
        std::uint64_t sent = 0;      ///< position of the last entry that was sent
        std::deque<SentMessage> messages;
    };

    /// True if this server was fenced with a newer term or a replica has reported one.
    [[nodiscard]] bool isSuperseded() const;
    [[nodiscard]] bool isActivePrimary() const { return this->role == BackendRole::Primary && !this->isSuperseded(); }
    /// Fails pending barriers and clears the replication state of the current term.
    void resetPrimaryState(TimePoint now);
    void sendAppend(const std::string &to, Replica &replica);
    /// Sends each replica a heartbeat with the entries it lacks, if this server is the active primary.
    void sendAppends(TimePoint now);
    [[nodiscard]] std::uint64_t replicasNeeded() const { return this->options.group.size() / 2; }
    [[nodiscard]] bool isAcknowledged(const FakeSessions::PendingBarrier &barrier) const;
    /// Highest position that enough replicas have acknowledged under the current term.
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
    std::string fencedBy; ///< instance that fenced `fencedTerm`; empty if unknown
    /// Highest term reported in a refusal. It does not change `fencedTerm`, because the promoter of that term must
    /// still be able to fence this server.
    std::uint64_t refusedByTerm = 0;
    std::uint64_t termStart = 0; ///< primary: start of its term
    std::string primary;
    std::optional<TimePoint> primaryHeard; ///< last message of the primary, or start of the measurement

    // Primary.
    std::map<std::string, Replica> replicas;
    std::uint64_t heartbeat = 0;
    TimePoint nextHeartbeat{0};
};

} // namespace Jujubekeel
